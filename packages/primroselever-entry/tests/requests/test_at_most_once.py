"""Step functions of the scenarios in at_most_once.feature."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import eventlet
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from primroselever_core.outcomes import Done, Ending, NotRun

from .conftest import collect_answer, engine_failure, new_request

if TYPE_CHECKING:
    from .conftest import FakeAgent, Fleet

scenarios("at_most_once.feature")

BODY = b"renew 7"
KEY = "key 7"


@dataclass
class Caller:
    """A caller, its ticket, and the answers and refusals that it received."""

    ticket: str
    issuer: FakeAgent
    answers: list[tuple[bytes, Ending]] = field(default_factory=list)
    refusals: list[NotRun] = field(default_factory=list)


@pytest.fixture
def caller(fleet: Fleet) -> Caller:
    refusal = send_without_ticket(fleet)
    issuer = next(
        a for a in fleet.agents if refusal.ticket.startswith(f"1:{a.vm.vm_id}:")
    )
    return Caller(refusal.ticket, issuer)


def send_without_ticket(fleet: Fleet, key: str = "") -> NotRun:
    _, refusal = collect_answer(
        fleet.new_request_flow(), new_request("renewals", BODY, key=key)
    )
    assert isinstance(refusal, NotRun)
    return refusal


@given("a caller with a ticket for its call")
def caller_with_ticket(caller: Caller) -> None:
    assert caller.ticket


@given("the reply to the next start is lost")
def lose_start_reply(fleet: Fleet) -> None:
    fleet.client_pool.faults["start"] = ["reply_lost"]


@given("the next start is delayed")
def delay_start(fleet: Fleet) -> None:
    fleet.client_pool.faults["start"] = ["request_lost"]


@given("the agent cannot be reached")
def make_agent_unreachable(fleet: Fleet) -> None:
    fleet.client_pool.faults["start"] = ["never_sent"] * 9


@given("the issuer for the key cannot be reached")
def make_issuer_unreachable(fleet: Fleet) -> None:
    fleet.client_pool.faults["issue_ticket"] = ["never_sent"] * 2


@given("the service closes the connection after it runs the call")
def fail_after_run(caller: Caller) -> None:
    caller.issuer.backend.failure = engine_failure()


@given("the connection to the service cannot be opened")
def fail_before_run(caller: Caller) -> None:
    caller.issuer.backend.failure = engine_failure(never_ran=True)


@when("the call is sent with the ticket")
def send_with_ticket(fleet: Fleet, caller: Caller) -> None:
    request = new_request("renewals", BODY, ticket=caller.ticket)
    caller.answers.append(collect_answer(fleet.new_request_flow(), request))


@when("the call is sent with the ticket through two entries at once")
def send_through_two_entries(fleet: Fleet, caller: Caller) -> None:
    pool = eventlet.GreenPool()
    for _ in range(2):
        pool.spawn(send_with_ticket, fleet, caller)
    pool.waitall()


@when("the call is sent with the ticket and its entry dies")
def send_and_kill_entry(fleet: Fleet, caller: Caller) -> None:
    entry = eventlet.spawn(send_with_ticket, fleet, caller)
    for _ in range(2):
        eventlet.sleep(0)
    entry.kill()
    assert not caller.answers


@when("the delayed start arrives")
def deliver_delayed_start(fleet: Fleet) -> None:
    assert fleet.client_pool.delayed_calls.pop()().state == "accepted"
    eventlet.sleep(0)


@when("the VM is replaced")
def replace_vm(caller: Caller) -> None:
    caller.issuer.restart()


@when("the agent's memory for answers is full")
def drop_kept_answers(caller: Caller) -> None:
    while caller.issuer.registry.ended:
        caller.issuer.registry.drop_oldest()


@when("the agent closes its open epochs")
def close_epochs(caller: Caller) -> None:
    for _ in range(2):
        caller.issuer.handler.ticket_issuer.book.close_epoch()


@when(parsers.parse("a call with {what} is sent"))
def send_altered(fleet: Fleet, caller: Caller, what: str) -> None:
    signature_at = caller.ticket.rindex(".") + 1
    altered_ticket = (
        caller.ticket[:signature_at] + "AAAA" + caller.ticket[signature_at + 4 :]
    )
    request = {
        "another body": new_request("renewals", b"renew 8", caller.ticket),
        "another workspace": new_request(
            "renewals", BODY, caller.ticket, workspace="guild"
        ),
        "an altered ticket": new_request("renewals", BODY, altered_ticket),
        "no ticket": new_request("renewals", BODY),
    }[what]
    caller.answers.append(collect_answer(fleet.new_request_flow(), request))


@when("a call with the key is sent twice without a ticket")
def send_key_twice(fleet: Fleet, caller: Caller) -> None:
    caller.refusals.extend(send_without_ticket(fleet, KEY) for _ in range(2))


@then(parsers.parse('each attempt ends as "{outcome}" with the same answer'))
def check_all_answers(caller: Caller, outcome: str) -> None:
    assert len(caller.answers) == 2
    assert {body for body, _ in caller.answers} == {b"one two three"}
    assert all(isinstance(ending, Done) for _, ending in caller.answers)
    assert {ending.outcome for _, ending in caller.answers} == {outcome}


@then(parsers.parse('the last attempt ends as "{outcome}"'))
def check_last_outcome(caller: Caller, outcome: str) -> None:
    assert caller.answers[-1][1].outcome == outcome


@then(parsers.parse('the last attempt ends as "{outcome}" with reason "{reason}"'))
def check_last_reason(caller: Caller, outcome: str, reason: str) -> None:
    ending = caller.answers[-1][1]
    assert not isinstance(ending, Done)
    assert (ending.outcome, ending.reason) == (outcome, reason)


@then(parsers.re(r"the service ran the call (?P<count>\d+) times?"))
def check_run_count(fleet: Fleet, count: str) -> None:
    assert fleet.count_runs() == int(count)


@then("both calls get the same ticket")
def check_same_ticket(caller: Caller) -> None:
    first, second = caller.refusals
    assert first.ticket == second.ticket != ""


@then("no other agent issues a ticket for the key")
def check_no_ticket(caller: Caller) -> None:
    assert [refusal.ticket for refusal in caller.refusals] == ["", ""]
    assert all(refusal.retry_after_s for refusal in caller.refusals)
