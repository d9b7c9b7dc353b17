"""
Whether a run starts now, waits or is refused.

A run that cannot be served by its deadline is refused as soon as that is known: at
its arrival, or while it waits. Suspect requests run one at a time, so that a crash
tells which of them was its cause.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from ..outcomes import NotRun, Reason
from .fair_queue import FairQueue, Waiting

if TYPE_CHECKING:
    from ..identifiers import RunId
    from .limit import ConcurrencyLimit

SERVICE_SMOOTHING = 0.1
OVERTAKING_SMOOTHING = 0.1
# Runs differ in length; one that needs less than usual may still be in time.
LEAST_PART_OF_SERVICE = 0.5
DEVIATIONS = 2.0
SHORTEST_RETRY_S = 0.1
LONGEST_RETRY_S = 30.0
MAX_WAITING = 256


class Admitted(StrEnum):
    """What becomes of a run that is not refused."""

    STARTS = "starts"
    WAITS = "waits"


@dataclass(frozen=True, slots=True)
class Refused:
    """A run that waited and is refused after all."""

    run: Waiting
    refusal: NotRun


class InFlight(NamedTuple):
    """A run that the engine has, and when it was started."""

    run: Waiting
    started_at: float


class WaitingSuspect(NamedTuple):
    """A suspect run that waits for the one before it, and its workspace's weight."""

    run: Waiting
    weight: float


@dataclass(slots=True)
class Admission:
    """
    The decisions of one server; ``service_s`` is how long runs take on average, and
    ``deviation_s`` by how much they differ from that.

    ``due`` says when waiting runs were expected to start, ``overtaken_s`` by how much
    later the runs of a priority are due in the end, since others come in before them.
    ``refused`` collects waiting runs that lost their place until they are taken.
    """

    limit: ConcurrencyLimit
    queue: FairQueue = field(default_factory=FairQueue)
    waiting: dict[RunId, Waiting] = field(default_factory=dict)
    in_flight: dict[RunId, InFlight] = field(default_factory=dict)
    suspects: deque[WaitingSuspect] = field(default_factory=deque)
    suspect_in_flight: RunId | None = None
    service_s: float = 0.0
    deviation_s: float = 0.0
    due: dict[RunId, float] = field(default_factory=dict)
    overtaken_s: dict[int, float] = field(default_factory=dict)
    refused: list[Refused] = field(default_factory=list)

    def offer(
        self, run: Waiting, weight: float, suspect: bool, now: float
    ) -> Admitted | NotRun:
        """Decide on a new run; ``weight`` is its workspace's from now on."""
        self.queue.reweigh(run.workspace, weight)
        wait_s = self.expected_wait_s(run, weight)
        overtaken_s = self.overtaken_s.get(run.priority, 0.0) if wait_s else 0.0
        if self.too_late(run, now + wait_s + overtaken_s):
            return self.refusal(run, weight, wait_s)
        if suspect:
            return self.offer_suspect(run, weight, now)
        if not self.queue.size and len(self.in_flight) < self.limit.current():
            self.start(run, weight, now)
            return Admitted.STARTS
        self.queue.push(run, weight)
        self.waiting[run.run_id] = run
        self.due[run.run_id] = now + wait_s
        if self.queue.size > MAX_WAITING:
            victim = self.queue.longest()
            refusal = self.refusal(victim, self.queue.weight_of(victim), wait_s)
            if victim is run:
                self.withdraw(run)
                return refusal
            self.drop(victim, refusal)
        self.refuse_displaced(run, weight, now)
        return Admitted.WAITS

    def refuse_displaced(self, run: Waiting, weight: float, now: float) -> None:
        """Refuse the last runs of a workspace when a new one takes their time."""
        while (last := self.queue.last(run.workspace)) is not None:
            wait_s = self.expected_wait_s(last, weight)
            if last is run or not self.too_late(last, now + wait_s):
                return
            self.learn_overtaking(last, now + wait_s)
            self.drop(last, self.refusal(last, weight, wait_s))

    def offer_suspect(
        self, run: Waiting, weight: float, now: float
    ) -> Admitted | NotRun:
        """Decide on a run that may crash the engine."""
        if self.suspect_in_flight is None:
            self.suspect_in_flight = run.run_id
            self.start(run, weight, now)
            return Admitted.STARTS
        if len(self.suspects) >= MAX_WAITING:
            return NotRun(Reason.OVERLOADED, self.retry_after_s(self.service_s))
        self.suspects.append(WaitingSuspect(run, weight))
        self.waiting[run.run_id] = run
        return Admitted.WAITS

    def start(self, run: Waiting, weight: float, now: float) -> None:
        """Count a run as started."""
        self.queue.start(run, weight)
        self.in_flight[run.run_id] = InFlight(run, now)

    def expected_wait_s(self, run: Waiting, weight: float) -> float:
        """Return how long a new run is expected to wait for its start."""
        free = len(self.in_flight) < self.limit.current()
        if (free and not self.queue.size) or not self.service_s:
            return 0.0
        per_s = self.limit.current() / self.service_s
        share = self.queue.share(run.workspace, weight)
        return (self.queue.ahead(run) + 1) / (per_s * share)

    def too_late(self, run: Waiting, start_at: float) -> bool:
        """Return whether a run that starts then cannot end by its deadline."""
        needed_s = self.service_s if self.queue.size else self.least_service_s()
        return start_at + needed_s > run.deadline

    def refusal(self, run: Waiting, weight: float, wait_s: float) -> NotRun:
        """Return why a run is refused and when to come back."""
        beyond = self.queue.beyond_share(run.workspace, weight)
        reason = Reason.FAIR_SHARE if beyond else Reason.OVERLOADED
        return NotRun(reason, self.retry_after_s(wait_s))

    def retry_after_s(self, wait_s: float) -> float:
        """Return a wait within reason, in seconds."""
        return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s))

    def first_token(self, run_id: RunId, now: float) -> None:
        """Take in that a run's answer has begun."""
        found = self.in_flight.get(run_id)
        if found is not None:
            self.limit.sample(now - found.started_at, len(self.in_flight), now)

    def ended(self, run_id: RunId, done: bool, now: float) -> None:
        """Take in the end of a run, in flight or waiting."""
        waiting = self.waiting.get(run_id)
        if waiting is not None:
            self.withdraw(waiting)
            return
        found = self.in_flight.pop(run_id, None)
        if found is None:
            return
        self.queue.ended(found.run.workspace)
        if self.suspect_in_flight == run_id:
            self.suspect_in_flight = None
        if done:
            self.learn_service(now - found.started_at)

    def learn_service(self, taken_s: float) -> None:
        """Take in how long a run took."""
        if not self.service_s:
            self.service_s, self.deviation_s = taken_s, taken_s / 2
            return
        error_s = taken_s - self.service_s
        self.service_s += SERVICE_SMOOTHING * error_s
        self.deviation_s += SERVICE_SMOOTHING * (abs(error_s) - self.deviation_s)

    def learn_overtaking(self, run: Waiting, starts_at: float) -> None:
        """Take in when a waiting run starts, or would, against what was expected."""
        late_s = starts_at - self.due.pop(run.run_id, starts_at)
        known_s = self.overtaken_s.get(run.priority, 0.0)
        learned_s = known_s + OVERTAKING_SMOOTHING * (late_s - known_s)
        self.overtaken_s[run.priority] = max(0.0, learned_s)

    def least_service_s(self) -> float:
        """Return the time that a run needs at least, as runs have been."""
        usual_s = self.service_s - DEVIATIONS * self.deviation_s
        return max(usual_s, self.service_s * LEAST_PART_OF_SERVICE)

    def withdraw(self, run: Waiting) -> None:
        """Take a waiting run out."""
        self.due.pop(run.run_id, None)
        del self.waiting[run.run_id]
        for suspect in self.suspects:
            if suspect.run is run:
                self.suspects.remove(suspect)
                return
        self.queue.remove(run)

    def drop(self, run: Waiting, refusal: NotRun) -> None:
        """Refuse a waiting run after all."""
        self.withdraw(run)
        self.refused.append(Refused(run, refusal))

    def startable(self, now: float) -> list[Waiting]:
        """Start what there is room for and return it; refuse what is too late."""
        self.refuse_late(now)
        started = []
        while self.queue.size and len(self.in_flight) < self.limit.current():
            run = self.queue.pop()
            self.learn_overtaking(run, now)
            del self.waiting[run.run_id]
            self.in_flight[run.run_id] = InFlight(run, now)
            started.append(run)
        if self.suspects and self.suspect_in_flight is None:
            run, weight = self.suspects.popleft()
            del self.waiting[run.run_id]
            self.suspect_in_flight = run.run_id
            self.start(run, weight, now)
            started.append(run)
        return started

    def refuse_late(self, now: float) -> None:
        """Refuse the waiting runs that can no longer end by their deadline."""
        least_s = self.least_service_s()
        late = []
        for deadline, _, run in self.queue.by_deadline:
            if now + least_s <= deadline:
                break
            late.append(run)
        late += [run for run, _ in self.suspects if now + least_s > run.deadline]
        for run in late:
            wait_s = self.retry_after_s(self.service_s)
            self.drop(run, NotRun(Reason.OVERLOADED, wait_s))

    def take_refused(self) -> list[Refused]:
        """Return the waiting runs refused since the last call."""
        refused, self.refused = self.refused, []
        return refused
