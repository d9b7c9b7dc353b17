from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import pytest

from primroselever_core.admission.admission import Admission, Admitted, RefusedRun
from primroselever_core.admission.fair_queue import WaitingRun
from primroselever_core.admission.limit import ConcurrencyLimit
from primroselever_core.identifiers import Fingerprint, RunId, WorkspaceName
from primroselever_core.outcomes import NotRun

SERVICE_S = 0.5
SLOTS = 8


@dataclass(slots=True)
class Server:
    """A simulated server whose runs each take ``SERVICE_S`` on a fake clock."""

    admission: Admission
    ends: list[tuple[float, int, WaitingRun]] = field(default_factory=list)
    sent: Counter[tuple[str, int]] = field(default_factory=Counter)
    in_time: Counter[tuple[str, int]] = field(default_factory=Counter)
    late: int = 0
    refused_time_left_s: list[float] = field(default_factory=list)
    refused: list[RefusedRun] = field(default_factory=list)
    refusals: list[NotRun] = field(default_factory=list)

    def send(
        self, now: float, workspace: str, priority: int, deadline: float
    ) -> Admitted | NotRun:
        """Offer a run at time ``now`` and return the decision."""
        self.run_until(now)
        number = self.sent.total()
        run = WaitingRun(
            priority,
            deadline,
            number,
            RunId(f"run {number}"),
            WorkspaceName(workspace),
            Fingerprint(f"body {number}"),
        )
        self.sent[workspace, priority] += 1
        decision = self.admission.offer(run, 1.0, False, now)
        self.record_refused(now)
        if decision is Admitted.STARTS:
            heapq.heappush(self.ends, (now + SERVICE_S, number, run))
        elif isinstance(decision, NotRun):
            self.refusals.append(decision)
        return decision

    def run_until(self, now: float) -> None:
        """Simulate the ends and starts of runs up to time ``now``."""
        while self.ends and self.ends[0][0] <= now:
            at, _, run = heapq.heappop(self.ends)
            self.admission.record_end(run.run_id, True, at)
            if at <= run.deadline:
                self.in_time[run.workspace, run.priority] += 1
            else:
                self.late += 1
            for started in self.admission.start_waiting_runs(at):
                heapq.heappush(self.ends, (at + SERVICE_S, started.number, started))
            self.record_refused(at)

    def record_refused(self, now: float) -> None:
        """Record refused waiting runs and the time left until their deadline."""
        for refused in self.admission.take_refused():
            self.refused.append(refused)
            self.refused_time_left_s.append(refused.run.deadline - now)

    def count_done(self, workspace: str) -> int:
        """Return how many runs of a workspace met their deadline."""
        return sum(n for (name, _), n in self.in_time.items() if name == workspace)


@pytest.fixture
def server() -> Server:
    limit = ConcurrencyLimit(highest=SLOTS, lowest=SLOTS, value=SLOTS)
    return Server(Admission(limit))


@pytest.fixture
def arrivals() -> Random:
    return Random(11)


@pytest.fixture
def offer_runs():
    """Return a function that offers runs that do not end and returns the admission."""

    def offer(limit: ConcurrencyLimit, count: int) -> Admission:
        admission = Admission(limit)
        for number in range(count):
            run = WaitingRun(
                5,
                1000.0,
                number,
                RunId(f"run {number}"),
                WorkspaceName("ministry"),
                Fingerprint(f"body {number}"),
            )
            admission.offer(run, 1.0, False, 0.0)
        return admission

    return offer
