"""Bounds of versions of which a process learns without a recent proof of absence."""

from __future__ import annotations

import pytest

from primroselever_core.catalogue.catalogue import Catalogue

UNPROVEN_S = 5.0
NOW = 100.0


def learn_version(proof_age_s: float, forgets: bool = False):
    """Return version 2, learned now, that long after the latest proof."""
    catalogue = Catalogue(unproven_s=UNPROVEN_S)
    catalogue.publish_weights("m", 1, 0.0)
    catalogue.freshness.record_own_proof(NOW - proof_age_s)
    if forgets:
        catalogue.freshness.forget_proofs()
    catalogue.publish_weights("m", 2, NOW)
    return catalogue.weights["m"].newest


# Guards against an entry that was cut off and loses all engines when it comes back, and
# against a bound that counts from its return.
@pytest.mark.parametrize("cut_off_s", [UNPROVEN_S + 0.01, 20.0, 99.0])
def test_a_version_learned_after_a_long_cut_counts_from_a_fixed_time_before(cut_off_s):
    learned = learn_version(cut_off_s)
    assert learned.absent_at == NOW - UNPROVEN_S
    assert not learned.proven


# Guards against more time on old weights for a process that was suspended, which
# forgets its proofs.
@pytest.mark.parametrize("proof_age_s", [0.0, 0.4, 4.9, UNPROVEN_S, 7.0])
def test_a_forgotten_proof_gives_no_more_time(proof_age_s):
    forgotten = learn_version(proof_age_s, forgets=True)
    assert forgotten.absent_at <= learn_version(proof_age_s).absent_at
    assert not forgotten.proven
