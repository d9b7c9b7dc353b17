"""Tests that runs end even when an observer or the back end fails."""

from __future__ import annotations

from types import SimpleNamespace

import eventlet
import pytest

from primroselever_agent.exceptions import BackendError
from primroselever_agent.runs.answers import AnswerReaders
from primroselever_agent.runs.runner import Runner
from primroselever_core.identifiers import (
    Fingerprint,
    RunId,
    ServiceName,
    WorkspaceName,
)
from primroselever_core.outcomes import Reason
from primroselever_core.runs.answer_buffer import AnswerBuffer
from primroselever_core.runs.registry import Run, RunRegistry, RunState
from primroselever_node import clock


def raise_value_error(*_args):
    raise ValueError("the engine's state is not valid JSON")


def raise_never_connected(*_args):
    raise BackendError(Reason.ENGINE_FAILED, "never connected", never_ran=True)


def answer_late(*_args):
    eventlet.sleep(1)
    yield b""


@pytest.fixture
def registry() -> RunRegistry:
    return RunRegistry(300.0)


@pytest.fixture
def run(registry) -> Run:
    """A run that the registry has admitted."""
    run = Run(
        RunId("run"),
        ServiceName("summaries"),
        WorkspaceName("ministry"),
        Fingerprint("one"),
        True,
        clock.now() + 60.0,
        AnswerBuffer(100),
    )
    registry.admit(run, clock.now())
    return run


def run_and_wait(registry, run, backend):
    """Start a run with a failing observer, and wait until it ends."""
    runner = Runner(registry, backend, AnswerReaders(registry))
    runner.observer = SimpleNamespace(
        on_failure=raise_value_error, on_end=lambda *_: None
    )
    runner.start(run, b"", 5)
    with eventlet.Timeout(5):
        runner.greenlets[run.run_id].wait()
    return runner


@pytest.mark.parametrize(
    ("run_backend", "time_left_s"), [(raise_never_connected, 60.0), (answer_late, 0.0)]
)
def test_a_run_ends_even_if_its_observer_or_its_cancellation_fails(
    registry, run, run_backend, time_left_s
):
    run.deadline = clock.now() + time_left_s
    backend = SimpleNamespace(run=run_backend, cancel=raise_value_error)

    runner = run_and_wait(registry, run, backend)

    assert run.state is RunState.FAILED
    assert registry.in_flight() == 0
    assert runner.greenlets == {}


def test_a_run_past_its_deadline_ends_before_it_is_cancelled_at_the_engine(
    registry, run
):
    run.deadline = clock.now()
    states = []
    backend = SimpleNamespace(
        run=answer_late, cancel=lambda run: states.append(run.state)
    )

    run_and_wait(registry, run, backend)

    assert states == [RunState.FAILED]
    assert run.reason is Reason.DEADLINE_PASSED
