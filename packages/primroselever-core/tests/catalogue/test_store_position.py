"""Positions of the store are ordered by era, then by revision."""

from __future__ import annotations

from primroselever_core.catalogue.store_position import START_POSITION, StorePosition


# Failure: a list of a restored store is taken for an earlier one.
def test_a_later_era_is_later_whatever_the_revisions():
    positions = [
        StorePosition(2, 95),
        StorePosition(1, 200),
        StorePosition(0, 900),
        StorePosition(2, 96),
        START_POSITION,
    ]
    assert sorted(positions) == [
        START_POSITION,
        StorePosition(0, 900),
        StorePosition(1, 200),
        StorePosition(2, 95),
        StorePosition(2, 96),
    ]
