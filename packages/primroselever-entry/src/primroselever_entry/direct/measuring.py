"""What one attempt shows of its back end: its work, pace and delays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.catalogue.model import RouteKind
from primroselever_core.dispatch.choose import MIN_UNEXPECTED_DELAY_S
from primroselever_core.dispatch.ramps import usual_duration_s
from primroselever_core.dispatch.server_memory import count_tokens

if TYPE_CHECKING:
    from primroselever_core.dispatch.choose import Chosen

    from .flow import DirectFlow
    from .request_state import RequestState


class AttemptMeasurement:
    """
    Records the beginning, the first event and the end of one attempt.

    An engine is measured by the first events of streams, any other back end by whole
    answers. The numbers identify the attempt in the records of the back end.
    """

    def __init__(
        self, flow: DirectFlow, state: RequestState, choice: Chosen, started_at: float
    ) -> None:
        self.flow = flow
        self.state = state
        self.choice = choice
        self.backend = choice.backend
        self.started_at = started_at
        figures = flow.engine_figures(state)
        self.samples_first_event = figures is not None
        self.memory_number = 0
        if figures is not None:
            request = state.request
            tokens = count_tokens(request.prompt_tokens, request.answer_tokens, figures)
            self.memory_number = self.backend.memory.record_sent(
                *tokens, self.started_at
            )
        # 0 is the number of no request.
        self.first_event_number = 0
        if figures is not None and state.route.kind is RouteKind.STREAMING:
            self.first_event_number = self.backend.first_events.record_sent(
                self.started_at + choice.predicted_s
            )
        self.sample_number = 0
        if self.backend.measures_pace:
            self.sample_number = self.backend.measured.record_sent(
                choice.expected_s,
                self.started_at,
                None if self.samples_first_event else 1.0,
            )

    def record_first_event(self, now: float) -> None:
        """Record by how much the first event of the attempt missed its prediction."""
        late_by_s = now - self.started_at - self.choice.predicted_s
        self.backend.record_first_event(late_by_s, now)
        self.backend.first_events.record_arrived(self.first_event_number, now)
        # Smaller differences from a prediction are its usual error.
        usual_s = max(self.choice.predicted_s, MIN_UNEXPECTED_DELAY_S)
        self.flow.announcements.record_pace(
            self.backend, now - self.started_at, usual_s, self.started_at
        )
        if self.samples_first_event:
            self.backend.measured.record_answered(self.sample_number, now)
            self.record_pace(now)

    def record_plain_head(self, now: float) -> None:
        """Record the head of an answer without events, such as an error."""
        self.backend.first_events.record_arrived(self.first_event_number, now)

    def record_answer(self, status: int, streaming: bool, now: float) -> None:
        """Record the attempt and its duration after a complete answer."""
        self.backend.record_success()
        self.record_duration(status, now)
        if not streaming:
            others = self.flow.board.backends.serving(self.state.service)
            self.flow.announcements.record_pace(
                self.backend,
                now - self.started_at,
                usual_duration_s(self.backend, others),
                self.started_at,
            )

    def record_duration(self, status: int, now: float) -> None:
        """Record the duration of the attempt, which was answered."""
        measured = self.backend.measured
        self.backend.record_duration(now - self.started_at)
        if self.samples_first_event or status >= 400:
            # An answer without events says nothing about the first event of others. A
            # server that rejects requests at once is not a fast one.
            measured.drop(self.sample_number)
        else:
            measured.record_answered(self.sample_number, now)
            self.record_pace(now)

    def record_pace(self, now: float) -> None:
        """Record the measured time of the attempt against the expected one."""
        if self.sample_number and self.choice.expected_s:
            self.flow.instruments.record_pace(
                (now - self.started_at) / self.choice.expected_s
            )

    def record_end(self, now: float) -> None:
        """Record that the attempt ended, whatever its result was."""
        self.backend.memory.record_ended(self.memory_number)
        self.backend.measured.record_unanswered(self.sample_number, now)
        self.backend.first_events.record_ended(self.first_event_number, now)
