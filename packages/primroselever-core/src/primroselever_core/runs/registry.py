"""
Registry of the runs of one agent incarnation, and their answers.

A run's identifier is used once. Resolving a run that never started sets a tombstone,
and so does a refusal. A start of that run that arrives later is refused permanently,
so that "not run" is a safe answer. Runs whose record was dropped are unknown.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from ..outcomes import NotRun, Reason, Unknown
from .start_book import StartBook, StartStanding

if TYPE_CHECKING:
    from ..identifiers import Fingerprint, RunId, ServiceName, WorkspaceName
    from .answer_buffer import AnswerBuffer

MAX_ENDED_BYTES = 32 << 20


class RunState(StrEnum):
    """The state of a run; the values are sent on the wire."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISSING = "missing"


@dataclass(slots=True)
class Run:
    """
    One run; ``deadline`` is the caller's, ``kept_until`` when the record expires.

    ``reason`` is the reason for a state of failed or not run. ``epoch`` is the epoch
    named in the start. ``end_sent`` is set once the ending was sent to a reader.
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
    retry_after_s: float | None = None
    kept_until: float | None = None
    weights_digest: str = ""
    epoch: int = 1
    end_sent: bool = False


@dataclass(slots=True)
class RunRegistry:
    """
    All runs by identifier; ended runs are kept for ``keep_s`` seconds.

    ``max_ended_bytes`` bounds the total size of the answers of ended runs. The run that
    ended first is dropped first; a later read of it reports that the answer is gone.
    """

    keep_s: float
    max_ended_bytes: int = MAX_ENDED_BYTES
    book: StartBook = field(default_factory=StartBook)
    runs: dict[RunId, Run] = field(default_factory=dict)
    ended: deque[Run] = field(default_factory=deque)
    ended_bytes: int = 0
    running: int = 0

    def admit(self, run: Run, now: float) -> Run | NotRun | Unknown:
        """
        Record a run that starts now and return it.

        A repeated start returns the record of the first one, or ``Unknown`` if that
        was dropped. A start after a tombstone or after its deadline returns ``NotRun``.
        """
        recorded = self.look_up_run(run.run_id, run.epoch)
        if recorded is not None:
            return recorded
        if now >= run.deadline:
            return self.refuse_start(
                run.run_id, run.epoch, NotRun(Reason.DEADLINE_PASSED)
            )
        self.book.mark_started(run.run_id, run.epoch)
        self.runs[run.run_id] = run
        self.running += 1
        return run

    def look_up_run(self, run_id: RunId, epoch: int) -> Run | NotRun | Unknown | None:
        """Return the run or outcome of an identifier, or None if it may still start."""
        run = self.runs.get(run_id)
        if run is not None:
            return run
        standing = self.book.standing(run_id, epoch)
        return None if standing is StartStanding.NEW else ending_of_standing(standing)

    def refuse_start(
        self, run_id: RunId, epoch: int, refusal: NotRun
    ) -> NotRun | Unknown:
        """Refuse a new start permanently and return the ending to report."""
        standing = self.book.mark_tombstone(run_id, epoch)
        return (
            refusal
            if standing is StartStanding.TOMBSTONE
            else ending_of_standing(standing)
        )

    def resolve(self, run_id: RunId, epoch: int) -> Run | NotRun | Unknown:
        """Return the run; if it never started, set its tombstone and refuse it."""
        recorded = self.look_up_run(run_id, epoch)
        if recorded is not None:
            return recorded
        return self.refuse_start(run_id, epoch, NotRun(Reason.TOMBSTONE))

    def end(self, run: Run, state: RunState, reason: Reason | None, now: float) -> None:
        """Record how a run ended; only the first end counts."""
        if run.state is not RunState.RUNNING:
            return
        run.state = state
        run.reason = reason
        run.kept_until = now + self.keep_s
        self.running -= 1
        self.ended.append(run)
        self.ended_bytes += len(run.answer.data)
        while self.ended_bytes > self.max_ended_bytes and len(self.ended) > 1:
            self.drop_oldest()

    def in_flight(self) -> int:
        """Return how many runs are running."""
        return self.running

    def drop_oldest(self) -> None:
        """Drop the run that ended first; its identifier stays marked as started."""
        run = self.ended.popleft()
        self.ended_bytes -= len(run.answer.data)
        del self.runs[run.run_id]

    def count_unread(self) -> int:
        """Return the number of ended runs whose ending was not yet sent to a reader."""
        return sum(
            run.state is not RunState.RUNNING and not run.end_sent
            for run in self.runs.values()
        )

    def expire(self, now: float) -> None:
        """Drop ended runs that were kept for ``keep_s`` seconds."""
        while self.ended and (self.ended[0].kept_until or 0.0) <= now:
            self.drop_oldest()


def ending_of_standing(standing: StartStanding) -> NotRun | Unknown:
    """Return the ending of a start whose identifier already has this standing."""
    if standing is StartStanding.TOMBSTONE:
        return NotRun(Reason.TOMBSTONE)
    if standing is StartStanding.STARTED:
        return Unknown(Reason.ANSWER_GONE)
    return Unknown(Reason.START_EXPIRED)
