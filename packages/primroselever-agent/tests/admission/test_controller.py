"""Tests of admission and crashes with a fake engine and a fake runner."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace

import eventlet
import pytest
from eventlet.event import Event

from primroselever_agent.admission.controller import AdmissionController
from primroselever_agent.admission.crash_watch import CrashWatch
from primroselever_agent.exceptions import BackendError, EngineCallError
from primroselever_core.admission.admission import Admission
from primroselever_core.admission.limit import ConcurrencyLimit
from primroselever_core.board import Blackboard
from primroselever_core.identifiers import (
    FailureDomain,
    Fingerprint,
    Incarnation,
    Region,
    RunId,
    ServiceName,
    VmId,
    WorkspaceName,
)
from primroselever_core.identity import Identity
from primroselever_core.outcomes import Reason
from primroselever_core.runs.answer_buffer import AnswerBuffer
from primroselever_core.runs.registry import Run, RunState
from primroselever_core.suspects.section import CrashId, Standing
from primroselever_node import clock

ENGINE_FAILED = BackendError(Reason.ENGINE_FAILED, "connection broken")


@dataclass
class FakeEngine:
    """An engine that serves a digest, or does not answer at all."""

    digest: str | None = "v1"

    def state(self):
        if self.digest is None:
            raise EngineCallError("no answer")
        return SimpleNamespace(digest=self.digest)


@dataclass
class FakeRunner:
    """Records the runs that it starts and ends."""

    observer: AdmissionController | None = None
    started: list[Run] = field(default_factory=list)
    ends: dict[RunId, tuple[RunState, Reason | None]] = field(default_factory=dict)

    def start(self, run, body, priority):
        self.started.append(run)

    def end(self, run, state, reason):
        self.ends[run.run_id] = state, reason
        self.observer.on_end(run, state)

    def fail(self, run, error=ENGINE_FAILED):
        self.observer.on_failure(run, error)
        self.end(run, RunState.FAILED, error.reason)


@pytest.fixture
def engine() -> FakeEngine:
    return FakeEngine()


@pytest.fixture
def admission(engine) -> AdmissionController:
    board = Blackboard(
        Identity(VmId("a-0"), FailureDomain("a"), Region("west"), Incarnation(7))
    )
    stopped = []
    crash_watch = CrashWatch(board, engine, None, lambda: None, stopped.append)
    limit = ConcurrencyLimit(highest=3, lowest=3, value=3)
    return AdmissionController(board, FakeRunner(), Admission(limit), crash_watch)


def offer_run(admission, name, priority=5):
    """Offer a run and begin it if it is not refused; return the run or refusal."""
    run = Run(
        RunId(
            f"{name} {len(admission.runner.started)} {len(admission.waiting_starts)}"
        ),
        ServiceName("summaries"),
        WorkspaceName("ministry"),
        Fingerprint(name),
        True,
        clock.now() + 60.0,
        AnswerBuffer(100),
        weights_digest="v1",
    )
    refusal = admission.offer(run, priority)
    if refusal is not None:
        return refusal
    admission.begin(run, b"", priority)
    return run


def test_a_crash_records_runs_in_flight_as_suspects_and_ends_waiting_runs(
    admission, engine
):
    failing, second, third = (
        offer_run(admission, n) for n in ("bad", "beside", "other")
    )
    waiting = offer_run(admission, "waiting")
    engine.digest = None
    for run in (failing, second, third):
        admission.runner.fail(run)
    suspects = admission.board.suspects
    assert set(suspects.records) == {"bad", "beside", "other"}
    assert {r.standing() for r in suspects.records.values()} == {Standing.SUSPECT}
    assert admission.runner.ends[waiting.run_id] == (
        RunState.NOT_RUN,
        Reason.NO_WEIGHTS,
    )
    assert waiting.retry_after_s > 0
    assert waiting not in admission.runner.started


@pytest.mark.parametrize(
    "error", [ENGINE_FAILED, BackendError(Reason.WEIGHTS_CHANGED, "other digest")]
)
def test_a_failed_run_is_not_a_crash_while_the_engine_answers(admission, error):
    admission.runner.fail(offer_run(admission, "bad"), error)
    assert admission.board.suspects.records == {}


def test_suspects_run_one_at_a_time_while_other_runs_start(admission):
    suspects = admission.board.suspects
    names = [Fingerprint("one"), Fingerprint("two")]
    suspects.record_crash(CrashId("b-0/1/1"), names, clock.now())
    one, two = offer_run(admission, "one"), offer_run(admission, "two")
    unsuspected = offer_run(admission, "plain")
    assert admission.runner.started == [one, unsuspected]
    admission.runner.end(one, RunState.DONE, None)
    assert admission.runner.started == [one, unsuspected, two]
    assert suspects.standing(Fingerprint("one"), clock.now()) is Standing.CLEAR


def test_a_quarantined_request_is_refused_until_its_deadline(admission):
    for crash_id in ("b-0/1/1", "c-0/1/1"):
        admission.board.suspects.record_crash(
            CrashId(crash_id), [Fingerprint("bad")], clock.now()
        )
    refusal = offer_run(admission, "bad")
    assert refusal.reason is Reason.QUARANTINED
    assert 590 < refusal.retry_after_s <= 600
    assert admission.runner.started == []


def test_a_waiting_run_that_is_cancelled_never_starts(admission):
    runs = [offer_run(admission, name) for name in ("a", "b", "c", "d")]
    assert admission.cancel_waiting(runs[3])
    for run in runs[:3]:
        admission.runner.end(run, RunState.DONE, None)
    assert admission.runner.ends[runs[3].run_id][0] is RunState.NOT_RUN
    assert runs[3] not in admission.runner.started


def test_a_crash_ends_all_waiting_runs_even_past_their_deadline(
    admission, engine, monkeypatch
):
    failing, *_ = (offer_run(admission, n) for n in ("bad", "beside", "other"))
    waiting = [offer_run(admission, name) for name in ("first", "second")]
    engine.digest = None
    late = clock.now() + 61.0
    monkeypatch.setattr(clock, "now", lambda: late)

    admission.runner.fail(failing)

    ends = [admission.runner.ends[run.run_id] for run in waiting]
    assert ends == [(RunState.NOT_RUN, Reason.NO_WEIGHTS)] * 2
    assert admission.runner.ends[failing.run_id][0] is RunState.FAILED


def test_a_run_that_displaces_another_starts_once_there_is_room(admission):
    for name in ("a", "b", "c"):
        offer_run(admission, name)
    admission.admission.mean_service_s = 44.0
    last = offer_run(admission, "last")
    admission.admission.limit = ConcurrencyLimit(highest=4, lowest=4, value=4)

    urgent = offer_run(admission, "urgent", priority=1)

    assert admission.runner.ends[last.run_id][0] is RunState.NOT_RUN
    admission.step()
    assert admission.runner.started[-1] is urgent
    assert admission.waiting_starts == {}


def test_a_waiting_run_starts_when_a_quick_first_token_raises_the_limit(admission):
    admission.admission.limit.highest = 10
    runs = [offer_run(admission, name) for name in ("one", "two", "three", "waits")]
    assert runs[3] not in admission.runner.started
    admission.on_first_data(runs[0])
    assert runs[3] in admission.runner.started


def test_a_crash_is_recorded_although_the_run_that_checks_is_cancelled(
    admission, engine, monkeypatch
):
    """
    The caller of a failed run may leave while the engine is asked for its state.

    The run's greenlet is then killed. If that ended the check, nothing would know of
    the crash, and the requests in flight at it could crash the next engine.
    """
    runs = [offer_run(admission, name) for name in ("bad", "beside", "other")]
    waiting = offer_run(admission, "waiting")
    engine_answers = Event()

    def wait_and_fail():
        engine_answers.wait()
        raise EngineCallError("no answer")

    monkeypatch.setattr(engine, "state", wait_and_fail)
    failing = [eventlet.spawn(admission.runner.fail, run) for run in runs[:2]]
    eventlet.sleep(0)
    eventlet.sleep(0)
    for greenlet in failing:
        greenlet.kill()
    engine_answers.send()
    eventlet.sleep(0)
    eventlet.sleep(0)

    assert set(admission.board.suspects.records) == {"bad", "beside", "other"}
    assert admission.runner.ends[waiting.run_id][1] is Reason.NO_WEIGHTS


def test_the_reason_why_the_engine_counts_as_crashed_is_logged(
    admission, engine, caplog
):
    engine.digest = None
    admission.runner.fail(offer_run(admission, "bad"))
    assert "no answer" in caplog.text
