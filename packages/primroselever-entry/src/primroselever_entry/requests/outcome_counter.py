"""The metric that counts requests by outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics

from primroselever_core.outcomes import Done, Ending, Outcome

if TYPE_CHECKING:
    from primroselever_core.outcomes import NotRun, Unknown

CALLER_GONE = "caller_gone"


class OutcomeCounter:
    """Counts answered requests by the outcome and reason sent to the caller."""

    def __init__(self) -> None:
        self.counter = metrics.get_meter("primroselever.requests").create_counter(
            "primroselever.requests.outcomes",
            unit="{request}",
            description="Requests answered, by outcome and reason",
        )

    def count_outcome(self, outcome: str, reason: str) -> None:
        """Count one request."""
        self.counter.add(1, {"outcome": outcome, "reason": reason})

    def count_ending(self, last_part: bytes | Ending | None) -> None:
        """
        Count a request by the last part of its answer.

        Bytes or None instead of an ending mean that the caller left.
        """
        if isinstance(last_part, Done):
            self.count_outcome(Outcome.DONE, "")
        elif last_part is None or isinstance(last_part, bytes):
            self.count_outcome(Outcome.UNKNOWN, CALLER_GONE)
        else:
            self.count_failure(last_part)

    def count_failure(self, ending: NotRun | Unknown) -> None:
        """Count a request that ended as not run or unknown."""
        self.count_outcome(ending.outcome, ending.reason)
