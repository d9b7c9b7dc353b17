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
    SUSPECT_LONGEST_S,
    PeerHeard,
    PeerMissed,
    VmListHeard,
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


def listed(*names: str) -> VmListHeard:
    return VmListHeard({VmId(name): vm(name) for name in names})


def heard(name: str, incarnation: int = 1, leaving: bool = False) -> PeerHeard:
    return PeerHeard(VmId(name), Incarnation(incarnation), leaving)


@pytest.fixture
def section() -> MembersSection:
    section = MembersSection()
    apply(listed("a", "b", "c"), section, 0.0)
    return section


def live(section: MembersSection, now: float) -> set[str]:
    return set(section.live_ranking(FailureDomain("lag-a"), ME, now))


def test_a_list_that_drops_a_live_vm_is_not_believed(section: MembersSection) -> None:
    apply(heard("b"), section, 1.0)
    apply(listed("a"), section, 2.0)
    assert set(section.vms) == {"a", "b"}
    apply(listed("a"), section, 100.0)
    assert set(section.vms) == {"a"}


def test_an_empty_list_drops_nobody(section: MembersSection) -> None:
    apply(VmListHeard({}), section, 100.0)
    assert set(section.vms) == {"a", "b", "c"}


def test_a_list_that_keeps_a_dead_vm_is_not_believed(section: MembersSection) -> None:
    apply(PeerMissed(VmId("b")), section, 1.0)
    apply(listed("a", "b", "c"), section, 1.5)
    assert live(section, 2.0) == {"a", "c"}


def test_a_dead_vm_is_tried_again_ever_more_rarely(section: MembersSection) -> None:
    now, waits = 1.0, []
    for _ in range(8):
        apply(PeerMissed(VmId("b")), section, now)
        waits.append(section.evidence[VmId("b")].suspect_until - now)
        now = section.evidence[VmId("b")].suspect_until
        assert "b" in live(section, now)
    assert waits == sorted(waits)
    assert waits[-1] == SUSPECT_LONGEST_S
    apply(heard("b"), section, now)
    assert section.evidence[VmId("b")].failures == 0


def test_leaving_holds_for_an_incarnation(section: MembersSection) -> None:
    apply(heard("b", leaving=True), section, 1.0)
    apply(heard("b"), section, 2.0)
    assert live(section, 2.0) == {"a", "c"}
    apply(heard("b", incarnation=2), section, 3.0)
    assert live(section, 3.0) == {"a", "b", "c"}


def test_a_vm_that_the_list_calls_leaving_is_not_counted_on() -> None:
    section = MembersSection()
    leaving = replace(vm("b"), leaving=True)
    apply(VmListHeard({ME: vm("a"), leaving.vm_id: leaving}), section, 0.0)
    assert live(section, 1.0) == {"a"}


def test_what_is_not_an_event_is_refused(section: MembersSection) -> None:
    with pytest.raises(TypeError, match="str does not concern"):
        apply("b", section, 0.0)
