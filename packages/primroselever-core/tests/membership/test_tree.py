from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from primroselever_core.identifiers import FailureDomain, VmId
from primroselever_core.membership.tree import (
    FAN_OUT,
    WATCHERS,
    control_ranking,
    tree_place,
)


def vm_ids(count: int) -> list[VmId]:
    return [VmId(f"vm-{number}") for number in range(count)]


@given(st.integers(1, 300), st.data())
def test_parents_rank_before_their_children(count: int, data: st.DataObject) -> None:
    ranking = control_ranking(FailureDomain("lag-a"), vm_ids(count))
    me = data.draw(st.sampled_from(ranking))
    place = tree_place(me, ranking)
    assert place.watches == (not place.parents)
    assert all(ranking.index(parent) < place.position for parent in place.parents)
    assert len(set(place.parents)) == len(place.parents)


def test_fan_out_and_depth_are_bounded() -> None:
    ranking = vm_ids(1200)
    places = [tree_place(vm_id, ranking) for vm_id in ranking]
    children = Counter(place.parents[0] for place in places if place.parents)
    assert max(children.values()) <= FAN_OUT
    depth = 0
    place = places[-1]
    while place.parents:
        place = places[ranking.index(place.parents[0])]
        depth += 1
    assert depth <= 5


@pytest.mark.parametrize(("position", "parents"), [(5, 2), (40, 5), (199, 5)])
def test_a_process_has_several_parents(position: int, parents: int) -> None:
    ranking = vm_ids(200)
    place = tree_place(ranking[position], ranking)
    assert len(place.parents) == parents
    assert set(ranking[:WATCHERS]) <= set(place.parents)


def test_the_next_in_rank_replaces_a_watcher() -> None:
    ranking = vm_ids(50)
    assert not tree_place(ranking[2], ranking).watches
    assert tree_place(ranking[2], ranking[1:]).watches


def test_a_process_missing_from_the_list_has_parents() -> None:
    place = tree_place(VmId("new"), vm_ids(10))
    assert place.parents
    assert not place.watches
