from __future__ import annotations

from statistics import mean

import pytest

from bench.load.percentiles import percentiles_ms
from bench.load.plan import Plan, Sender, Target, draw_arrivals
from bench.standins.prefix_cache import PrefixCache


@pytest.fixture
def plan() -> Plan:
    senders = [Sender("large", 3.0, prefixes=4), Sender("small", 1.0)]
    return Plan(7, 100.0, 20.0, 5.0, "summaries", senders, [Target("entry", 1)])


def test_arrivals_are_the_same_for_the_same_seed(plan: Plan) -> None:
    assert list(draw_arrivals(plan)) == list(draw_arrivals(plan))


def test_arrivals_match_rate_and_shares(plan: Plan) -> None:
    drawn = list(draw_arrivals(plan))
    assert len(drawn) == pytest.approx(2000, rel=0.1)
    large_share = mean(a.sender.workspace == "large" for a in drawn)
    assert large_share == pytest.approx(0.75, abs=0.05)


def test_percentiles_are_in_milliseconds() -> None:
    percentiles = percentiles_ms(n / 1000 for n in range(1, 101))
    assert percentiles["p95"] == pytest.approx(95, rel=0.01)


def test_the_prefix_used_least_recently_is_dropped_first() -> None:
    cache = PrefixCache(2)
    used = [cache.record_use("w", body) for body in ("a", "b", "a", "c", "a", "b")]
    assert used == [False, False, True, False, True, False]
