"""
An engine that batches requests, in simulated time.

A pass reads waiting prompts in pieces and then makes some tokens for each request that
is written; the more of them, the slower. The figures are what a service publishes.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from primroselever_core.dispatch.predict import predict_step_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.catalogue.model import EngineFigures

QUEUE = 24  # requests that wait beside those that run; the platform's engines' figure


@dataclass(slots=True)
class Job:
    """A request at an engine; times are simulated seconds, None while not reached."""

    arrived_at: float
    prompt_tokens: float
    answer_tokens: float
    urgency: int = 5
    gives_up_at: float = float("inf")
    unread: float = 0.0
    written: float = 0.0
    first_event_at: float | None = None
    ended_at: float | None = None


@dataclass(slots=True)
class EngineModel:
    """One engine; ``free_at`` is when the pass that is under way ends."""

    figures: EngineFigures
    pace: float = 1.0
    running: list[Job] = field(default_factory=list)
    waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    free_at: float | None = None
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def accept(self, job: Job) -> bool:
        """Queue a request; return False when the engine is full."""
        if len(self.running) + len(self.waiting) >= self.figures.slots + QUEUE:
            return False
        job.unread = job.prompt_tokens
        heapq.heappush(self.waiting, (job.urgency, next(self.numbers), job))
        return True

    def begin_pass(self, now: float) -> float | None:
        """Begin a pass; return when it ends, None when there is nothing to do."""
        while self.waiting and len(self.running) < self.figures.slots:
            job = heapq.heappop(self.waiting)[2]
            if job.gives_up_at > now:
                self.running.append(job)
        if not self.running:
            self.free_at = None
            return None
        steps = self.figures.steps_per_pass
        room = float(self.figures.read_chunk_tokens * steps)
        read = 0.0
        for job in self.running:
            part = min(job.unread, room - read)
            job.unread -= part
            read += part
        duration_s = steps * predict_step_s(self.figures, len(self.running))
        duration_s += read / self.figures.read_tokens_per_s
        self.free_at = now + self.pace * duration_s
        return self.free_at

    def end_pass(self, now: float, ended: Callable[[Job], None]) -> None:
        """Take in the tokens of a pass that ends now; say which answers are whole."""
        still = []
        for job in self.running:
            if job.gives_up_at <= now:
                continue
            if job.unread <= 0:
                job.written += self.figures.steps_per_pass
                if job.first_event_at is None:
                    job.first_event_at = now
            if job.written >= job.answer_tokens:
                job.ended_at = now
                ended(job)
            else:
                still.append(job)
        self.running = still
