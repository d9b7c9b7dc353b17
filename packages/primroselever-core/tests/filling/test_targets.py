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
    targets.confirm_available(3)
    assert targets.choose_version(1, 2, 0.6, 21.0).version == 2
    assert targets.choose_version(1, 2, 0.3, 21.0).version == 3


def test_a_fill_continues_until_a_piece_of_the_newer_version_arrives():
    # Versions named in quick succession while the origin is down: no entry has a piece
    # of the newest one, but the entries have most pieces of the one before it.
    targets = make_targets(wanted(2, 26.0), wanted(3, 28.0))
    assert targets.find_unconfirmed(2).version == 3
    assert targets.choose_version(1, 2, 0.3, 20.1).version == 2
    targets.mark_unavailable(2, 22.0)
    assert targets.choose_version(1, 2, 0.9, 22.1).version == 2
    targets.confirm_available(3)
    assert targets.find_unconfirmed(2) is None
    assert targets.choose_version(1, 2, 0.3, 20.1).version == 3
    targets.mark_unavailable(3, 20.2)
    assert targets.choose_version(1, 2, 0.3, 20.3).version == 2


def test_a_fill_is_replaced_if_the_newer_version_arrives_before_the_bound():
    # The newest version is complete at 25.7, before older weights lapse at 26.0.
    # Completing version 2 first would delay it to 29.0, after its bound.
    targets = make_targets(wanted(2, 26.0), wanted(3, 28.0))
    targets.confirm_available(3)
    assert targets.choose_version(1, 2, 0.53, 20.4).version == 3
    # At 22.0, version 3 would come 1.3 s after the bound, or 0.85 s after its own.
    assert targets.choose_version(1, 2, 0.75, 22.0).version == 2


def test_a_version_that_soon_may_not_serve_is_not_completed():
    # The origin is back 1.5 s before the bound of version 3. Completing version 2
    # first would serve for a shorter time than it delays version 3.
    targets = make_targets(wanted(2, 26.0), wanted(3, 28.0))
    targets.confirm_available(3)
    assert targets.choose_version(1, 2, 0.75, 26.5).version == 3
    # Not started yet, it could not be filled before the bound at all.
    targets.mark_unavailable(3, 26.5)
    assert targets.choose_version(1, 0, 0.0, 26.6).version == 3


def test_an_empty_engine_completes_the_version_that_serves_first():
    targets = make_targets(wanted(2, 26.0), wanted(3, 28.0))
    targets.confirm_available(3)
    assert targets.choose_version(0, 2, 0.7, 20.1).version == 2
    assert targets.choose_version(0, 2, 0.1, 20.1).version == 3


def test_a_fill_of_the_newest_version_is_not_given_up_when_most_pieces_are_held():
    targets = make_targets(wanted(2, 26.0), wanted(3, 28.0))
    targets.mark_unavailable(3, 21.0)
    assert targets.choose_version(1, 3, 0.6, 21.1).version == 3


def test_the_bound_of_a_skipped_version_applies():
    targets = make_targets(wanted(2, 26.0), wanted(3, 29.0))
    assert targets.choose_version(1, 0, 0.0, 21.0).bound_at == 26.0
    assert targets.choose_version(2, 0, 0.0, 21.0).bound_at == 29.0


def test_an_older_version_is_chosen_while_the_newest_is_unavailable():
    targets = make_targets(wanted(2, 26.0), wanted(3, 29.0))
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
