"""
Running requests: each in a greenlet, its answer into a buffer read by offset.
"""

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
    from .answers import Answers

ONCE_GRACE_S = 30.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RunEnd:
    """How a run ended; ``reason`` is None for one that is done."""

    state: RunState
    reason: Reason | None


class RunObserver(Protocol):
    """Who is told how runs go, before their readers are."""

    def first_data(self, run: Run) -> None:
        """Take in that a run's answer has begun."""
        ...

    def failed(self, run: Run, error: BackendError) -> None:
        """Take in that a run failed and will be ended for it."""
        ...

    def ended(self, run: Run, state: RunState) -> None:
        """Take in a run's end."""
        ...


class Runner:
    """Starts and cancels runs, and tells the readers of their answers."""

    def __init__(
        self, registry: RunRegistry, backend: Backend, answers: Answers
    ) -> None:
        self.registry = registry
        self.backend = backend
        self.observer: RunObserver | None = None
        self.answers = answers
        self.greenlets: dict[RunId, Any] = {}

    def start(self, run: Run, body: bytes, priority: int) -> None:
        """Start a run that the registry has admitted."""
        self.greenlets[run.run_id] = eventlet.spawn(self.carry, run, body, priority)

    def carry(self, run: Run, body: bytes, priority: int) -> None:
        """Carry one run to its end, whatever happens."""
        end = RunEnd(RunState.FAILED, Reason.ENGINE_FAILED)
        try:
            end = self.attempt(run, body, priority)
        except Exception:
            logger.exception("run %s failed", run.run_id)
        self.end(run, end.state, end.reason)
        if end.reason is Reason.DEADLINE_PASSED:
            self.cancel_at_backend(run)

    def cancel_at_backend(self, run: Run) -> None:
        """Tell the engine that a run has ended, after its readers were told."""
        try:
            self.backend.cancel(run)
        except Exception:
            logger.exception("run %s could not be cancelled", run.run_id)

    def attempt(self, run: Run, body: bytes, priority: int) -> RunEnd:
        """Run a request on the back end, and return how that ended."""
        try:
            with eventlet.Timeout(self.time_left_s(run)):
                self.collect_answer(run, body, priority)
        except BackendError as exc:
            logger.warning("run %s failed: %s", run.run_id, exc)
            if self.observer is not None:
                self.observer.failed(run, exc)
            state = RunState.NOT_RUN if exc.never_ran else RunState.FAILED
            return RunEnd(state, exc.reason)
        except eventlet.Timeout:
            return RunEnd(RunState.FAILED, Reason.DEADLINE_PASSED)
        return RunEnd(RunState.DONE, None)

    def collect_answer(self, run: Run, body: bytes, priority: int) -> None:
        """Append the answer to the run's buffer as it comes."""
        for data in self.backend.run(run, body, priority):
            if self.observer is not None and not run.answer.data:
                self.observer.first_data(run)
            if not run.answer.append(data):
                raise BackendError(Reason.ANSWER_DAMAGED, "answer too long")
            self.answers.note(run.run_id)

    def time_left_s(self, run: Run) -> float:
        """
        Return how long a run may still take, in seconds.

        A call that must run once goes on for a while after its caller's deadline:
        the caller may come back with the ticket and get the answer.
        """
        grace_s = 0.0 if run.idempotent else ONCE_GRACE_S
        return max(0.0, run.deadline - clock.now()) + grace_s

    def cancel(self, run: Run) -> None:
        """Stop a run for its caller; one that must run once goes on."""
        if not run.idempotent:
            return
        greenlet = self.greenlets.get(run.run_id)
        if greenlet is not None and run.state is RunState.RUNNING:
            self.end(run, RunState.FAILED, Reason.CANCELLED)
            greenlet.kill()
            self.cancel_at_backend(run)

    def end(self, run: Run, state: RunState, reason: Reason | None) -> None:
        """Record an end and tell its readers."""
        self.greenlets.pop(run.run_id, None)
        self.registry.end(run, state, reason, clock.now())
        self.answers.note(run.run_id)
        if self.observer is not None:
            self.observer.ended(run, state)
