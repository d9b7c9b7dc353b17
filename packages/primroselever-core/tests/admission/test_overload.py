"""Admission at twice the capacity: 16 runs per second are served, 32 arrive."""

from __future__ import annotations

from statistics import median

from primroselever_core.admission.admission import MAX_WAITING, Admitted
from primroselever_core.admission.fair_queue import WaitingRun
from primroselever_core.identifiers import Fingerprint, RunId, WorkspaceName
from primroselever_core.outcomes import NotRun, Reason

CAPACITY_PER_S = 16.0
SECONDS = 60.0
DEADLINE_S = 3.0
SMALL = [f"small-{number}" for number in range(9)]


def overload(server, arrivals, large_share=0.5):
    """Send runs at twice the capacity, ``large_share`` of them from one workspace."""
    now = 0.0
    while (now := now + arrivals.expovariate(2 * CAPACITY_PER_S)) < SECONDS:
        large = arrivals.random() < large_share
        workspace = "large" if large else arrivals.choice(SMALL)
        server.send(now, workspace, arrivals.choice([1, 8]), now + DEADLINE_S)
    server.run_until(now + 10)


def test_goodput_stays_near_capacity_and_few_runs_end_late(server, arrivals):
    overload(server, arrivals)
    assert server.in_time.total() / (CAPACITY_PER_S * SECONDS) >= 0.9
    assert server.late <= 0.005 * server.in_time.total()


def test_most_refusals_are_immediate_and_carry_a_retry_delay(server, arrivals):
    overload(server, arrivals)
    assert len(server.refusals) > 0.35 * server.sent.total()
    # A waiting run is refused only when runs of a higher priority displace it, and
    # then with most of the time to its deadline left.
    assert len(server.refused_time_left_s) <= 0.1 * server.sent.total()
    assert median(server.refused_time_left_s) >= 2.0
    assert all(refusal.retry_after_s > 0 for refusal in server.refusals)


def test_a_workspace_that_sends_ten_times_its_share_gets_only_its_share(
    server, arrivals
):
    overload(server, arrivals)
    small = [server.count_done(name) for name in SMALL]
    # Each of the ten workspaces has a tenth; unused shares are open to all of them.
    unused = sum(max(0.0, server.in_time.total() / 10 - n) for n in small)
    assert server.count_done("large") <= server.in_time.total() / 10 * 1.1 + unused
    for name, done in zip(SMALL, small, strict=True):
        sent = sum(n for (workspace, _), n in server.sent.items() if workspace == name)
        assert done >= 0.8 * min(sent, server.in_time.total() / 10)


def test_higher_priorities_are_served_first_within_a_workspace(server, arrivals):
    overload(server, arrivals)
    high = server.in_time["large", 1] / server.sent["large", 1]
    low = server.in_time["large", 8] / server.sent["large", 8]
    assert high > 2 * low


def test_a_run_that_cannot_meet_its_deadline_is_refused_on_arrival(server):
    for number in range(8):
        assert server.send(number / 100, "small-1", 5, 9.0) is Admitted.STARTS
    server.run_until(1.0)
    for _ in range(16):
        server.send(1.0, "small-1", 5, 9.0)
    refusal = server.send(1.0, "small-1", 5, 1.4)
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.OVERLOADED
    assert 0 < refusal.retry_after_s < 2


def test_a_full_queue_admits_a_workspace_below_its_share(server):
    for _ in range(8 + MAX_WAITING):
        server.send(0.0, "large", 5, 1000.0)
    assert isinstance(server.send(0.0, "large", 5, 1001.0), NotRun)
    assert server.send(0.0, "small-1", 5, 1000.0) is Admitted.WAITS
    (refused,) = server.refused
    assert refused.run.workspace == "large"
    assert refused.refusal.reason is Reason.FAIR_SHARE


def test_the_refusal_of_a_displaced_run_uses_its_own_workspaces_share(server):
    admission = server.admission
    limit = admission.limit
    limit.highest, limit.value = 200, 200.0
    light, heavy = WorkspaceName("light"), WorkspaceName("heavy")

    def offer(number: int, workspace: WorkspaceName, weight: float) -> None:
        run = WaitingRun(
            1, 60.0, number, RunId(f"{number}"), workspace, Fingerprint(f"{number}")
        )
        admission.offer(run, weight, False, 0.0)

    for number in range(200):
        offer(number, light, 1.0)
    for number in range(200, 200 + MAX_WAITING):
        offer(number, heavy, 10.0)
    offer(1000, light, 1.0)
    (displaced,) = admission.take_refused()
    # "heavy" has 256 of the 457 runs here, below its share of 10/11.
    assert displaced.run.workspace == heavy
    assert displaced.refusal.reason is Reason.OVERLOADED
