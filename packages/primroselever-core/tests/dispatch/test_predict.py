"""Predicted times of engines that batch requests."""

from __future__ import annotations

import pytest

from primroselever_core.dispatch.predict import predict_first_event_s, predict_request_s


def test_an_idle_engine_needs_the_read_time_and_one_and_a_half_passes(figures):
    due = predict_first_event_s(figures, 0, 1000.0, 1.0)
    assert due == pytest.approx(0.1 + 1.5 * 0.05)


def test_a_full_batch_adds_the_wait_for_a_slot(figures):
    free_slot_s = predict_first_event_s(figures, 7, 1000.0, 1.0)
    behind_two_s = predict_first_event_s(figures, 9, 1000.0, 1.0)
    assert behind_two_s - free_slot_s == pytest.approx(2 * predict_request_s(figures))


def test_pending_prompts_are_read_first(figures):
    due = predict_first_event_s(figures, 3, 1000.0, 1.0)
    assert predict_first_event_s(figures, 3, 1000.0, 1.0, 0.2) == pytest.approx(
        due + 0.2
    )


def test_a_slow_engine_takes_longer(figures):
    due = predict_first_event_s(figures, 3, 1000.0, 1.0)
    assert predict_first_event_s(figures, 3, 1000.0, 2.5) == pytest.approx(2.5 * due)
