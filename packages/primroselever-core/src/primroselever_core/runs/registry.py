"""
The runs that one agent incarnation was given, and their answers.

A run's identifier is used once. Whoever asks about a run that never started
sets a tombstone, and so does a refusal: a start for it that arrives later is
refused for good, so that "not run" may be said. What was forgotten is unknown.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from ..outcomes import NotRun, Reason, Unknown
from .start_book import Standing, StartBook

if TYPE_CHECKING:
    from ..identifiers import Fingerprint, RunId, ServiceName, WorkspaceName
    from .answer_buffer import AnswerBuffer

ENDED_BYTES_LIMIT = 32 << 20


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

    ``reason`` says why a run is failed or not run. ``epoch`` is the one that its
    start named. ``read_out`` says that its end was told to a reader of the answer.
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
    read_out: bool = False


@dataclass(slots=True)
class RunRegistry:
    """
    All runs by identifier; ended ones are kept for ``keep_s`` seconds.

    ``ended_bytes_limit`` bounds the answers of ended runs; the one that ended
    first is dropped first, and its caller is told that the answer is gone.
    """

    keep_s: float
    ended_bytes_limit: int = ENDED_BYTES_LIMIT
    book: StartBook = field(default_factory=StartBook)
    runs: dict[RunId, Run] = field(default_factory=dict)
    ended: deque[Run] = field(default_factory=deque)
    ended_bytes: int = 0
    running: int = 0

    def admit(self, run: Run, now: float) -> Run | NotRun | Unknown:
        """
        Record a run that starts now and return it.

        A second start of the same run returns the first one's record, or
        ``Unknown`` once that is gone; a start behind a tombstone or past its
        deadline returns ``NotRun``.
        """
        known = self.known(run.run_id, run.epoch)
        if known is not None:
            return known
        if now >= run.deadline:
            return self.refuse(run.run_id, run.epoch, NotRun(Reason.DEADLINE_PASSED))
        self.book.start(run.run_id, run.epoch)
        self.runs[run.run_id] = run
        self.running += 1
        return run

    def known(self, run_id: RunId, epoch: int) -> Run | NotRun | Unknown | None:
        """Return what became of an identifier, or None if it may still start."""
        run = self.runs.get(run_id)
        if run is not None:
            return run
        standing = self.book.standing(run_id, epoch)
        return None if standing is Standing.NEW else said_of(standing)

    def refuse(self, run_id: RunId, epoch: int, refusal: NotRun) -> NotRun | Unknown:
        """Refuse a new start for good and return what may be said of it."""
        standing = self.book.tombstone(run_id, epoch)
        return refusal if standing is Standing.TOMBSTONE else said_of(standing)

    def resolve(self, run_id: RunId, epoch: int) -> Run | NotRun | Unknown:
        """Return the run or, if it never started, set its tombstone."""
        known = self.known(run_id, epoch)
        if known is not None:
            return known
        return self.refuse(run_id, epoch, NotRun(Reason.TOMBSTONE))

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
        while self.ended_bytes > self.ended_bytes_limit and len(self.ended) > 1:
            self.drop_oldest()

    def in_flight(self) -> int:
        """Return how many runs are running."""
        return self.running

    def drop_oldest(self) -> None:
        """Drop the run that ended first; its identifier stays marked."""
        run = self.ended.popleft()
        self.ended_bytes -= len(run.answer.data)
        del self.runs[run.run_id]

    def unread(self) -> int:
        """Return how many runs have ended without their end being told."""
        return sum(
            run.state is not RunState.RUNNING and not run.read_out
            for run in self.runs.values()
        )

    def expire(self, now: float) -> None:
        """Drop ended runs whose deadline has passed."""
        while self.ended and (self.ended[0].kept_until or 0.0) <= now:
            self.drop_oldest()


def said_of(standing: Standing) -> NotRun | Unknown:
    """Return the ending of a start that finds this standing."""
    if standing is Standing.TOMBSTONE:
        return NotRun(Reason.TOMBSTONE)
    if standing is Standing.STARTED:
        return Unknown(Reason.ANSWER_GONE)
    return Unknown(Reason.START_EXPIRED)
