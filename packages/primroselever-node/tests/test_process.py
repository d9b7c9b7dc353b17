from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from primroselever_node.process import run_controller, spawn_task

if TYPE_CHECKING:
    import pytest


def test_an_error_of_a_task_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Nothing waits for a task, so nothing else would report its error."""

    def fail(number: int) -> None:
        raise ValueError(f"no value {number}")

    spawn_task(fail, 7)
    eventlet.sleep(0)

    assert "no value 7" in caplog.text
    assert "fail" in caplog.records[0].getMessage()


def test_a_controller_goes_on_after_an_error(caplog: pytest.LogCaptureFixture) -> None:
    steps: list[int] = []

    def step() -> None:
        steps.append(len(steps))
        raise ValueError("no value")

    greenlet = run_controller(step, 0.0)
    while len(steps) < 3:
        eventlet.sleep(0)
    greenlet.kill()

    assert "no value" in caplog.text
