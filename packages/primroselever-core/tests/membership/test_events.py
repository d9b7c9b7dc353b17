from __future__ import annotations

from dataclasses import replace

import pytest

from primroselever_core.identifiers import (
    FailureDomain,
    GroupName,
    Incarnation,
    Region,
    VmId,
)
from primroselever_core.membership.events import (
    MAX_SUSPICION_S,
    PeerCallFailed,
    PeerReported,
    VmListReceived,
    apply,
)
from primroselever_core.membership.section import MembersSection
from primroselever_core.membership.vm import Role, Vm

ME = VmId("a")


def vm(name: str) -> Vm:
    return Vm(
        VmId(name),
        Role.AGENT,
        "127.0.0.1",
        1,
        FailureDomain("lag-a"),
        Region("west"),
        GroupName("alerts"),
    )


def vm_list(*names: str) -> VmListReceived:
    return VmListReceived({VmId(name): vm(name) for name in names})


def peer_report(name: str, incarnation: int = 1, leaving: bool = False) -> PeerReported:
    return PeerReported(VmId(name), Incarnation(incarnation), leaving)


@pytest.fixture
def section() -> MembersSection:
    section = MembersSection()
    apply(vm_list("a", "b", "c"), section, 0.0)
    return section


def live_vm_ids(section: MembersSection, now: float) -> set[str]:
    return set(section.live_ranking(FailureDomain("lag-a"), ME, now))


def test_a_live_vm_missing_from_the_list_remains_a_member(
    section: MembersSection,
) -> None:
    apply(peer_report("b"), section, 1.0)
    apply(vm_list("a"), section, 2.0)
    assert set(section.vms) == {"a", "b"}
    apply(vm_list("a"), section, 100.0)
    assert set(section.vms) == {"a"}


def test_an_empty_list_is_ignored(section: MembersSection) -> None:
    apply(VmListReceived({}), section, 100.0)
    assert set(section.vms) == {"a", "b", "c"}


def test_a_dead_vm_stays_suspect_although_the_list_has_it(
    section: MembersSection,
) -> None:
    apply(PeerCallFailed(VmId("b")), section, 1.0)
    apply(vm_list("a", "b", "c"), section, 1.5)
    assert live_vm_ids(section, 2.0) == {"a", "c"}


def test_suspicion_lasts_longer_with_each_failure(section: MembersSection) -> None:
    now, waits = 1.0, []
    for _ in range(8):
        apply(PeerCallFailed(VmId("b")), section, now)
        waits.append(section.evidence[VmId("b")].suspect_until - now)
        now = section.evidence[VmId("b")].suspect_until
        assert "b" in live_vm_ids(section, now)
    assert waits == sorted(waits)
    assert waits[-1] == MAX_SUSPICION_S
    apply(peer_report("b"), section, now)
    assert section.evidence[VmId("b")].failures == 0


def test_a_vm_stays_leaving_until_its_next_incarnation(section: MembersSection) -> None:
    apply(peer_report("b", leaving=True), section, 1.0)
    apply(peer_report("b"), section, 2.0)
    assert live_vm_ids(section, 2.0) == {"a", "c"}
    apply(peer_report("b", incarnation=2), section, 3.0)
    assert live_vm_ids(section, 3.0) == {"a", "b", "c"}


def test_a_vm_listed_as_leaving_is_not_available() -> None:
    section = MembersSection()
    leaving = replace(vm("b"), leaving=True)
    apply(VmListReceived({ME: vm("a"), leaving.vm_id: leaving}), section, 0.0)
    assert live_vm_ids(section, 1.0) == {"a"}


def test_an_unknown_event_raises_type_error(section: MembersSection) -> None:
    with pytest.raises(TypeError, match="str is not an event of the members section"):
        apply("b", section, 0.0)
