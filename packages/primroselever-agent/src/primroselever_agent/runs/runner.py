"""Running requests, each in its own greenlet with a buffer for its answer."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import eventlet

from primroselever_core.outcomes import Reason
from primroselever_core.runs.registry import RunState
from primroselever_node import clock

from ..exceptions import BackendError

if TYPE_CHECKING:
    from primroselever_core.identifiers import RunId
    from primroselever_core.runs.registry import Run, RunRegistry

    from ..engine.backend import Backend
    from .answers import AnswerReaders

NON_IDEMPOTENT_GRACE_S = 30.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RunEnd:
    """How a run ended; ``reason`` is None for a run that is done."""

    state: RunState
    reason: Reason | None


class RunObserver(Protocol):
    """The interface of an observer that is notified of the progress of runs."""

    def on_first_data(self, run: Run) -> None:
        """Handle the first data of a run's answer, before it is appended."""
        ...

    def on_failure(self, run: Run, error: BackendError) -> None:
        """Handle the failure of a run, before its end is recorded."""
        ...

    def on_end(self, run: Run, state: RunState) -> None:
        """Handle the end of a run, after it was recorded."""
        ...


class Runner:
    """Starts and cancels runs, and notifies the readers of their answers."""

    def __init__(
        self, registry: RunRegistry, backend: Backend, answers: AnswerReaders
    ) -> None:
        self.registry = registry
        self.backend = backend
        self.observer: RunObserver | None = None
        self.answers = answers
        self.greenlets: dict[RunId, Any] = {}

    def start(self, run: Run, body: bytes, priority: int) -> None:
        """Start a run that the registry has admitted."""
        self.greenlets[run.run_id] = eventlet.spawn(
            self.run_to_end, run, body, priority
        )

    def run_to_end(self, run: Run, body: bytes, priority: int) -> None:
        """Run a request and record its end, whatever exception is raised."""
        end = RunEnd(RunState.FAILED, Reason.ENGINE_FAILED)
        try:
            end = self.run_at_backend(run, body, priority)
        except Exception:
            logger.exception("run %s failed", run.run_id)
        self.end(run, end.state, end.reason)
        if end.reason is Reason.DEADLINE_PASSED:
            self.cancel_at_backend(run)

    def cancel_at_backend(self, run: Run) -> None:
        """Cancel a run at the back end, after its end was recorded for its readers."""
        try:
            self.backend.cancel(run)
        except Exception:
            logger.exception(
                "run %s could not be cancelled at the back end", run.run_id
            )

    def run_at_backend(self, run: Run, body: bytes, priority: int) -> RunEnd:
        """Run a request on the back end and return how it ended."""
        try:
            with eventlet.Timeout(self.time_left_s(run)):
                self.collect_answer(run, body, priority)
        except BackendError as exc:
            logger.warning("run %s failed: %s", run.run_id, exc)
            if self.observer is not None:
                self.observer.on_failure(run, exc)
            state = RunState.NOT_RUN if exc.never_ran else RunState.FAILED
            return RunEnd(state, exc.reason)
        except eventlet.Timeout:
            return RunEnd(RunState.FAILED, Reason.DEADLINE_PASSED)
        return RunEnd(RunState.DONE, None)

    def collect_answer(self, run: Run, body: bytes, priority: int) -> None:
        """Append the answer to the run's buffer as it arrives."""
        for data in self.backend.run(run, body, priority):
            if self.observer is not None and not run.answer.data:
                self.observer.on_first_data(run)
            if not run.answer.append(data):
                raise BackendError(
                    Reason.ANSWER_DAMAGED, "the answer exceeds answer_limit_bytes"
                )
            self.answers.mark_changed(run.run_id)

    def time_left_s(self, run: Run) -> float:
        """
        Return how long a run may still take, in seconds.

        A non-idempotent run continues for a grace period after its caller's deadline,
        since the caller may return with the ticket and get the answer.
        """
        grace_s = 0.0 if run.idempotent else NON_IDEMPOTENT_GRACE_S
        return max(0.0, run.deadline - clock.now()) + grace_s

    def cancel(self, run: Run) -> None:
        """Cancel a run for its caller; a non-idempotent run continues."""
        if not run.idempotent:
            return
        greenlet = self.greenlets.get(run.run_id)
        if greenlet is not None and run.state is RunState.RUNNING:
            self.end(run, RunState.FAILED, Reason.CANCELLED)
            greenlet.kill()
            self.cancel_at_backend(run)

    def end(self, run: Run, state: RunState, reason: Reason | None) -> None:
        """Record a run's end, and notify its readers and the observer."""
        self.greenlets.pop(run.run_id, None)
        self.registry.end(run, state, reason, clock.now())
        self.answers.mark_changed(run.run_id)
        if self.observer is not None:
            self.observer.on_end(run, state)
