"""Idempotent requests over a wire that loses, repeats, delays and crosses."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING, Any

import eventlet
import pytest
from eventlet.event import Event

from primroselever_core.outcomes import Done, NotRun, Reason, Unknown
from primroselever_core.runs.registry import RunState
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError

from .conftest import answer_of, engine_failed, new_request, service_named

if TYPE_CHECKING:
    from .conftest import FakeAgent, Fleet

WHOLE = b"one two three"


def test_a_silent_connection_in_mid_answer_loses_nothing(fleet: Fleet) -> None:
    fleet.wire.faults["read"] = ["reply_lost", "request_lost", "reply_lost"]
    body, ending = answer_of(fleet.entry(), new_request())
    assert (body, type(ending)) == (WHOLE, Done)
    assert fleet.ran() == 1


def test_repeated_and_crossed_pieces_reach_nobody(fleet: Fleet) -> None:
    others: list[Any] = []

    def repeat_and_cross(method: str, reply: Any) -> None:
        if method != "read":
            return
        crossed = [copy(piece) for piece in reply.slices]
        for piece in crossed:
            piece.run_id = "another"
            piece.data = b"not yours"
        late = [copy(piece) for piece in others]
        others.extend(copy(piece) for piece in reply.slices)
        reply.slices = [*crossed, *late, *reply.slices, *reply.slices]

    fleet.wire.tamper = repeat_and_cross
    entry = fleet.entry()
    pool = eventlet.GreenPool()
    answers = list(pool.imap(lambda _: answer_of(entry, new_request()), range(4)))
    assert {body for body, _ in answers} == {WHOLE}
    assert all(isinstance(ending, Done) for _, ending in answers)


def test_a_piece_that_is_missing_is_read_again(fleet: Fleet) -> None:
    dropped: list[Any] = []
    gate = Event()

    def drop_first(method: str, reply: Any) -> None:
        if method == "read" and reply.slices and not dropped:
            dropped.append(reply.slices.pop(0))
            gate.send()

    for agent in fleet.agents:
        agent.backend.before_end = gate.wait
    fleet.wire.tamper = drop_first
    body, ending = answer_of(fleet.entry(), new_request())
    assert (body, type(ending)) == (WHOLE, Done)
    assert dropped


def test_an_answer_that_is_not_whole_is_never_done(fleet: Fleet) -> None:
    def damage(method: str, reply: Any) -> None:
        for piece in reply.slices if method == "read" else ():
            piece.data = piece.data.replace(b"two", b"TWO")

    fleet.wire.tamper = damage
    _, ending = answer_of(fleet.entry(), new_request())
    assert ending == Unknown(Reason.ANSWER_DAMAGED)


def test_a_late_start_behind_its_tombstone_never_runs(
    fleet: Fleet, one_agent: FakeAgent
) -> None:
    fleet.wire.faults["start"] = ["request_lost"]
    _, ending = answer_of(fleet.entry(), new_request())
    assert isinstance(ending, NotRun)
    reply = fleet.wire.late[0]()
    assert (reply.state, reply.reason) == ("refused", Reason.TOMBSTONE)
    assert fleet.ran() == 0


def test_a_refused_start_never_runs_when_it_comes_again(
    fleet: Fleet, one_agent: FakeAgent
) -> None:
    fleet.wire.faults["start"] = ["request_lost"]
    fleet.wire.faults["resolve"] = ["request_lost"] * 3
    one_agent.board.leaving = True
    answer_of(fleet.entry(), new_request())
    start = fleet.wire.late[0]
    assert start().state == "refused"
    one_agent.board.leaving = False
    assert start().state == "refused"
    assert fleet.ran() == 0


def test_a_start_whose_reply_is_lost_is_read_on(fleet: Fleet) -> None:
    fleet.wire.faults["start"] = ["reply_lost"]
    body, ending = answer_of(fleet.entry(), new_request())
    assert (body, type(ending)) == (WHOLE, Done)
    assert fleet.ran() == 1


def test_what_cannot_be_resolved_is_unknown(fleet: Fleet, one_agent: FakeAgent) -> None:
    fleet.wire.faults["start"] = ["reply_lost"]
    fleet.wire.faults["resolve"] = ["request_lost"] * 3
    _, ending = answer_of(fleet.entry(), new_request())
    assert isinstance(ending, Unknown)
    assert fleet.ran() == 1


def test_a_replaced_agent_does_not_resolve_for_its_predecessor(
    fleet: Fleet, one_agent: FakeAgent
) -> None:
    fleet.wire.faults["start"] = ["reply_lost"]
    fleet.wire.before["resolve"] = one_agent.restart
    _, ending = answer_of(fleet.entry(), new_request())
    assert ending == Unknown(Reason.SERVER_LOST, 1.0)
    assert fleet.ran() == 1


def test_a_server_lost_before_the_first_byte_costs_one_more_run(fleet: Fleet) -> None:
    fleet.wire.faults["start"] = ["reply_lost"]
    fleet.wire.faults["resolve"] = ["request_lost"] * 3
    body, ending = answer_of(fleet.entry(), new_request())
    assert (body, type(ending)) == (WHOLE, Done)
    assert fleet.ran() == 2


def test_a_failed_engine_is_not_tried_elsewhere(fleet: Fleet) -> None:
    for agent in fleet.agents:
        agent.backend.fail = engine_failed()
    _, ending = answer_of(fleet.entry(), new_request())
    assert ending == Unknown(Reason.ENGINE_FAILED)
    assert fleet.ran() == 1


def test_a_request_past_its_deadline_runs_nowhere(fleet: Fleet) -> None:
    _, ending = answer_of(fleet.entry(), new_request(deadline=0.0))
    assert ending == NotRun(Reason.DEADLINE_PASSED)
    assert fleet.ran() == 0


def test_giving_up_does_not_wait_for_the_cancel(fleet: Fleet) -> None:
    """The engine and the call to cancel both hang for good."""
    hang = Event()
    for agent in fleet.agents:
        agent.backend.before_end = hang.wait
        agent.handler.cancel = lambda run_id: hang.wait()
    entry = fleet.entry()
    answer = entry.answer(new_request(), service_named("summaries"))
    assert next(answer) == b"one two "
    run = next(iter(entry.starter.feeds.feeds.values())).runs.popitem()[1]
    run.end(Unknown(Reason.DEADLINE_PASSED))
    assert next(answer) == Unknown(Reason.DEADLINE_PASSED)


@pytest.mark.parametrize("service", ["summaries", "renewals"])
def test_a_caller_that_goes_away(fleet: Fleet, service: str) -> None:
    """An idempotent run is cancelled; one that must run once goes on."""
    gate = Event()
    for agent in fleet.agents:
        agent.backend.before_end = gate.wait
    entry = fleet.entry()
    ticket = ""
    if service == "renewals":
        _, refusal = answer_of(entry, new_request(service))
        assert isinstance(refusal, NotRun)
        ticket = refusal.ticket
    answer = entry.answer(new_request(service, ticket=ticket), service_named(service))
    next(answer)
    answer.close()
    for _ in range(5):
        eventlet.sleep(0)
    assert ("cancel" in fleet.wire.calls) == (service == "summaries")
    for agent in fleet.agents:
        for run_id in agent.registry.runs:
            agent.handler.cancel(run_id)
    cancelled = sum((agent.backend.cancelled for agent in fleet.agents), [])
    assert len(cancelled) == (service == "summaries")
    gate.send()
    if ticket:
        body, ending = answer_of(entry, new_request(service, ticket=ticket))
        assert (body, type(ending)) == (WHOLE, Done)
        assert fleet.ran() == 1


@pytest.mark.parametrize(
    ("reason", "starts"), [(Reason.FAIR_SHARE, 1), (Reason.OVERLOADED, 2)]
)
def test_a_refusal_for_a_workspaces_share_is_not_retried(
    fleet: Fleet, reason: Reason, starts: int
) -> None:
    offers: list[int] = []

    def refuse(_run: object, priority: int) -> NotRun:
        offers.append(priority)
        return NotRun(reason, 1.0)

    for agent in fleet.agents:
        agent.handler.admission.offer = refuse  # type: ignore[method-assign, assignment]
    flow = fleet.entry()
    _, ending = answer_of(flow, new_request("summaries"))
    assert ending == NotRun(reason, 1.0)
    assert len(offers) == starts


@pytest.mark.parametrize("silent", ["heartbeat", "start", "resolve", "issue_ticket"])
def test_a_silent_agent_holds_no_answer_back_past_the_deadline(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, silent: str
) -> None:
    now = clock.now()
    monkeypatch.setattr(clock, "now", lambda: now)
    deliver = fleet.wire.call

    def call(address: Any, method: str, *args: Any, timeout_s: float) -> Any:
        nonlocal now
        if method != silent:
            return deliver(address, method, *args, timeout_s=timeout_s)
        now += timeout_s
        eventlet.sleep(0)
        raise LostReplyError(method)

    monkeypatch.setattr(fleet.wire, "call", call)
    if silent == "resolve":
        fleet.wire.faults["start"] = ["request_lost"]
    service = "renewals" if silent == "issue_ticket" else "summaries"
    deadline = now + 0.25
    ended_at = 0.0
    for _ in fleet.entry().answer(
        new_request(service, deadline=deadline), service_named(service)
    ):
        ended_at = now

    assert ended_at == pytest.approx(deadline)


def test_a_start_that_was_given_up_on_never_runs_later(
    fleet: Fleet, one_agent: FakeAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = clock.now()
    monkeypatch.setattr(clock, "now", lambda: now)
    fleet.wire.faults["start"] = ["request_lost"]

    def pass_deadline() -> None:
        nonlocal now
        now += 1.0

    fleet.wire.before["start"] = pass_deadline
    _, ending = answer_of(fleet.entry(), new_request(deadline=now + 0.25))
    eventlet.sleep(0)
    eventlet.sleep(0)
    for start in fleet.wire.late:
        start()
    eventlet.sleep(0)

    assert ending == Unknown(Reason.DEADLINE_PASSED)
    assert fleet.wire.calls.count("resolve") == 1
    assert fleet.ran() == 0


def test_a_reply_that_cannot_be_read_ends_only_its_own_run(fleet: Fleet) -> None:
    spoilt: list[str] = []

    def spoil_first(method: str, reply: Any) -> None:
        for piece in reply.slices if method == "read" else ():
            if piece.state != RunState.RUNNING and not spoilt:
                spoilt.append(piece.run_id)
                piece.state, piece.reason = RunState.FAILED, "of_a_later_release"

    fleet.wire.tamper = spoil_first
    entry = fleet.entry()
    pool = eventlet.GreenPool()
    answers = pool.imap(lambda _: answer_of(entry, new_request()), range(4))
    endings = [ending for _, ending in answers]

    assert endings.count(Unknown(Reason.INTERNAL)) == 1
    assert sum(isinstance(ending, Done) for ending in endings) == 3
