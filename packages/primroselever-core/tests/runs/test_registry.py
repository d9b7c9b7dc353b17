from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from primroselever_core.identifiers import (
    Fingerprint,
    RunId,
    ServiceName,
    WorkspaceName,
)
from primroselever_core.outcomes import NotRun, Reason, Unknown
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
    return RunRegistry(keep_s=60.0)


def test_a_start_after_a_tombstone_is_refused(registry: RunRegistry) -> None:
    assert registry.resolve(RunId("r1"), epoch=1) == NotRun(Reason.TOMBSTONE)
    assert registry.admit(new_run(), now=1.0) == NotRun(Reason.TOMBSTONE)


def test_resolving_a_started_run_sets_no_tombstone(registry: RunRegistry) -> None:
    run = registry.admit(new_run(), now=0.0)
    assert registry.resolve(RunId("r1"), epoch=1) is run


def test_a_repeated_start_returns_the_first_run(registry: RunRegistry) -> None:
    first = registry.admit(new_run(), now=0.0)
    assert registry.admit(new_run(), now=1.0) is first


def test_a_start_after_its_deadline_is_refused(registry: RunRegistry) -> None:
    assert registry.admit(new_run(), now=10.0) == NotRun(Reason.DEADLINE_PASSED)


def test_only_the_first_ending_is_recorded(registry: RunRegistry) -> None:
    run = registry.admit(new_run(), now=0.0)
    assert isinstance(run, Run)
    registry.end(run, RunState.DONE, None, now=1.0)
    registry.end(run, RunState.FAILED, Reason.ENGINE_FAILED, now=2.0)
    assert (run.state, run.reason) == (RunState.DONE, None)


def test_ended_runs_are_dropped_after_keep_s(registry: RunRegistry) -> None:
    run = registry.admit(new_run(), now=0.0)
    assert isinstance(run, Run)
    registry.end(run, RunState.DONE, None, now=1.0)
    registry.expire(now=60.9)
    assert registry.runs
    registry.expire(now=61.0)
    assert not registry.runs


def test_a_refused_start_never_runs_later(registry: RunRegistry) -> None:
    refusal = NotRun(Reason.OVERLOADED, 1.0)
    assert registry.refuse_start(RunId("r1"), 1, refusal) == refusal
    assert registry.admit(new_run(), now=1.0) == NotRun(Reason.TOMBSTONE)


def test_a_dropped_run_is_unknown_and_never_runs_again(registry: RunRegistry) -> None:
    run = registry.admit(new_run(), now=0.0)
    assert isinstance(run, Run)
    registry.end(run, RunState.DONE, None, now=1.0)
    registry.expire(now=61.0)
    unknown = Unknown(Reason.ANSWER_GONE)
    assert registry.resolve(RunId("r1"), epoch=1) == unknown
    assert registry.admit(new_run(), now=62.0) == unknown


def test_a_start_of_a_closed_epoch_never_runs(registry: RunRegistry) -> None:
    registry.resolve(RunId("r1"), epoch=1)
    registry.book.advance_epoch()
    assert registry.admit(new_run(), now=1.0) == NotRun(Reason.TOMBSTONE)
    registry.book.advance_epoch()
    assert registry.admit(new_run(), now=2.0) == Unknown(Reason.START_EXPIRED)


def test_a_run_is_kept_after_its_epoch_closes(registry: RunRegistry) -> None:
    run = registry.admit(new_run(), now=0.0)
    registry.book.advance_epoch()
    registry.book.advance_epoch()
    assert registry.resolve(RunId("r1"), epoch=1) is run


def test_ended_answers_are_bounded_in_bytes() -> None:
    registry = RunRegistry(keep_s=60.0, max_ended_bytes=100)
    for name in ("r1", "r2", "r3"):
        run = registry.admit(new_run(name), now=0.0)
        assert isinstance(run, Run)
        run.answer.append(b"x" * 40)
        registry.end(run, RunState.DONE, None, now=1.0)
    assert list(registry.runs) == ["r2", "r3"]
    assert registry.resolve(RunId("r1"), 1) == Unknown(Reason.ANSWER_GONE)
    assert registry.in_flight() == 0


STEP = st.tuples(
    st.sampled_from(("start", "resolve", "refuse", "forget", "advance")),
    st.integers(1, 2),
)


@given(st.lists(STEP, max_size=20))
def test_runs_start_at_most_once_and_never_after_not_run(
    steps: list[tuple[str, int]],
) -> None:
    registry = RunRegistry(keep_s=0.0)
    started: list[RunId] = []
    reported_not_run: set[RunId] = set()
    for action, epoch in steps:
        run_id = RunId(f"r{epoch}")
        outcome: object = None
        if action == "start":
            run = new_run(run_id, deadline=1.0)
            run.epoch = epoch
            outcome = registry.admit(run, now=0.0)
            if outcome is run:
                started.append(run_id)
        elif action == "resolve":
            outcome = registry.resolve(run_id, epoch)
        elif action == "refuse":
            outcome = registry.refuse_start(run_id, epoch, NotRun(Reason.OVERLOADED))
        elif action == "forget" and run_id in registry.runs:
            registry.end(registry.runs[run_id], RunState.DONE, None, now=0.0)
            registry.expire(now=0.0)
        elif action == "advance":
            registry.book.advance_epoch()
        if isinstance(outcome, NotRun):
            reported_not_run.add(run_id)
    assert len(started) == len(set(started))
    assert not reported_not_run & set(started)


def test_an_ended_run_is_unread_until_its_ending_was_sent(
    registry: RunRegistry,
) -> None:
    run = new_run()
    registry.admit(run, 0.0)
    assert registry.count_unread() == 0

    registry.end(run, RunState.DONE, None, 1.0)
    assert registry.count_unread() == 1

    run.end_sent = True
    assert registry.count_unread() == 0
