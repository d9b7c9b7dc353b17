from __future__ import annotations

import pytest

from primroselever_core.identifiers import (
    Fingerprint,
    RunId,
    ServiceName,
    WorkspaceName,
)
from primroselever_core.outcomes import NotRun, Reason
from primroselever_core.runs.answer_buffer import AnswerBuffer
from primroselever_core.runs.registry import Run, RunRegistry, RunState


def new_run(run_id: str = "r1", deadline: float = 10.0) -> Run:
    return Run(
        run_id=RunId(run_id),
        service=ServiceName("summaries"),
        workspace=WorkspaceName("ministry"),
        fingerprint=Fingerprint("f"),
        idempotent=True,
        deadline=deadline,
        answer=AnswerBuffer(limit_bytes=100),
    )


@pytest.fixture
def registry() -> RunRegistry:
    return RunRegistry(keep_s=60.0, tombstone_s=600.0)


def test_a_start_behind_a_tombstone_is_refused(registry: RunRegistry) -> None:
    assert registry.resolve(RunId("r1"), now=0.0) == NotRun(Reason.TOMBSTONE)
    assert registry.admit(new_run(), now=1.0) == NotRun(Reason.TOMBSTONE)


def test_a_run_that_started_gets_no_tombstone(registry: RunRegistry) -> None:
    run = registry.admit(new_run(), now=0.0)
    assert registry.resolve(RunId("r1"), now=1.0) is run


def test_a_duplicated_start_gives_the_first_run(registry: RunRegistry) -> None:
    first = registry.admit(new_run(), now=0.0)
    assert registry.admit(new_run(), now=1.0) is first


def test_a_start_past_its_deadline_is_refused(registry: RunRegistry) -> None:
    assert registry.admit(new_run(), now=10.0) == NotRun(Reason.DEADLINE_PASSED)


def test_only_the_first_end_counts(registry: RunRegistry) -> None:
    run = registry.admit(new_run(), now=0.0)
    assert isinstance(run, Run)
    registry.end(run, RunState.DONE, None, now=1.0)
    registry.end(run, RunState.FAILED, Reason.ENGINE_FAILED, now=2.0)
    assert (run.state, run.reason) == (RunState.DONE, None)


def test_ended_runs_are_dropped_at_their_deadline(registry: RunRegistry) -> None:
    run = registry.admit(new_run(), now=0.0)
    assert isinstance(run, Run)
    registry.end(run, RunState.DONE, None, now=1.0)
    registry.expire(now=60.9)
    assert registry.runs
    registry.expire(now=61.0)
    assert not registry.runs


def test_an_ended_run_is_unread_until_its_end_was_told(registry: RunRegistry) -> None:
    run = new_run()
    registry.admit(run, 0.0)
    assert registry.unread() == 0

    registry.end(run, RunState.DONE, None, 1.0)
    assert registry.unread() == 1

    run.read_out = True
    assert registry.unread() == 0
