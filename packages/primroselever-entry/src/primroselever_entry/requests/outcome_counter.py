"""How requests ended, as a metric."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics

from primroselever_core.outcomes import Done, Ending, Outcome

if TYPE_CHECKING:
    from primroselever_core.outcomes import NotRun, Unknown

CALLER_GONE = "caller_gone"


class OutcomeCounter:
    """Counts what callers were told, by outcome and reason."""

    def __init__(self) -> None:
        self.requests = metrics.get_meter("primroselever.requests").create_counter(
            "primroselever.requests.outcomes",
            unit="{request}",
            description="Requests answered, by outcome and reason",
        )

    def count(self, outcome: str, reason: str) -> None:
        """Count one request."""
        self.requests.add(1, {"outcome": outcome, "reason": reason})

    def count_ending(self, last: bytes | Ending | None) -> None:
        """Count a request by its ending; bytes mean that its caller went away."""
        if isinstance(last, Done):
            self.count(Outcome.DONE, "")
        elif last is None or isinstance(last, bytes):
            self.count(Outcome.UNKNOWN, CALLER_GONE)
        else:
            self.count_failure(last)

    def count_failure(self, ending: NotRun | Unknown) -> None:
        """Count a request that was not answered."""
        self.count(ending.outcome, ending.reason)
