"""Requests on older weights in drawn schedules of late entries and engines."""

from __future__ import annotations

import pytest

from bench.lapse_schedules import LONG_DEADLINES_S, MUTANTS, Rules, simulate

# Each mutant violates the bound within the first hundred of them.
MUTANT_SEEDS = range(400)


# Guards against requests that begin on lapsed weights because a version, a proof of its
# absence, the event loop of an entry or an engine is late.
@pytest.mark.parametrize("seed", range(200))
def test_no_request_begins_on_lapsed_weights(seed: int) -> None:
    assert simulate(seed).violations == []


# Guards against requests that an engine may begin at any time within the long time that
# their callers give.
@pytest.mark.parametrize("seed", range(20))
def test_no_request_of_a_patient_caller_begins_on_lapsed_weights(seed: int) -> None:
    assert simulate(seed, Rules(), LONG_DEADLINES_S).violations == []


# Guards against schedules in which no request waits until the bound, so that they would
# find nothing.
@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutants_violate_the_bound(mutant: str) -> None:
    assert any(simulate(seed, MUTANTS[mutant]).violations for seed in MUTANT_SEEDS)
