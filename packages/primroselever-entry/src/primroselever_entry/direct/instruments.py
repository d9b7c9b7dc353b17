"""Metrics of the requests that an entry forwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.metrics import get_meter

if TYPE_CHECKING:
    from primroselever_core.dispatch.placement import PlacementRefusal
    from primroselever_core.dispatch.shedding import RefusalCause

    from .attempt import AttemptEnd


class FlowInstruments:
    """Counters and histograms of requests and attempts, times in seconds."""

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
        self.too_large = meter.create_counter(
            "primroselever.direct.responses.too_large",
            "{response}",
            "Responses broken off at a limit of buffers",
        )
        self.placement_refusals = meter.create_counter(
            "primroselever.direct.placement.refusals",
            "{refusal}",
            "Choices refused since no allowed failure domain may be used",
        )
        self.memory_choices = meter.create_counter(
            "primroselever.direct.memory.choices",
            "{choice}",
            "Choices in which an engine could not hold the request, by result",
        )
        self.announcements = meter.create_counter(
            "primroselever.direct.announcements",
            "{announcement}",
            "What servers newly announced in their answers",
        )

        self.refusals = meter.create_counter(
            "primroselever.direct.refusals",
            "{refusal}",
            "Requests refused for lack of capacity, by urgency and cause",
        )

        self.paces = meter.create_histogram(
            "primroselever.direct.pace",
            "1",
            "First event (engines) or duration (others) as a multiple of the expected",
        )

    def record_pace(self, value: float) -> None:
        """Record a measured time as a multiple of the expected one."""
        self.paces.record(value)

    def count_refusal(self, urgency: int, cause: RefusalCause) -> None:
        """Count a request that was refused for lack of capacity."""
        self.refusals.add(1, {"urgency": urgency, "cause": str(cause)})

    def record_duration(self, seconds: float) -> None:
        """Record the duration of a request that ended."""
        self.durations.record(seconds)

    def record_first_event(self, seconds: float) -> None:
        """Record the time from the first request byte to the first event."""
        self.first_events.record(seconds)

    def count_attempt(self, end: AttemptEnd) -> None:
        """Count an attempt by how it ended."""
        self.attempts.add(1, {"end": str(end)})

    def count_too_large(self) -> None:
        """Count a response that was broken off because a limit was reached."""
        self.too_large.add(1)

    def count_announcement(self, kind: str) -> None:
        """Count an announcement that changed what is known, or that is invalid."""
        self.announcements.add(1, {"kind": kind})

    def count_placement_refusal(self, reason: PlacementRefusal) -> None:
        """Count a choice that homes or evacuations left without a back end."""
        self.placement_refusals.add(1, {"reason": str(reason)})

    def count_memory_choice(self, result: str) -> None:
        """Count a choice in which at least one engine could not hold the request."""
        self.memory_choices.add(1, {"result": result})

    def count_own_answer(self, status: int) -> None:
        """Count an error response that the entry generated itself."""
        self.own_answers.add(1, {"status": status})
