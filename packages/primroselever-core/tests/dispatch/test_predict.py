"""Predicted times of engines that batch."""

from __future__ import annotations

import pytest

from primroselever_core.dispatch.predict import predicted_first_event_s, request_s


def test_an_idle_engine_reads_and_makes_its_first_pass(figures):
    due = predicted_first_event_s(figures, 0, 1000.0, 1.0)
    assert due == pytest.approx(0.1 + 1.5 * 0.05)


def test_a_full_batch_adds_the_wait_for_a_slot(figures):
    free = predicted_first_event_s(figures, 7, 1000.0, 1.0)
    behind_two = predicted_first_event_s(figures, 9, 1000.0, 1.0)
    assert behind_two - free == pytest.approx(2 * request_s(figures))


def test_prompts_on_their_way_are_read_first(figures):
    due = predicted_first_event_s(figures, 3, 1000.0, 1.0)
    assert predicted_first_event_s(figures, 3, 1000.0, 1.0, 0.2) == pytest.approx(
        due + 0.2
    )


def test_a_slow_engine_takes_longer(figures):
    due = predicted_first_event_s(figures, 3, 1000.0, 1.0)
    assert predicted_first_event_s(figures, 3, 1000.0, 2.5) == pytest.approx(2.5 * due)
