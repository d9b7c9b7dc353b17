"""Counters and histograms of the requests that an entry passes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.metrics import get_meter

if TYPE_CHECKING:
    from .attempt import AttemptEnd


class FlowInstruments:
    """What is counted of requests, attempts and times."""

    def __init__(self) -> None:
        meter = get_meter("primroselever.direct")
        self.durations = meter.create_histogram(
            "primroselever.direct.request.duration", "s", "From first byte to end"
        )
        self.first_events = meter.create_histogram(
            "primroselever.direct.first_event", "s", "From first byte to first event"
        )
        self.attempts = meter.create_counter(
            "primroselever.direct.attempts", "{attempt}", "Sendings by how they ended"
        )
        self.own_answers = meter.create_counter(
            "primroselever.direct.own_answers", "{answer}", "Failures told by status"
        )

    def ended(self, seconds: float) -> None:
        """Count a request that ended."""
        self.durations.record(seconds)

    def first_event(self, seconds: float) -> None:
        """Count a first event that was passed on."""
        self.first_events.record(seconds)

    def attempted(self, end: AttemptEnd) -> None:
        """Count a sending."""
        self.attempts.add(1, {"end": str(end)})

    def told(self, status: int) -> None:
        """Count a failure of the entry's own."""
        self.own_answers.add(1, {"status": status})
