from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from primroselever_core.identifiers import VmId, WeightsDigest
from primroselever_core.transfer.switching import (
    PLAN_VALID_S,
    PeerState,
    SwitchPlan,
    fencing_number,
    plan_objection,
    reason_to_keep_serving,
)

OLD, NEW = WeightsDigest("old"), WeightsDigest("new")


@pytest.fixture
def plan() -> SwitchPlan:
    return SwitchPlan(NEW, revision=2, fencing=7, deadline=PLAN_VALID_S)


def test_a_plan_is_valid_before_its_deadline(plan: SwitchPlan) -> None:
    assert plan_objection(plan, NEW, 2, now=1.0) is None


def test_a_plan_is_rejected_after_its_deadline(plan: SwitchPlan) -> None:
    assert plan_objection(plan, NEW, 2, now=30.0) is not None


def test_a_plan_is_rejected_after_a_newer_revision_or_version(plan: SwitchPlan) -> None:
    assert plan_objection(plan, NEW, 3, now=1.0) is not None
    assert plan_objection(plan, OLD, 2, now=1.0) is not None


def test_fencing_numbers_increase_past_the_engines_current_number() -> None:
    assert fencing_number(2, 1, 0) > fencing_number(1, 9, 0)
    assert fencing_number(1, 1, current=10**9) == 10**9 + 1


class Fleet:
    """VMs that switch when they may, each with a view that may be outdated."""

    def __init__(self, size: int) -> None:
        self.states = {VmId(f"vm-{n}"): OLD for n in range(size)}

    def view(self) -> dict[VmId, WeightsDigest | None]:
        return dict(self.states)

    def may_stop(
        self, vm_id: VmId, view: dict[VmId, WeightsDigest | None], min_serving: int
    ) -> bool:
        peers = [PeerState(v, s) for v, s in view.items() if v != vm_id]
        mine = PeerState(vm_id, self.states[vm_id])
        return reason_to_keep_serving(mine, peers, NEW, min_serving) is None


@given(
    size=st.integers(2, 7),
    min_serving=st.integers(0, 6),
    moves=st.lists(st.tuples(st.integers(0, 6), st.integers(0, 3)), max_size=60),
)
def test_min_serving_holds_with_outdated_views(
    size: int, min_serving: int, moves: list[tuple[int, int]]
) -> None:
    fleet = Fleet(size)
    vm_ids = list(fleet.states)
    views = [fleet.view()]
    for index, age in moves:
        vm_id = vm_ids[index % size]
        state = fleet.states[vm_id]
        view = views[max(0, len(views) - 1 - age)]
        if state is None:
            fleet.states[vm_id] = NEW
        elif state == OLD and fleet.may_stop(vm_id, view, min_serving):
            fleet.states[vm_id] = None
        views.append(fleet.view())
        serving = sum(s is not None for s in fleet.states.values())
        assert serving >= min(min_serving, size)


def test_all_vms_switch_in_the_end() -> None:
    fleet = Fleet(5)
    for _ in range(40):
        for vm_id, state in list(fleet.states.items()):
            if state is None:
                fleet.states[vm_id] = NEW
            elif state == OLD and fleet.may_stop(vm_id, fleet.view(), 4):
                fleet.states[vm_id] = None
    assert set(fleet.states.values()) == {NEW}
