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
