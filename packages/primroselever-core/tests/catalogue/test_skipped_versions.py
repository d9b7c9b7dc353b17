"""Bounds of versions that an entry never learned of, as it learned the next one."""

from __future__ import annotations

import pytest

from primroselever_core.catalogue.catalogue import Catalogue

PROVEN_AT = 4.9  # nothing after version 1; version 2 is published right after
LEARNED_AT = 7.1  # version 3, from the copy of a peer, which lacks version 2
PEER_PROOF_AT = 6.9  # of a peer that has version 2: version 3 was not published


@pytest.fixture
def published():
    catalogue = Catalogue(unproven_s=3.0)
    catalogue.publish_weights("m", 1, -60.0)
    catalogue.freshness.record_proof(PROVEN_AT)
    catalogue.publish_weights("m", 3, LEARNED_AT)
    return catalogue.weights["m"]


# Guards against requests that begin on version 1 more than the bound after version 2,
# since the absence of version 3 was taken for that of any version after 1.
def test_a_peer_with_a_skipped_version_does_not_postpone_the_bound(published):
    published.record_absent(2, PEER_PROOF_AT)
    assert published.outdated_since(1) <= PROVEN_AT
    assert published.newest_absent_by(PROVEN_AT) > 1


# Guards against the same if the time of version 3 was an estimate, which that of a peer
# replaces.
def test_the_time_of_a_peer_does_not_postpone_the_bound_of_a_skipped_version():
    catalogue = Catalogue(unproven_s=3.0)
    catalogue.publish_weights("m", 1, -60.0)
    catalogue.freshness.record_proof(LEARNED_AT - 3.1)
    catalogue.publish_weights("m", 3, LEARNED_AT)
    published = catalogue.weights["m"]
    estimated_at = published.outdated_since(1)
    published.record_peer_absent_at(3, PEER_PROOF_AT)
    assert published.outdated_since(1) <= estimated_at


# Guards against requests that begin too late on version 1 of an engine: a started entry
# found version 3, and a peer that has version 2 proves only the absence of version 3.
def test_a_started_process_does_not_postpone_the_bound_of_a_version_before():
    catalogue = Catalogue(unproven_s=3.0)
    catalogue.publish_weights("m", 3, LEARNED_AT)
    published = catalogue.weights["m"]
    published.assume_absent_at(PROVEN_AT)
    published.record_absent(2, PEER_PROOF_AT)
    assert published.outdated_since(1) <= PROVEN_AT
    assert published.outdated_since(2) == PEER_PROOF_AT


# Guards against a bound that stays early although a peer proved that version 1 was the
# newest for longer.
def test_a_peer_without_the_skipped_version_postpones_the_bound(published):
    published.record_absent(1, 4.95)
    assert published.outdated_since(1) == 4.95
