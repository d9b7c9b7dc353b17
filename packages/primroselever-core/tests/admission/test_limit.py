from __future__ import annotations

import pytest

from primroselever_core.admission.limit import ConcurrencyLimit

FIRST_TOKEN_S = 0.05


@pytest.mark.parametrize("capacity", [12, 32])
@pytest.mark.parametrize("miss_share", [0.0, 0.3])
def test_the_limit_converges_to_a_range_around_the_capacity(capacity, miss_share):
    limit = ConcurrencyLimit(highest=200)
    limits = []
    for step in range(20_000):
        in_flight = limit.current()
        miss_s = 0.1 if step % 10 < miss_share * 10 else 0.0
        slowdown = max(1.0, in_flight / capacity)
        limit.add_sample((FIRST_TOKEN_S + miss_s) * slowdown, in_flight, step * 0.02)
        limits.append(in_flight)
    settled = limits[10_000:]
    assert 0.85 * capacity <= min(settled)
    assert max(settled) <= capacity * 2.7


def test_the_limit_does_not_grow_while_it_is_not_reached():
    limit = ConcurrencyLimit(highest=200)
    for step in range(1000):
        limit.add_sample(FIRST_TOKEN_S, 1, step * 0.1)
    assert limit.current() == 8


def test_the_limit_recovers_after_requests_become_longer():
    limit = ConcurrencyLimit(highest=200)
    for step in range(40_000):
        in_flight = limit.current()
        first_token_s = FIRST_TOKEN_S if step < 10_000 else 4 * FIRST_TOKEN_S
        limit.add_sample(
            first_token_s * max(1.0, in_flight / 12), in_flight, step * 0.02
        )
    assert limit.current() >= 10


def test_slow_start_reaches_a_large_capacity_within_50_samples():
    limit = ConcurrencyLimit(highest=200)
    for step in range(50):
        limit.add_sample(FIRST_TOKEN_S, limit.current(), step * 0.1)
    assert limit.current() >= 40


def test_slow_start_does_not_depend_on_the_length_of_answers(offer_runs):
    admission = offer_runs(ConcurrencyLimit(highest=64), 50)
    reported: set[str] = set()
    for step in range(1, 11):
        now = step * FIRST_TOKEN_S
        for run_id in [r for r in admission.in_flight if r not in reported]:
            reported.add(run_id)
            admission.record_first_token(run_id, now)
            admission.start_waiting_runs(now)
    assert len(admission.in_flight) == 50


def test_a_slow_engine_ends_slow_start():
    limit = ConcurrencyLimit(highest=200)
    for step in range(400):
        in_flight = limit.current()
        slowdown = max(1.0, in_flight / 6)
        limit.add_sample(FIRST_TOKEN_S * slowdown, in_flight, step * 0.02)
    assert limit.current() <= 24


def test_a_scheduling_delay_in_this_process_does_not_count_as_load():
    limit = ConcurrencyLimit(highest=200)
    for step in range(400):
        in_flight = limit.current()
        limit.add_sample(0.002 + 0.0001 * in_flight, in_flight, step * 0.02)
    assert limit.current() >= 100
