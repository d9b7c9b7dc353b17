from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from primroselever_core.membership.tree import WATCHERS
from primroselever_node.platform.configuration_service import PublishedValue

if TYPE_CHECKING:
    from .conftest import Fleet

INVALID = '{"profiles": [{"name": "a"}]}'


def value(name: str) -> str:
    return f'{{"workspaces": [{{"name": "{name}"}}]}}'


@pytest.fixture
def settled(fleet: Fleet) -> Fleet:
    fleet.platform.publish(4, value("four"))
    fleet.platform.publish(5, value("five"))
    fleet.add("lag-a", 20)
    fleet.run(5)
    assert fleet.numbers() == {5}
    return fleet


def test_a_change_is_in_force_within_seconds(settled: Fleet) -> None:
    settled.platform.publish(6, value("six"))
    settled.run(3)
    assert settled.numbers() == {6}


def test_only_the_watchers_call_the_service(settled: Fleet) -> None:
    settled.add("lag-a", 40)
    settled.run(5)
    before = settled.platform.calls
    settled.run(10)
    watches_and_list_reads = WATCHERS * (20 + 5)
    assert settled.platform.calls - before <= watches_and_list_reads


def test_a_stale_service_reverts_nobody_who_restarts(settled: Fleet) -> None:
    settled.platform.published = [PublishedValue(4, value("four"))]
    for vm_id in settled.watchers("lag-a"):
        restarted = settled.start(vm_id)
        settled.run(5)
        assert restarted.number == 5
        assert restarted.board.profiles.previous_text == ""


def test_an_invalid_value_is_refused_and_a_restart_finds_the_last_good_one(
    settled: Fleet,
) -> None:
    settled.platform.publish(6, INVALID)
    settled.run(3)
    assert settled.numbers() == {5}
    restarted = settled.start(settled.watchers("lag-a")[0])
    settled.run(5)
    assert restarted.number == 5
    assert restarted.board.profiles.refused_revision.number == 6
    assert restarted.board.profiles.refused_findings


def test_two_values_under_one_number_end_as_one(settled: Fleet) -> None:
    one, other = settled.watchers("lag-a")
    settled.processes[one].profiles.offer(6, value("this half"), "test")
    settled.processes[other].profiles.offer(6, value("that half"), "test")
    settled.run(6)
    assert settled.numbers() == {6}
    assert len({process.digest for process in settled.alive()}) == 1


@pytest.mark.parametrize("killed", [1, 2, 5])
def test_watchers_that_die_are_replaced(settled: Fleet, killed: int) -> None:
    ranking = settled.processes["lag-a-0"].board.members.ranking(
        settled.processes["lag-a-0"].vm.failure_domain
    )
    settled.dead.update(ranking[:killed])
    settled.platform.publish(6, value("six"))
    settled.run(6)
    assert settled.numbers() == {6}


def test_a_silent_relay_is_passed_over(settled: Fleet) -> None:
    ranking = settled.processes["lag-a-0"].board.members.ranking(
        settled.processes["lag-a-0"].vm.failure_domain
    )
    relay = ranking[WATCHERS]
    settled.silent.add(relay)
    settled.platform.publish(6, value("six"))
    settled.run(4)
    others = {p.number for p in settled.alive() if p.vm.vm_id != relay}
    assert others == {6}


def test_the_service_answers_to_some_only(settled: Fleet) -> None:
    allowed = "lag-a-7"
    settled.platform.refused = set(settled.platform.vms) - {allowed}
    assert allowed not in settled.watchers("lag-a")
    settled.platform.publish(6, value("six"))
    settled.run(60)
    assert settled.numbers() == {6}


def test_a_domain_cut_off_from_the_platform_hears_from_another(
    settled: Fleet,
) -> None:
    settled.add("abj-a", 10)
    settled.run(8)
    here = {v for v in settled.platform.vms if v.startswith("abj-a")}
    settled.platform.refused = here
    settled.platform.publish(6, value("six"))
    settled.run(6)
    assert settled.numbers() == {6}

    settled.cut_off.add("abj-a")
    settled.platform.publish(7, value("seven"))
    settled.run(20)
    cut_off = [p for p in settled.alive() if p.vm.vm_id in here]
    assert {p.number for p in cut_off} == {6}
    assert {p.number for p in settled.alive() if p not in cut_off} == {7}

    settled.cut_off.clear()
    settled.run(40)
    assert settled.numbers() == {7}


def test_an_outage_of_hours_changes_nothing(settled: Fleet) -> None:
    settled.platform.down = True
    settled.run(7200, step_s=30.0)
    assert settled.numbers() == {5}
    before = settled.platform.calls
    settled.run(60)
    assert settled.platform.calls - before < 60 * 6
    restarted = settled.start("lag-a-3")
    settled.run(60)
    assert restarted.number == 5
    settled.platform.down = False
    settled.platform.publish(6, value("six"))
    settled.run(20)
    assert settled.numbers() == {6}


def test_two_hundred_starts_at_once_stay_below_the_call_limit(fleet: Fleet) -> None:
    fleet.platform.publish(1, value("one"))
    fleet.platform.calls_left = 100
    fleet.add("lag-a", 200)
    fleet.run(1)
    assert fleet.platform.calls < 600
    fleet.platform.calls_left = 1 << 30
    fleet.run(12, step_s=1.0)
    assert fleet.numbers() == {1}
    before = fleet.platform.calls
    fleet.run(10)
    assert fleet.platform.calls - before <= WATCHERS * (20 + 5)


def test_without_a_vm_list_nobody_waits_at_the_service(fleet: Fleet) -> None:
    fleet.platform.publish(1, value("one"))
    fleet.add("lag-a", 30)
    fleet.platform.vms.clear()
    fleet.run(8)
    assert fleet.numbers() == {1}
    before = fleet.platform.calls
    fleet.run(10)
    assert fleet.platform.calls - before <= 30 * 6


def test_a_leaving_process_is_not_counted_on(settled: Fleet) -> None:
    watcher = settled.processes[settled.watchers("lag-a")[0]]
    watcher.board.leaving = True
    watcher.heartbeats.announce_leaving(watcher.handler)
    told = [
        p
        for p in settled.alive()
        if (found := p.board.members.evidence.get(watcher.vm.vm_id)) and found.leaving
    ]
    assert told
