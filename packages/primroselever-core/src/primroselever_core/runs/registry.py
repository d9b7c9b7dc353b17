"""
The runs that one agent incarnation was given, and the tombstones it set.

A run's identifier is used once. Whoever asks about a run that is not here sets a
tombstone: a start for it that arrives later is refused for good, so that "not
run" may be said. Compare the explicit resolution of timeouts here with a
timeout that is taken for a failure.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from ..outcomes import NotRun, Reason

if TYPE_CHECKING:
    from ..identifiers import Fingerprint, RunId, ServiceName, WorkspaceName
    from .answer_buffer import AnswerBuffer


class RunState(StrEnum):
    """Where a run stands, as it is said on the wire."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISSING = "missing"


@dataclass(slots=True)
class Run:
    """
    One run; ``deadline`` is the caller's, ``kept_until`` that of the record.

    ``reason`` says why a run is failed or not run; ``read_out`` that its end was
    told to whoever reads the answer.
    """

    run_id: RunId
    service: ServiceName
    workspace: WorkspaceName
    fingerprint: Fingerprint
    idempotent: bool
    deadline: float
    answer: AnswerBuffer
    state: RunState = RunState.RUNNING
    reason: Reason | None = None
    kept_until: float | None = None
    weights_digest: str = ""
    read_out: bool = False


@dataclass(slots=True)
class RunRegistry:
    """
    All runs by identifier; ended ones are kept for ``keep_s`` seconds.

    A tombstone is kept longer than any start could still be on its way.
    """

    keep_s: float
    tombstone_s: float
    runs: dict[RunId, Run] = field(default_factory=dict)
    tombstones: dict[RunId, float] = field(default_factory=dict)

    def admit(self, run: Run, now: float) -> Run | NotRun:
        """
        Record a run that starts now and return it.

        A second start of the same run returns the first one's record; a start
        behind a tombstone or past its deadline returns ``NotRun``.
        """
        if run.run_id in self.tombstones:
            return NotRun(Reason.TOMBSTONE)
        known = self.runs.get(run.run_id)
        if known is not None:
            return known
        if now >= run.deadline:
            return NotRun(Reason.DEADLINE_PASSED)
        self.runs[run.run_id] = run
        return run

    def resolve(self, run_id: RunId, now: float) -> Run | NotRun:
        """Return the run or, if it never started, set its tombstone."""
        known = self.runs.get(run_id)
        if known is not None:
            return known
        self.tombstones.setdefault(run_id, now + self.tombstone_s)
        return NotRun(Reason.TOMBSTONE)

    def end(self, run: Run, state: RunState, reason: Reason | None, now: float) -> None:
        """Record how a run ended; only the first end counts."""
        if run.state is not RunState.RUNNING:
            return
        run.state = state
        run.reason = reason
        run.kept_until = now + self.keep_s

    def in_flight(self) -> int:
        """Return how many runs are running."""
        return sum(run.state is RunState.RUNNING for run in self.runs.values())

    def unread(self) -> int:
        """Return how many runs have ended without their end being told."""
        return sum(
            run.state is not RunState.RUNNING and not run.read_out
            for run in self.runs.values()
        )

    def expire(self, now: float) -> None:
        """Drop ended runs and tombstones whose deadline has passed."""
        for run_id, run in list(self.runs.items()):
            if run.kept_until is not None and run.kept_until <= now:
                del self.runs[run_id]
        for run_id, deadline in list(self.tombstones.items()):
            if deadline <= now:
                del self.tombstones[run_id]
