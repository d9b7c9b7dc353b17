"""
Running requests: each in a greenlet, its answer into a buffer read by offset.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from typing import TYPE_CHECKING, Any, Protocol

import eventlet
from eventlet.event import Event

from primroselever_core.outcomes import Reason
from primroselever_core.runs.registry import RunState
from primroselever_node import clock

from ..exceptions import BackendError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroselever_core.identifiers import RunId
    from primroselever_core.runs.registry import Run, RunRegistry

    from ..engine.backend import Backend

logger = logging.getLogger(__name__)


class RunObserver(Protocol):
    """Who is told how runs go, before their readers are."""

    def first_data(self, run: Run) -> None:
        """Take in that a run's answer has begun."""
        ...

    def failed(self, run: Run, reason: Reason) -> None:
        """Take in that a run failed and will be ended for it."""
        ...

    def ended(self, run: Run, state: RunState) -> None:
        """Take in a run's end."""
        ...


class Runner:
    """Starts and cancels runs, and wakes whoever waits for their answers."""

    def __init__(self, registry: RunRegistry, backend: Backend) -> None:
        self.registry = registry
        self.backend = backend
        self.observer: RunObserver | None = None
        self.greenlets: dict[RunId, Any] = {}
        self.waiting: dict[RunId, set[Event]] = defaultdict(set)

    def start(self, run: Run, body: bytes, priority: int) -> None:
        """Start a run that the registry has admitted."""
        self.greenlets[run.run_id] = eventlet.spawn(self.carry, run, body, priority)

    def carry(self, run: Run, body: bytes, priority: int) -> None:
        """Carry one run to its end, whatever happens."""
        state, reason = RunState.FAILED, Reason.ENGINE_FAILED
        try:
            with eventlet.Timeout(max(0.0, run.deadline - clock.now())):
                for data in self.backend.run(run, body, priority):
                    if self.observer is not None and not run.answer.data:
                        self.observer.first_data(run)
                    if not run.answer.append(data):
                        raise BackendError(Reason.ANSWER_DAMAGED, "answer too long")
                    self.wake(run.run_id)
            self.end(run, RunState.DONE, None)
            return
        except BackendError as exc:
            reason = exc.reason
            logger.warning("run %s failed: %s", run.run_id, exc)
            if self.observer is not None:
                self.observer.failed(run, reason)
        except eventlet.Timeout:
            reason = Reason.DEADLINE_PASSED
            self.backend.cancel(run)
        except Exception:
            logger.exception("run %s failed", run.run_id)
        self.end(run, state, reason)

    def cancel(self, run: Run) -> None:
        """Stop a run for its caller."""
        greenlet = self.greenlets.get(run.run_id)
        if greenlet is not None and run.state is RunState.RUNNING:
            self.end(run, RunState.FAILED, Reason.CANCELLED)
            greenlet.kill()
            self.backend.cancel(run)

    def end(self, run: Run, state: RunState, reason: Reason | None) -> None:
        """Record an end and wake whoever waits for it."""
        self.greenlets.pop(run.run_id, None)
        self.registry.end(run, state, reason, clock.now())
        self.wake(run.run_id)
        if self.observer is not None:
            self.observer.ended(run, state)

    def wake(self, run_id: RunId) -> None:
        """Wake the readers of a run."""
        for event in self.waiting.pop(run_id, ()):
            if not event.ready():
                event.send()

    def wait(self, run_ids: Iterable[RunId], timeout_s: float) -> None:
        """Block until one of the runs has more to read, or the time is over."""
        event = Event()
        run_ids = list(run_ids)
        for run_id in run_ids:
            self.waiting[run_id].add(event)
        with eventlet.Timeout(timeout_s, False):
            event.wait()
        for run_id in run_ids:
            readers = self.waiting.get(run_id)
            if readers is not None:
                readers.discard(event)
                if not readers:
                    del self.waiting[run_id]
