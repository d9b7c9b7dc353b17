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


def names(count: int) -> list[VmId]:
    return [VmId(f"vm-{number}") for number in range(count)]


@given(st.integers(1, 300), st.data())
def test_parents_stand_above_their_children(count: int, data: st.DataObject) -> None:
    ranking = control_ranking(FailureDomain("lag-a"), names(count))
    me = data.draw(st.sampled_from(ranking))
    place = tree_place(me, ranking)
    assert place.watches == (not place.parents)
    assert all(ranking.index(parent) < place.position for parent in place.parents)
    assert len(set(place.parents)) == len(place.parents)


def test_every_fan_out_is_bounded_and_the_tree_is_flat() -> None:
    ranking = names(1200)
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
def test_there_is_always_somebody_else_to_ask(position: int, parents: int) -> None:
    ranking = names(200)
    place = tree_place(ranking[position], ranking)
    assert len(place.parents) == parents
    assert set(ranking[:WATCHERS]) <= set(place.parents)


def test_the_next_in_rank_replaces_a_watcher() -> None:
    ranking = names(50)
    assert not tree_place(ranking[2], ranking).watches
    assert tree_place(ranking[2], ranking[1:]).watches


def test_a_process_that_the_list_lacks_has_parents() -> None:
    place = tree_place(VmId("new"), names(10))
    assert place.parents
    assert not place.watches
