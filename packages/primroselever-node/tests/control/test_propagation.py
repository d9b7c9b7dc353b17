from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from primroselever_core.membership.tree import WATCHERS
from primroselever_node.platform.configuration_service import PublishedValue

if TYPE_CHECKING:
    from .conftest import Fleet

INVALID = '{"profiles": [{"name": "a"}]}'


def profiles_text(name: str) -> str:
    return f'{{"workspaces": [{{"name": "{name}"}}]}}'


@pytest.fixture
def settled(fleet: Fleet) -> Fleet:
    fleet.platform.publish(4, profiles_text("four"))
    fleet.platform.publish(5, profiles_text("five"))
    fleet.add_vms("lag-a", 20)
    fleet.run(5)
    assert fleet.revisions() == {5}
    return fleet


def test_a_published_change_is_in_force_within_seconds(settled: Fleet) -> None:
    settled.platform.publish(6, profiles_text("six"))
    settled.run(3)
    assert settled.revisions() == {6}


def test_only_watchers_call_the_service(settled: Fleet) -> None:
    settled.add_vms("lag-a", 40)
    settled.run(5)
    before = settled.platform.calls
    settled.run(10)
    watches_and_list_reads = WATCHERS * (20 + 5)
    assert settled.platform.calls - before <= watches_and_list_reads


def test_a_stale_service_does_not_revert_a_restarted_process(settled: Fleet) -> None:
    settled.platform.published = [PublishedValue(4, profiles_text("four"))]
    for vm_id in settled.watchers("lag-a"):
        restarted = settled.start_process(vm_id)
        settled.run(5)
        assert restarted.revision == 5
        assert restarted.board.profiles.previous_text == ""


def test_an_invalid_value_is_refused_also_after_a_restart(
    settled: Fleet,
) -> None:
    settled.platform.publish(6, INVALID)
    settled.run(3)
    assert settled.revisions() == {5}
    restarted = settled.start_process(settled.watchers("lag-a")[0])
    settled.run(5)
    assert restarted.revision == 5
    assert restarted.board.profiles.refused_revision.number == 6
    assert restarted.board.profiles.refused_findings


def test_processes_converge_on_one_of_two_values_with_the_same_revision(
    settled: Fleet,
) -> None:
    first, second = settled.watchers("lag-a")
    settled.processes[first].profiles.adopt_value(6, profiles_text("this half"), "test")
    settled.processes[second].profiles.adopt_value(
        6, profiles_text("that half"), "test"
    )
    settled.run(6)
    assert settled.revisions() == {6}
    assert len({process.digest for process in settled.live_processes()}) == 1


@pytest.mark.parametrize("killed", [1, 2, 5])
def test_dead_watchers_are_replaced(settled: Fleet, killed: int) -> None:
    ranking = settled.processes["lag-a-0"].board.members.ranking(
        settled.processes["lag-a-0"].vm.failure_domain
    )
    settled.dead.update(ranking[:killed])
    settled.platform.publish(6, profiles_text("six"))
    settled.run(6)
    assert settled.revisions() == {6}


def test_a_silent_parent_is_bypassed(settled: Fleet) -> None:
    ranking = settled.processes["lag-a-0"].board.members.ranking(
        settled.processes["lag-a-0"].vm.failure_domain
    )
    parent = ranking[WATCHERS]
    settled.silent.add(parent)
    settled.platform.publish(6, profiles_text("six"))
    settled.run(4)
    others = {p.revision for p in settled.live_processes() if p.vm.vm_id != parent}
    assert others == {6}


def test_a_change_spreads_when_the_service_answers_only_one_process(
    settled: Fleet,
) -> None:
    allowed = "lag-a-7"
    settled.platform.refused = set(settled.platform.vms) - {allowed}
    assert allowed not in settled.watchers("lag-a")
    settled.platform.publish(6, profiles_text("six"))
    settled.run(60)
    assert settled.revisions() == {6}


def test_a_domain_cut_off_from_the_platform_is_updated_by_another_domain(
    settled: Fleet,
) -> None:
    settled.add_vms("abj-a", 10)
    settled.run(8)
    abj_vms = {vm_id for vm_id in settled.platform.vms if vm_id.startswith("abj-a")}
    settled.platform.refused = abj_vms
    settled.platform.publish(6, profiles_text("six"))
    settled.run(6)
    assert settled.revisions() == {6}

    settled.isolated_domains.add("abj-a")
    settled.platform.publish(7, profiles_text("seven"))
    settled.run(20)
    isolated = [p for p in settled.live_processes() if p.vm.vm_id in abj_vms]
    assert {p.revision for p in isolated} == {6}
    assert {p.revision for p in settled.live_processes() if p not in isolated} == {7}

    settled.isolated_domains.clear()
    settled.run(40)
    assert settled.revisions() == {7}


def test_profiles_stay_in_force_during_a_platform_outage_of_hours(
    settled: Fleet,
) -> None:
    settled.platform.down = True
    settled.run(7200, step_s=30.0)
    assert settled.revisions() == {5}
    before = settled.platform.calls
    settled.run(60)
    assert settled.platform.calls - before < 60 * 6
    restarted = settled.start_process("lag-a-3")
    settled.run(60)
    assert restarted.revision == 5
    settled.platform.down = False
    settled.platform.publish(6, profiles_text("six"))
    settled.run(20)
    assert settled.revisions() == {6}


def test_two_hundred_simultaneous_starts_make_a_bounded_number_of_calls(
    fleet: Fleet,
) -> None:
    fleet.platform.publish(1, profiles_text("one"))
    fleet.platform.calls_left = 100
    fleet.add_vms("lag-a", 200)
    fleet.run(1)
    assert fleet.platform.calls < 600
    fleet.platform.calls_left = 1 << 30
    fleet.run(12, step_s=1.0)
    assert fleet.revisions() == {1}
    before = fleet.platform.calls
    fleet.run(10)
    assert fleet.platform.calls - before <= WATCHERS * (20 + 5)


def test_without_a_vm_list_no_process_waits_at_the_service(fleet: Fleet) -> None:
    fleet.platform.publish(1, profiles_text("one"))
    fleet.add_vms("lag-a", 30)
    fleet.platform.vms.clear()
    fleet.run(8)
    assert fleet.revisions() == {1}
    before = fleet.platform.calls
    fleet.run(10)
    assert fleet.platform.calls - before <= 30 * 6


def test_a_leaving_process_announces_it_to_recent_senders(settled: Fleet) -> None:
    watcher = settled.processes[settled.watchers("lag-a")[0]]
    watcher.board.leaving = True
    watcher.heartbeats.announce_leaving(watcher.handler)
    notified = [
        p
        for p in settled.live_processes()
        if (evidence := p.board.members.evidence.get(watcher.vm.vm_id))
        and evidence.leaving
    ]
    assert notified
