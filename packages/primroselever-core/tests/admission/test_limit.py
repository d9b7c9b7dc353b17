from __future__ import annotations

import pytest

from primroselever_core.admission.limit import ConcurrencyLimit

FIRST_TOKEN_S = 0.05


@pytest.mark.parametrize("capacity", [12, 32])
@pytest.mark.parametrize("miss_share", [0.0, 0.3])
def test_the_limit_settles_between_capacity_and_slowness(capacity, miss_share):
    limit = ConcurrencyLimit(highest=200)
    seen = []
    for step in range(20_000):
        in_flight = limit.current()
        miss_s = 0.1 if step % 10 < miss_share * 10 else 0.0
        slowdown = max(1.0, in_flight / capacity)
        limit.sample((FIRST_TOKEN_S + miss_s) * slowdown, in_flight, step * 0.02)
        seen.append(in_flight)
    settled = seen[10_000:]
    assert 0.85 * capacity <= min(settled)
    assert max(settled) <= capacity * 2.7


def test_the_limit_does_not_grow_unused():
    limit = ConcurrencyLimit(highest=200)
    for step in range(1000):
        limit.sample(FIRST_TOKEN_S, 1, step * 0.1)
    assert limit.current() == 8


def test_requests_that_grow_longer_do_not_cost_the_limit_for_good():
    limit = ConcurrencyLimit(highest=200)
    for step in range(40_000):
        in_flight = limit.current()
        first_token_s = FIRST_TOKEN_S if step < 10_000 else 4 * FIRST_TOKEN_S
        limit.sample(first_token_s * max(1.0, in_flight / 12), in_flight, step * 0.02)
    assert limit.current() >= 10


def test_a_fresh_limit_finds_a_large_capacity_soon():
    limit = ConcurrencyLimit(highest=200)
    for step in range(50):
        limit.sample(FIRST_TOKEN_S, limit.current(), step * 0.1)
    assert limit.current() >= 40


def test_long_answers_do_not_hold_the_limit_of_a_quick_engine_back(offer_runs):
    admission = offer_runs(ConcurrencyLimit(highest=64), 50)
    told: set[str] = set()
    for step in range(1, 11):
        now = step * FIRST_TOKEN_S
        for run_id in [name for name in admission.in_flight if name not in told]:
            told.add(run_id)
            admission.first_token(run_id, now)
            admission.startable(now)
    assert len(admission.in_flight) == 50


def test_an_engine_that_slows_down_ends_the_slow_start_soon():
    limit = ConcurrencyLimit(highest=200)
    for step in range(400):
        in_flight = limit.current()
        slowdown = max(1.0, in_flight / 6)
        limit.sample(FIRST_TOKEN_S * slowdown, in_flight, step * 0.02)
    assert limit.current() <= 24


def test_a_delay_of_this_process_is_not_taken_for_a_busy_engine():
    limit = ConcurrencyLimit(highest=200)
    for step in range(400):
        in_flight = limit.current()
        limit.sample(0.002 + 0.0001 * in_flight, in_flight, step * 0.02)
    assert limit.current() >= 100
