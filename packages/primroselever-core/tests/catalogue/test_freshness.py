"""When a later configuration became known, and how long it took to come into force."""

from __future__ import annotations

from primroselever_core.catalogue.freshness import Freshness


def test_the_first_peer_that_names_a_revision_counts():
    freshness = Freshness()
    freshness.record_named(8, 7, 1.0)
    freshness.record_named(8, 7, 2.0)
    assert freshness.record_in_force(8, 2.5) == 1.5
    assert freshness.record_in_force(9, 3.0) is None


def test_a_revision_that_is_in_force_is_no_news():
    freshness = Freshness()
    freshness.record_named(7, 7, 1.0)
    assert freshness.record_in_force(8, 2.0) is None


def test_a_still_later_revision_counts_from_the_one_before():
    freshness = Freshness()
    freshness.record_named(8, 7, 1.0)
    freshness.record_named(9, 7, 1.5)
    assert freshness.record_in_force(8, 2.0) == 1.0
    assert freshness.record_in_force(9, 2.25) == 0.25
