"""Engines that switch under load close one after another."""

from __future__ import annotations

import pytest

from primroselever_core.filling.switching import (
    BOUND_MARGIN_S,
    CLOSE_AHEAD_S,
    closing_time,
    expected_complete_at,
)


def test_engines_close_evenly_between_the_fill_and_the_bound():
    times = [closing_time(22.7, 26.0, rank, 14) for rank in range(14)]
    assert times[0] == pytest.approx(22.7 - CLOSE_AHEAD_S)
    assert times[-1] == pytest.approx(26.0 - BOUND_MARGIN_S)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert max(gaps) == pytest.approx(min(gaps))


def test_at_least_half_of_the_engines_serve_while_each_is_closed_in_turn():
    closed_s = 1.6
    times = [closing_time(22.7, 26.0, rank, 14) for rank in range(14)]
    for tenth_s in range(200, 300):
        now = tenth_s / 10
        assert sum(at <= now < at + closed_s for at in times) <= 7


def test_a_fill_that_ends_after_the_bound_closes_without_delay():
    assert closing_time(30.0, 26.0, 13, 14) == pytest.approx(30.0 - CLOSE_AHEAD_S)


def test_the_end_of_a_fill_is_predicted_from_its_rate():
    assert expected_complete_at(10.0, 0, 32, 64, 11.9, 12.0) == pytest.approx(14.0)
    assert expected_complete_at(10.0, 8, 8, 64, 0.0, 12.0) is None
    assert expected_complete_at(10.0, 8, 64, 64, 11.9, 12.0) == 12.0


def test_the_end_of_a_stalled_fill_is_not_predicted():
    # The origin fails when entries have all but the last pieces. At the rate so far,
    # these seem to be due at any time, and all engines would close and serve nothing.
    assert expected_complete_at(18.0, 0, 89, 96, 24.0, 24.5) is not None
    assert expected_complete_at(18.0, 0, 89, 96, 24.0, 25.5) is None
    assert expected_complete_at(18.0, 0, 96, 96, 24.0, 25.5) == 25.5
