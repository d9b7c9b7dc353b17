"""
Admission control of one backend server: start a run, queue it or refuse it.

A run that cannot end by its deadline is refused as soon as this is predicted, on
arrival or while it waits. Suspect requests run one at a time, so that a crash of the
engine can be attributed to one of them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from ..outcomes import NotRun, Reason
from .fair_queue import FairQueue, WaitingRun

if TYPE_CHECKING:
    from ..identifiers import RunId
    from .limit import ConcurrencyLimit

SERVICE_TIME_SMOOTHING = 0.1
OVERTAKING_DELAY_SMOOTHING = 0.1
# Run lengths vary: a run that is shorter than the mean may still meet its deadline.
MIN_SERVICE_TIME_SHARE = 0.5
SERVICE_TIME_DEVIATIONS = 2.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
MAX_WAITING = 256


class Admitted(StrEnum):
    """The decision on an offered run that is not refused."""

    STARTS = "starts"
    WAITS = "waits"


@dataclass(frozen=True, slots=True)
class RefusedRun:
    """A waiting run that was refused, and the refusal."""

    run: WaitingRun
    refusal: NotRun


class InFlight(NamedTuple):
    """A run that was started on the engine, and its start time."""

    run: WaitingRun
    started_at: float


class WaitingSuspect(NamedTuple):
    """A suspect run that waits for an earlier one, and its workspace's weight."""

    run: WaitingRun
    weight: float


@dataclass(slots=True)
class Admission:
    """
    The admission state of one backend server.

    ``mean_service_s`` and ``deviation_s`` are the smoothed mean and mean deviation of
    the time that a run takes. ``expected_starts`` holds the start time that was
    predicted for each waiting run when it arrived. ``overtaking_delay_s`` maps a
    priority to the mean delay of its runs after their predicted start, caused by runs
    that arrived later and started first. ``refused`` collects refused waiting runs
    until ``take_refused`` returns them.
    """

    limit: ConcurrencyLimit
    queue: FairQueue = field(default_factory=FairQueue)
    waiting: dict[RunId, WaitingRun] = field(default_factory=dict)
    in_flight: dict[RunId, InFlight] = field(default_factory=dict)
    suspects: deque[WaitingSuspect] = field(default_factory=deque)
    suspect_in_flight: RunId | None = None
    mean_service_s: float = 0.0
    deviation_s: float = 0.0
    expected_starts: dict[RunId, float] = field(default_factory=dict)
    overtaking_delay_s: dict[int, float] = field(default_factory=dict)
    refused: list[RefusedRun] = field(default_factory=list)

    def offer(
        self, run: WaitingRun, weight: float, suspect: bool, now: float
    ) -> Admitted | NotRun:
        """Decide on a new run and set its workspace's weight to ``weight``."""
        self.queue.set_weight(run.workspace, weight)
        wait_s = self.estimate_wait_s(run, weight)
        overtaking_delay_s = (
            self.overtaking_delay_s.get(run.priority, 0.0) if wait_s else 0.0
        )
        if self.would_miss_deadline(run, now + wait_s + overtaking_delay_s):
            return self.build_refusal(run, weight, wait_s)
        if suspect:
            return self.offer_suspect(run, weight, now)
        if not self.queue.size and len(self.in_flight) < self.limit.current():
            self.record_start(run, weight, now)
            return Admitted.STARTS
        self.queue.push(run, weight)
        self.waiting[run.run_id] = run
        self.expected_starts[run.run_id] = now + wait_s
        if self.queue.size > MAX_WAITING:
            excess = self.queue.last_of_longest_queue()
            refusal = self.build_refusal(excess, self.queue.weight_of(excess), wait_s)
            if excess is run:
                self.remove_waiting(run)
                return refusal
            self.refuse_waiting(excess, refusal)
        self.refuse_displaced_runs(run, weight, now)
        return Admitted.WAITS

    def refuse_displaced_runs(self, run: WaitingRun, weight: float, now: float) -> None:
        """Refuse a workspace's last runs if a new run makes them too late."""
        while (last := self.queue.last_waiting(run.workspace)) is not None:
            wait_s = self.estimate_wait_s(last, weight)
            if last is run or not self.would_miss_deadline(last, now + wait_s):
                return
            self.update_overtaking_delay(last, now + wait_s)
            self.refuse_waiting(last, self.build_refusal(last, weight, wait_s))

    def offer_suspect(
        self, run: WaitingRun, weight: float, now: float
    ) -> Admitted | NotRun:
        """Decide on a run that may crash the engine."""
        if self.suspect_in_flight is None:
            self.suspect_in_flight = run.run_id
            self.record_start(run, weight, now)
            return Admitted.STARTS
        if len(self.suspects) >= MAX_WAITING:
            return NotRun(
                Reason.OVERLOADED, self.clamp_retry_after_s(self.mean_service_s)
            )
        self.suspects.append(WaitingSuspect(run, weight))
        self.waiting[run.run_id] = run
        return Admitted.WAITS

    def record_start(self, run: WaitingRun, weight: float, now: float) -> None:
        """Record that a run has started."""
        self.queue.record_start(run, weight)
        self.in_flight[run.run_id] = InFlight(run, now)

    def estimate_wait_s(self, run: WaitingRun, weight: float) -> float:
        """Return the estimated time in seconds until a new run starts."""
        has_free_slot = len(self.in_flight) < self.limit.current()
        if (has_free_slot and not self.queue.size) or not self.mean_service_s:
            return 0.0
        runs_per_s = self.limit.current() / self.mean_service_s
        share = self.queue.share(run.workspace, weight)
        return (self.queue.count_ahead(run) + 1) / (runs_per_s * share)

    def would_miss_deadline(self, run: WaitingRun, start_at: float) -> bool:
        """Return whether a run that starts at ``start_at`` cannot meet its deadline."""
        required_s = self.mean_service_s if self.queue.size else self.min_service_s()
        return start_at + required_s > run.deadline

    def build_refusal(self, run: WaitingRun, weight: float, wait_s: float) -> NotRun:
        """Return the refusal of a run, with its reason and retry delay."""
        over_share = self.queue.exceeds_share(run.workspace, weight)
        reason = Reason.FAIR_SHARE if over_share else Reason.OVERLOADED
        return NotRun(reason, self.clamp_retry_after_s(wait_s))

    def clamp_retry_after_s(self, wait_s: float) -> float:
        """Return ``wait_s`` limited to the allowed range of retry delays."""
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def record_first_token(self, run_id: RunId, now: float) -> None:
        """Add a run's time to first token to the samples of the concurrency limit."""
        started = self.in_flight.get(run_id)
        if started is not None:
            self.limit.add_sample(now - started.started_at, len(self.in_flight), now)

    def record_end(self, run_id: RunId, done: bool, now: float) -> None:
        """Record the end of a run that is in flight or waiting."""
        waiting = self.waiting.get(run_id)
        if waiting is not None:
            self.remove_waiting(waiting)
            return
        ended = self.in_flight.pop(run_id, None)
        if ended is None:
            return
        self.queue.record_end(ended.run.workspace)
        if self.suspect_in_flight == run_id:
            self.suspect_in_flight = None
        if done:
            self.update_service_time(now - ended.started_at)

    def update_service_time(self, run_s: float) -> None:
        """Update the mean and deviation of the service time with one run's time."""
        if not self.mean_service_s:
            self.mean_service_s, self.deviation_s = run_s, run_s / 2
            return
        error_s = run_s - self.mean_service_s
        self.mean_service_s += SERVICE_TIME_SMOOTHING * error_s
        self.deviation_s += SERVICE_TIME_SMOOTHING * (abs(error_s) - self.deviation_s)

    def update_overtaking_delay(self, run: WaitingRun, start_at: float) -> None:
        """Update the overtaking delay with a run's actual or predicted start."""
        late_s = start_at - self.expected_starts.pop(run.run_id, start_at)
        mean_s = self.overtaking_delay_s.get(run.priority, 0.0)
        updated_s = mean_s + OVERTAKING_DELAY_SMOOTHING * (late_s - mean_s)
        self.overtaking_delay_s[run.priority] = max(0.0, updated_s)

    def min_service_s(self) -> float:
        """Return a lower estimate of a run's service time, in seconds."""
        typical_s = self.mean_service_s - SERVICE_TIME_DEVIATIONS * self.deviation_s
        return max(typical_s, self.mean_service_s * MIN_SERVICE_TIME_SHARE)

    def remove_waiting(self, run: WaitingRun) -> None:
        """Remove a waiting run."""
        self.expected_starts.pop(run.run_id, None)
        del self.waiting[run.run_id]
        for suspect in self.suspects:
            if suspect.run is run:
                self.suspects.remove(suspect)
                return
        self.queue.remove(run)

    def refuse_waiting(self, run: WaitingRun, refusal: NotRun) -> None:
        """Remove a waiting run and collect its refusal."""
        self.remove_waiting(run)
        self.refused.append(RefusedRun(run, refusal))

    def start_waiting_runs(self, now: float) -> list[WaitingRun]:
        """Refuse late runs, then start and return the runs that the limit allows."""
        self.refuse_late_runs(now)
        started = []
        while self.queue.size and len(self.in_flight) < self.limit.current():
            run = self.queue.pop()
            self.update_overtaking_delay(run, now)
            del self.waiting[run.run_id]
            self.in_flight[run.run_id] = InFlight(run, now)
            started.append(run)
        if self.suspects and self.suspect_in_flight is None:
            run, weight = self.suspects.popleft()
            del self.waiting[run.run_id]
            self.suspect_in_flight = run.run_id
            self.record_start(run, weight, now)
            started.append(run)
        return started

    def refuse_late_runs(self, now: float) -> None:
        """Refuse the waiting runs that can no longer meet their deadline."""
        min_service_s = self.min_service_s()
        late = []
        for deadline, _, run in self.queue.by_deadline:
            if now + min_service_s <= deadline:
                break
            late.append(run)
        late += [run for run, _ in self.suspects if now + min_service_s > run.deadline]
        for run in late:
            wait_s = self.clamp_retry_after_s(self.mean_service_s)
            self.refuse_waiting(run, NotRun(Reason.OVERLOADED, wait_s))

    def take_refused(self) -> list[RefusedRun]:
        """Return the waiting runs that were refused since the last call."""
        refused, self.refused = self.refused, []
        return refused
