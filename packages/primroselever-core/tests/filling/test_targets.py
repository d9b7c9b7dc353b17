"""Versions named in quick succession, or whose pieces cannot be had."""

from __future__ import annotations

from primroselever_core.filling.section import WantedWeights
from primroselever_core.filling.targets import UNAVAILABLE_S, Targets


def wanted(version: int, bound_at: float = 26.0, rank: int = 0) -> WantedWeights:
    return WantedWeights("m", version, bound_at, rank, 14)


def targets(*named: WantedWeights) -> Targets:
    found = Targets()
    for one in named:
        found.name(one)
    return found


def test_the_newest_version_is_filled():
    assert targets(wanted(2), wanted(3)).choose(1, 0, 0.0, 21.0).version == 3


def test_nothing_is_filled_into_an_engine_that_serves_the_newest():
    assert targets(wanted(2)).choose(2, 0, 0.0, 21.0) is None


def test_a_fill_that_is_well_under_way_is_ended_first():
    found = targets(wanted(2, 26.0), wanted(3, 29.0))
    assert found.choose(1, 2, 0.6, 21.0).version == 2
    assert found.choose(1, 2, 0.3, 21.0).version == 3


def test_the_bound_of_a_version_that_was_skipped_holds():
    found = targets(wanted(2, 26.0), wanted(3, 29.0))
    assert found.choose(1, 0, 0.0, 21.0).bound_at == 26.0
    assert found.choose(2, 0, 0.0, 21.0).bound_at == 29.0


def test_while_pieces_do_not_come_an_older_version_is_better_than_none():
    found = targets(wanted(2), wanted(3))
    found.unavailable(3, 21.0)
    assert found.choose(1, 3, 0.0, 21.5).version == 2
    assert found.choose(2, 3, 0.0, 21.5).version == 3
    assert found.choose(1, 3, 0.0, 21.0 + UNAVAILABLE_S).version == 3


def test_an_older_advice_changes_nothing():
    found = targets(wanted(3))
    assert not found.name(wanted(2))
    assert found.newest.version == 3


def test_the_rank_is_that_of_the_last_advice():
    found = targets(wanted(3, 29.0, rank=4))
    assert not found.name(wanted(3, 29.5, rank=6))
    assert found.newest.rank == 6
    assert found.newest.bound_at == 29.0
