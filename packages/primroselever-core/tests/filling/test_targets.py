"""Versions published in quick succession, or with unavailable pieces."""

from __future__ import annotations

from primroselever_core.filling.section import WantedWeights
from primroselever_core.filling.targets import UNAVAILABLE_S, Targets


def wanted(version: int, bound_at: float = 26.0, rank: int = 0) -> WantedWeights:
    return WantedWeights("m", version, bound_at, rank, 14)


def make_targets(*versions: WantedWeights) -> Targets:
    targets = Targets()
    for version in versions:
        targets.add_version(version)
    return targets


def test_the_newest_version_is_chosen():
    assert (
        make_targets(wanted(2), wanted(3)).choose_version(1, 0, 0.0, 21.0).version == 3
    )


def test_nothing_is_chosen_for_an_engine_that_serves_the_newest():
    assert make_targets(wanted(2)).choose_version(2, 0, 0.0, 21.0) is None


def test_a_fill_with_most_of_its_pieces_is_completed_first():
    targets = make_targets(wanted(2, 26.0), wanted(3, 29.0))
    assert targets.choose_version(1, 2, 0.6, 21.0).version == 2
    assert targets.choose_version(1, 2, 0.3, 21.0).version == 3


def test_the_bound_of_a_skipped_version_applies():
    targets = make_targets(wanted(2, 26.0), wanted(3, 29.0))
    assert targets.choose_version(1, 0, 0.0, 21.0).bound_at == 26.0
    assert targets.choose_version(2, 0, 0.0, 21.0).bound_at == 29.0


def test_an_older_version_is_chosen_while_the_newest_is_unavailable():
    targets = make_targets(wanted(2), wanted(3))
    targets.mark_unavailable(3, 21.0)
    assert targets.choose_version(1, 3, 0.0, 21.5).version == 2
    assert targets.choose_version(2, 3, 0.0, 21.5).version == 3
    assert targets.choose_version(1, 3, 0.0, 21.0 + UNAVAILABLE_S).version == 3


def test_an_older_version_is_ignored():
    targets = make_targets(wanted(3))
    assert not targets.add_version(wanted(2))
    assert targets.newest.version == 3


def test_the_latest_rank_and_the_earliest_bound_are_kept():
    targets = make_targets(wanted(3, 29.0, rank=4))
    assert not targets.add_version(wanted(3, 29.5, rank=6))
    assert targets.newest.rank == 6
    assert targets.newest.bound_at == 29.0
