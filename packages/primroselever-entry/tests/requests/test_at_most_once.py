"""Non-idempotent calls, as the scenarios beside this file tell."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import eventlet
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from primroselever_core.outcomes import Done, Ending, NotRun

from .conftest import answer_of, engine_failed, new_request

if TYPE_CHECKING:
    from .conftest import FakeAgent, Fleet

scenarios("at_most_once.feature")

BODY = b"renew 7"
KEY = "key 7"


@dataclass
class Caller:
    """A caller, its ticket, and what each of its sendings was told."""

    ticket: str
    issuer: FakeAgent
    told: list[tuple[bytes, Ending]] = field(default_factory=list)
    refusals: list[NotRun] = field(default_factory=list)


@pytest.fixture
def caller(fleet: Fleet) -> Caller:
    refusal = refused(fleet)
    issuer = next(
        a for a in fleet.agents if refusal.ticket.startswith(f"1:{a.vm.vm_id}:")
    )
    return Caller(refusal.ticket, issuer)


def refused(fleet: Fleet, key: str = "") -> NotRun:
    _, refusal = answer_of(fleet.entry(), new_request("renewals", BODY, key=key))
    assert isinstance(refusal, NotRun)
    return refusal


@given("a caller with a ticket for its call")
def a_ticket(caller: Caller) -> None:
    assert caller.ticket


@given("the reply to the next start is lost")
def reply_lost(fleet: Fleet) -> None:
    fleet.wire.faults["start"] = ["reply_lost"]


@given("the next start is delayed")
def start_delayed(fleet: Fleet) -> None:
    fleet.wire.faults["start"] = ["request_lost"]


@given("the agent cannot be reached")
def unreachable(fleet: Fleet) -> None:
    fleet.wire.faults["start"] = ["never_sent"] * 9


@given("the home of the key cannot be reached")
def home_unreachable(fleet: Fleet) -> None:
    fleet.wire.faults["issue_ticket"] = ["never_sent"] * 2


@given("the service breaks the connection after it acts")
def breaks(caller: Caller) -> None:
    caller.issuer.backend.fail = engine_failed()


@given("the service cannot be connected")
def never_connected(caller: Caller) -> None:
    caller.issuer.backend.fail = engine_failed(never_ran=True)


@when("the call is sent with the ticket")
def send(fleet: Fleet, caller: Caller) -> None:
    request = new_request("renewals", BODY, ticket=caller.ticket)
    caller.told.append(answer_of(fleet.entry(), request))


@when("the call is sent with the ticket through two entries at once")
def send_twice(fleet: Fleet, caller: Caller) -> None:
    pool = eventlet.GreenPool()
    for _ in range(2):
        pool.spawn(send, fleet, caller)
    pool.waitall()


@when("the call is sent with the ticket and its entry dies")
def send_and_die(fleet: Fleet, caller: Caller) -> None:
    entry = eventlet.spawn(send, fleet, caller)
    for _ in range(2):
        eventlet.sleep(0)
    entry.kill()
    assert not caller.told


@when("the delayed start arrives")
def late_start(fleet: Fleet) -> None:
    assert fleet.wire.late.pop()().state == "accepted"
    eventlet.sleep(0)


@when("the VM is replaced")
def replaced(caller: Caller) -> None:
    caller.issuer.restart()


@when("the agent's memory for answers is full")
def memory_full(caller: Caller) -> None:
    while caller.issuer.registry.ended:
        caller.issuer.registry.drop_oldest()


@when("the agent closes its epochs")
def close_epochs(caller: Caller) -> None:
    for _ in range(2):
        caller.issuer.handler.tickets.book.close_epoch()


@when(parsers.parse("a call with {what} is sent"))
def send_altered(fleet: Fleet, caller: Caller, what: str) -> None:
    at = caller.ticket.rindex(".") + 1
    altered = caller.ticket[:at] + "AAAA" + caller.ticket[at + 4 :]
    request = {
        "another body": new_request("renewals", b"renew 8", caller.ticket),
        "another workspace": new_request(
            "renewals", BODY, caller.ticket, workspace="guild"
        ),
        "an altered ticket": new_request("renewals", BODY, altered),
        "no ticket": new_request("renewals", BODY),
    }[what]
    caller.told.append(answer_of(fleet.entry(), request))


@when("the key is sent without a ticket twice")
def send_key(fleet: Fleet, caller: Caller) -> None:
    caller.refusals.extend(refused(fleet, KEY) for _ in range(2))


@then(parsers.parse('each sending is told "{outcome}" with the same answer'))
def all_told(caller: Caller, outcome: str) -> None:
    assert len(caller.told) == 2
    assert {body for body, _ in caller.told} == {b"one two three"}
    assert all(isinstance(ending, Done) for _, ending in caller.told)
    assert {ending.outcome for _, ending in caller.told} == {outcome}


@then(parsers.parse('the last sending is told "{outcome}"'))
def last_told(caller: Caller, outcome: str) -> None:
    assert caller.told[-1][1].outcome == outcome


@then(parsers.parse('the last sending is told "{outcome}" for "{reason}"'))
def last_told_why(caller: Caller, outcome: str, reason: str) -> None:
    ending = caller.told[-1][1]
    assert not isinstance(ending, Done)
    assert (ending.outcome, ending.reason) == (outcome, reason)


@then(parsers.re(r"the service ran the call (?P<count>\d+) times?"))
def ran(fleet: Fleet, count: str) -> None:
    assert fleet.ran() == int(count)


@then("both get the same ticket")
def same_ticket(caller: Caller) -> None:
    first, second = caller.refusals
    assert first.ticket == second.ticket != ""


@then("nobody else issues a ticket for the key")
def no_ticket(caller: Caller) -> None:
    assert [refusal.ticket for refusal in caller.refusals] == ["", ""]
    assert all(refusal.retry_after_s for refusal in caller.refusals)
