"""Requests whose calls and replies are lost, repeated, delayed or misdirected."""

from __future__ import annotations

import logging
from copy import copy
from typing import TYPE_CHECKING, Any

import eventlet
import pytest
from eventlet.event import Event

from primroselever_core.outcomes import Done, NotRun, Outcome, Reason, Unknown
from primroselever_core.runs.registry import RunState
from primroselever_core.runs.starting import StartState
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError

from .conftest import collect_answer, engine_failure, new_request, new_service

if TYPE_CHECKING:
    from .conftest import FakeAgent, Fleet

WHOLE_ANSWER = b"one two three"


def test_lost_reads_lose_no_part_of_the_answer(fleet: Fleet) -> None:
    fleet.client_pool.faults["read"] = ["reply_lost", "request_lost", "reply_lost"]
    body, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert (body, type(ending)) == (WHOLE_ANSWER, Done)
    assert fleet.count_runs() == 1


def test_repeated_and_misdirected_pieces_are_ignored(fleet: Fleet) -> None:
    earlier_pieces: list[Any] = []

    def repeat_and_misdirect(method: str, reply: Any) -> None:
        if method != "read":
            return
        misdirected = [copy(piece) for piece in reply.slices]
        for piece in misdirected:
            piece.run_id = "another"
            piece.data = b"not yours"
        repeated = [copy(piece) for piece in earlier_pieces]
        earlier_pieces.extend(copy(piece) for piece in reply.slices)
        reply.slices = [*misdirected, *repeated, *reply.slices, *reply.slices]

    fleet.client_pool.modify_reply = repeat_and_misdirect
    flow = fleet.new_request_flow()
    pool = eventlet.GreenPool()
    answers = list(pool.imap(lambda _: collect_answer(flow, new_request()), range(4)))
    assert {body for body, _ in answers} == {WHOLE_ANSWER}
    assert all(isinstance(ending, Done) for _, ending in answers)


def test_a_missing_piece_is_read_again(fleet: Fleet) -> None:
    dropped_pieces: list[Any] = []
    gate = Event()

    def drop_first_piece(method: str, reply: Any) -> None:
        if method == "read" and reply.slices and not dropped_pieces:
            dropped_pieces.append(reply.slices.pop(0))
            gate.send()

    for agent in fleet.agents:
        agent.backend.before_last_piece = gate.wait
    fleet.client_pool.modify_reply = drop_first_piece
    body, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert (body, type(ending)) == (WHOLE_ANSWER, Done)
    assert dropped_pieces


def test_a_damaged_answer_is_never_done(fleet: Fleet) -> None:
    def damage_data(method: str, reply: Any) -> None:
        for piece in reply.slices if method == "read" else ():
            piece.data = piece.data.replace(b"two", b"TWO")

    fleet.client_pool.modify_reply = damage_data
    _, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert ending == Unknown(Reason.ANSWER_DAMAGED)


def test_a_start_that_arrives_after_its_tombstone_never_runs(
    fleet: Fleet, only_agent: FakeAgent
) -> None:
    fleet.client_pool.faults["start"] = ["request_lost"]
    _, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert isinstance(ending, NotRun)
    reply = fleet.client_pool.delayed_calls[0]()
    assert (reply.state, reply.reason) == ("refused", Reason.TOMBSTONE)
    assert fleet.count_runs() == 0


def test_a_refused_start_never_runs_when_it_arrives_again(
    fleet: Fleet, only_agent: FakeAgent
) -> None:
    fleet.client_pool.faults["start"] = ["request_lost"]
    fleet.client_pool.faults["resolve"] = ["request_lost"] * 3
    only_agent.board.leaving = True
    collect_answer(fleet.new_request_flow(), new_request())
    start = fleet.client_pool.delayed_calls[0]
    assert start().state == "refused"
    only_agent.board.leaving = False
    assert start().state == "refused"
    assert fleet.count_runs() == 0


def test_the_answer_is_read_when_the_reply_to_the_start_is_lost(fleet: Fleet) -> None:
    fleet.client_pool.faults["start"] = ["reply_lost"]
    body, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert (body, type(ending)) == (WHOLE_ANSWER, Done)
    assert fleet.count_runs() == 1


def test_a_start_that_cannot_be_resolved_is_unknown(
    fleet: Fleet, only_agent: FakeAgent
) -> None:
    fleet.client_pool.faults["start"] = ["reply_lost"]
    fleet.client_pool.faults["resolve"] = ["request_lost"] * 3
    _, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert isinstance(ending, Unknown)
    assert fleet.count_runs() == 1


def test_a_restarted_agent_does_not_resolve_earlier_starts(
    fleet: Fleet, only_agent: FakeAgent
) -> None:
    fleet.client_pool.faults["start"] = ["reply_lost"]
    fleet.client_pool.call_hooks["resolve"] = only_agent.restart
    _, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert ending == Unknown(Reason.SERVER_LOST, 1.0)
    assert fleet.count_runs() == 1


def test_a_run_lost_before_the_first_byte_is_repeated_once(fleet: Fleet) -> None:
    fleet.client_pool.faults["start"] = ["reply_lost"]
    fleet.client_pool.faults["resolve"] = ["request_lost"] * 3
    body, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert (body, type(ending)) == (WHOLE_ANSWER, Done)
    assert fleet.count_runs() == 2


def test_an_engine_failure_is_not_retried(fleet: Fleet) -> None:
    for agent in fleet.agents:
        agent.backend.failure = engine_failure()
    _, ending = collect_answer(fleet.new_request_flow(), new_request())
    assert ending == Unknown(Reason.ENGINE_FAILED)
    assert fleet.count_runs() == 1


def test_a_request_past_its_deadline_is_not_run(fleet: Fleet) -> None:
    _, ending = collect_answer(fleet.new_request_flow(), new_request(deadline=0.0))
    assert ending == NotRun(Reason.DEADLINE_PASSED)
    assert fleet.count_runs() == 0


def test_the_ending_at_the_deadline_does_not_wait_for_the_cancel_call(
    fleet: Fleet,
) -> None:
    """The engine and the cancel call both block forever."""
    blocked = Event()
    for agent in fleet.agents:
        agent.backend.before_last_piece = blocked.wait
        agent.handler.cancel = lambda run_id: blocked.wait()
    flow = fleet.new_request_flow()
    answer = flow.answer_request(new_request(), new_service("summaries"))
    assert next(answer) == b"one two "
    run = next(iter(flow.starter.feeds.feeds.values())).runs.popitem()[1]
    run.record_ending(Unknown(Reason.DEADLINE_PASSED))
    assert next(answer) == Unknown(Reason.DEADLINE_PASSED)


@pytest.mark.parametrize("service", ["summaries", "renewals"])
def test_only_an_idempotent_run_is_cancelled_when_its_caller_leaves(
    fleet: Fleet, service: str
) -> None:
    """An idempotent run is cancelled; a non-idempotent run continues."""
    gate = Event()
    for agent in fleet.agents:
        agent.backend.before_last_piece = gate.wait
    flow = fleet.new_request_flow()
    ticket = ""
    if service == "renewals":
        _, refusal = collect_answer(flow, new_request(service))
        assert isinstance(refusal, NotRun)
        ticket = refusal.ticket
    answer = flow.answer_request(
        new_request(service, ticket=ticket), new_service(service)
    )
    next(answer)
    answer.close()
    for _ in range(5):
        eventlet.sleep(0)
    assert ("cancel" in fleet.client_pool.calls) == (service == "summaries")
    for agent in fleet.agents:
        for run_id in agent.registry.runs:
            agent.handler.cancel(run_id)
    cancelled_run_ids = sum(
        (agent.backend.cancelled_run_ids for agent in fleet.agents), []
    )
    assert len(cancelled_run_ids) == (service == "summaries")
    gate.send()
    if ticket:
        body, ending = collect_answer(flow, new_request(service, ticket=ticket))
        assert (body, type(ending)) == (WHOLE_ANSWER, Done)
        assert fleet.count_runs() == 1


@pytest.mark.parametrize(
    ("reason", "start_count"), [(Reason.FAIR_SHARE, 1), (Reason.OVERLOADED, 2)]
)
def test_a_fair_share_refusal_is_not_retried(
    fleet: Fleet, reason: Reason, start_count: int
) -> None:
    offered_priorities: list[int] = []

    def refuse(_run: object, priority: int) -> NotRun:
        offered_priorities.append(priority)
        return NotRun(reason, 1.0)

    for agent in fleet.agents:
        agent.handler.admission_controller.offer = refuse  # type: ignore[method-assign, assignment]
    flow = fleet.new_request_flow()
    _, ending = collect_answer(flow, new_request("summaries"))
    assert ending == NotRun(reason, 1.0)
    assert len(offered_priorities) == start_count


@pytest.mark.parametrize(
    "silent_method", ["heartbeat", "start", "resolve", "issue_ticket"]
)
def test_a_silent_agent_does_not_delay_the_ending_past_the_deadline(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, silent_method: str
) -> None:
    now = clock.now()
    monkeypatch.setattr(clock, "now", lambda: now)
    call_agent = fleet.client_pool.call

    def call(address: Any, method: str, *args: Any, timeout_s: float) -> Any:
        nonlocal now
        if method != silent_method:
            return call_agent(address, method, *args, timeout_s=timeout_s)
        now += timeout_s
        eventlet.sleep(0)
        raise LostReplyError(method)

    monkeypatch.setattr(fleet.client_pool, "call", call)
    if silent_method == "resolve":
        fleet.client_pool.faults["start"] = ["request_lost"]
    service = "renewals" if silent_method == "issue_ticket" else "summaries"
    deadline = now + 0.25
    ended_at = 0.0
    for _ in fleet.new_request_flow().answer_request(
        new_request(service, deadline=deadline), new_service(service)
    ):
        ended_at = now

    assert ended_at == pytest.approx(deadline)


def test_a_start_abandoned_at_the_deadline_never_runs_later(
    fleet: Fleet, only_agent: FakeAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = clock.now()
    monkeypatch.setattr(clock, "now", lambda: now)
    fleet.client_pool.faults["start"] = ["request_lost"]

    def pass_deadline() -> None:
        nonlocal now
        now += 1.0

    fleet.client_pool.call_hooks["start"] = pass_deadline
    _, ending = collect_answer(
        fleet.new_request_flow(), new_request(deadline=now + 0.25)
    )
    eventlet.sleep(0)
    eventlet.sleep(0)
    for start in fleet.client_pool.delayed_calls:
        start()
    eventlet.sleep(0)

    assert ending == Unknown(Reason.DEADLINE_PASSED)
    assert fleet.client_pool.calls.count("resolve") == 1
    assert fleet.count_runs() == 0


def test_an_unknown_reason_ends_only_its_own_run(fleet: Fleet) -> None:
    changed_run_ids: list[str] = []

    def set_unknown_reason(method: str, reply: Any) -> None:
        for piece in reply.slices if method == "read" else ():
            if piece.state != RunState.RUNNING and not changed_run_ids:
                changed_run_ids.append(piece.run_id)
                piece.state, piece.reason = RunState.FAILED, "of_a_later_release"

    fleet.client_pool.modify_reply = set_unknown_reason
    flow = fleet.new_request_flow()
    pool = eventlet.GreenPool()
    answers = pool.imap(lambda _: collect_answer(flow, new_request()), range(4))
    endings = [ending for _, ending in answers]

    assert endings.count(Unknown(Reason.INTERNAL)) == 1
    assert sum(isinstance(ending, Done) for ending in endings) == 3


@pytest.mark.parametrize(
    ("method", "state", "outcome"),
    [
        ("start", StartState.REFUSED, Outcome.NOT_RUN),
        ("start", StartState.UNKNOWN, Outcome.UNKNOWN),
        ("resolve", RunState.NOT_RUN, Outcome.NOT_RUN),
        ("resolve", RunState.MISSING, Outcome.UNKNOWN),
        ("issue_ticket", None, Outcome.NOT_RUN),
        ("read", RunState.NOT_RUN, Outcome.NOT_RUN),
        ("read", RunState.FAILED, Outcome.UNKNOWN),
    ],
)
def test_a_reason_of_a_later_release_is_logged_and_keeps_the_outcome(
    fleet: Fleet,
    only_agent: FakeAgent,
    caplog: pytest.LogCaptureFixture,
    method: str,
    state: str | None,
    outcome: Outcome,
) -> None:
    """The caller gets the reason ``internal``; only the log has the one sent."""

    def set_unknown_reason(called_method: str, reply: Any) -> None:
        if called_method != method:
            return
        if method == "issue_ticket":
            reply.ticket = ""
        for part in reply.slices if method == "read" else (reply,):
            part.reason = "of_a_later_release"
            if state is not None:
                part.state = state

    fleet.client_pool.modify_reply = set_unknown_reason
    if method == "resolve":
        fleet.client_pool.faults["start"] = ["reply_lost"]
    service = "renewals" if method == "issue_ticket" else "summaries"

    _, ending = collect_answer(fleet.new_request_flow(), new_request(service))

    assert (ending.outcome, ending.reason) == (outcome, Reason.INTERNAL)
    assert "of_a_later_release" in caplog.text


@pytest.mark.parametrize("method", ["cancel", "resolve"])
def test_an_error_of_a_call_that_no_request_waits_for_is_logged(
    fleet: Fleet,
    only_agent: FakeAgent,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    method: str,
) -> None:
    """The caller has left, or its deadline has passed, so only the log can tell."""
    now = clock.now()
    monkeypatch.setattr(clock, "now", lambda: now)

    def pass_deadline() -> None:
        nonlocal now
        now += 1.0

    def fail() -> None:
        raise ValueError("an unreadable reply")

    if method == "resolve":
        fleet.client_pool.faults["start"] = ["request_lost"]
        fleet.client_pool.call_hooks["start"] = pass_deadline
    fleet.client_pool.call_hooks[method] = fail
    gate = Event()
    only_agent.backend.before_last_piece = gate.wait
    answer = fleet.new_request_flow().answer_request(
        new_request(deadline=now + 0.25), new_service("summaries")
    )
    next(answer)
    answer.close()
    for _ in range(5):
        eventlet.sleep(0)
    gate.send()

    assert method in fleet.client_pool.calls
    assert "an unreadable reply" in caplog.text


@pytest.mark.parametrize(
    ("method", "faults"),
    [
        ("heartbeat", ["never_sent"]),
        ("heartbeat", ["reply_lost"]),
        ("start", ["never_sent"]),
        ("start", ["reply_lost"]),
        ("resolve", ["reply_lost", "reply_lost"]),
        ("issue_ticket", ["never_sent"]),
        ("issue_ticket", ["reply_lost"]),
        ("read", ["reply_lost", "never_sent", "reply_lost", "reply_lost"]),
        ("cancel", ["never_sent"]),
    ],
)
def test_each_failed_call_for_a_request_is_logged(
    fleet: Fleet,
    only_agent: FakeAgent,
    caplog: pytest.LogCaptureFixture,
    method: str,
    faults: list[str],
) -> None:
    """A lost request cannot be explained from logs that omit the calls that failed."""
    caplog.set_level(logging.INFO, "primroselever.decisions")
    fleet.client_pool.faults[method] = list(faults)
    if method == "resolve":
        fleet.client_pool.faults["start"] = ["reply_lost"]
    service = "renewals" if method == "issue_ticket" else "summaries"
    gate = Event()
    if method == "cancel":
        only_agent.backend.before_last_piece = gate.wait
        answer = fleet.new_request_flow().answer_request(
            new_request(service), new_service(service)
        )
        next(answer)
        answer.close()
        for _ in range(5):
            eventlet.sleep(0)
        gate.send()
    else:
        collect_answer(fleet.new_request_flow(), new_request(service))

    failed = [
        record
        for record in caplog.records
        if record.getMessage() == "call failed" and record.method == method  # type: ignore[attr-defined]
    ]
    assert len(failed) == len(faults)
    assert {record.choice for record in failed} == {"portal-1"}  # type: ignore[attr-defined]


def test_the_end_of_lost_runs_is_logged(
    fleet: Fleet, only_agent: FakeAgent, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "primroselever.decisions")
    fleet.client_pool.faults["read"] = ["reply_lost"] * 4

    _, ending = collect_answer(fleet.new_request_flow(), new_request())

    assert ending == Unknown(Reason.SERVER_LOST, 1.0)
    lost = [record for record in caplog.records if record.getMessage() == "run lost"]
    assert len(lost) == 1
