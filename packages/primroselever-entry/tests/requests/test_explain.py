"""Explanations of the server that an entry would choose."""

from __future__ import annotations

from copy import deepcopy
from typing import TYPE_CHECKING, Any

import pytest

from primroselever_core.identifiers import VmId, WorkspaceName
from primroselever_core.outcomes import NotRun, Reason
from primroselever_core.routing.choose import Choice
from primroselever_core.suspects.section import CrashId
from primroselever_entry.commands.explain import MAX_BODY_CHARACTERS, ExplainCommand
from primroselever_entry.requests.explain import RouteExplainer
from primroselever_node import clock
from primroselever_node.console.application import run_application
from primroselever_node.console.explain import BaseExplainCommand
from primroselever_node.exceptions import ExplainError

from .conftest import new_request, new_service

if TYPE_CHECKING:
    from primroselever_core.routing.router import RoutingRequest
    from primroselever_entry.requests.flow import RequestFlow

    from .conftest import Fleet

QUERY = {"service": "summaries", "workspace": "ministry", "body": "tender 12"}
TICKET_QUERY = {**QUERY, "service": "renewals"}


@pytest.fixture
def flow(fleet: Fleet) -> RequestFlow:
    return fleet.new_request_flow()


def explain(flow: RequestFlow, **query: str) -> dict[str, Any]:
    return RouteExplainer(flow.board, flow).explain({**QUERY, **query})


def register_request(flow: RequestFlow) -> RoutingRequest:
    """Return the routing input of the request that ``QUERY`` describes."""
    request = flow.router.register_request(new_request(), new_service("summaries"))
    assert not isinstance(request, NotRun)
    return request


@pytest.mark.parametrize("query", [QUERY, TICKET_QUERY])
def test_an_explanation_creates_no_record(
    flow: RequestFlow, query: dict[str, str]
) -> None:
    """A command that only reads must not change what the entry decides later."""
    router = flow.router.router
    before = deepcopy(flow.board.servers), deepcopy(router.pools)
    random_state = router.random.getstate(), flow.ticket_router.random.getstate()

    explanation = explain(flow, **query)

    assert explanation["choice"] in ("portal-1", "portal-2")
    assert set(explanation["servers"]) == {"portal-1", "portal-2"}
    assert (flow.board.servers, router.pools) == before
    assert (
        router.random.getstate(),
        flow.ticket_router.random.getstate(),
    ) == random_state


def test_the_explained_choice_is_the_one_of_the_next_request(flow: RequestFlow) -> None:
    for _ in range(20):
        explanation = explain(flow)
        routing_request = register_request(flow)
        choice = flow.router.router.choose_for_request(routing_request, (), clock.now())
        assert isinstance(choice, Choice)
        assert explanation["choice"] == choice.server.vm.vm_id
        assert explanation["reason"] == choice.reason
        flow.router.router.record_start(routing_request, choice.server)


def test_a_request_in_quarantine_is_explained_as_refused(flow: RequestFlow) -> None:
    """The router refuses it although all servers are usable."""
    fingerprint = new_request().fingerprint
    for number in range(3):
        crash = CrashId(f"portal-1/1/{number}")
        flow.board.suspects.record_crash(crash, [fingerprint], clock.now())

    explanation = explain(flow)

    assert (explanation["choice"], explanation["reason"]) == (None, Reason.QUARANTINED)


def test_servers_that_are_full_for_a_workspace_are_explained(flow: RequestFlow) -> None:
    """A mark applies to one workspace and one priority."""
    for vm_id in (VmId("portal-1"), VmId("portal-2")):
        flow.router.router.full_marks.mark_full(
            WorkspaceName("ministry"), 5, vm_id, None, clock.now()
        )

    explanation = explain(flow)

    assert (explanation["choice"], explanation["reason"]) == (None, Reason.OVERLOADED)
    assert explain(flow, priority="4")["choice"] is not None
    assert explain(flow, workspace="another")["choice"] is not None


def test_a_leaving_entry_is_explained_to_refuse(flow: RequestFlow) -> None:
    flow.board.leaving = True
    explanation = explain(flow)
    assert (explanation["choice"], explanation["reason"]) == (None, Reason.LEAVING)


def test_the_issuer_for_a_key_is_explained(fleet: Fleet, flow: RequestFlow) -> None:
    """Calls that must run at most once go to the issuer of their ticket."""
    for number in range(8):
        key = f"key {number}"
        explanation = explain(flow, service="renewals", idempotency_key=key)
        request = new_request("renewals", key=key)
        list(flow.answer_request(request, new_service("renewals")))
        [issuer] = [
            agent.vm.vm_id
            for agent in fleet.agents
            if any(
                scope.key == key
                for scope in agent.handler.ticket_issuer.book.tickets_by_key
            )
        ]
        assert explanation["choice"] == issuer


def test_no_server_is_explained(fleet: Fleet) -> None:
    del fleet.agents[:]
    for query in (QUERY, TICKET_QUERY):
        explanation = explain(fleet.new_request_flow(), **query)
        assert (explanation["choice"], explanation["reason"]) == (
            None,
            Reason.NO_SERVER,
        )
        assert explanation["servers"] == {}


@pytest.mark.parametrize("query", [{"priority": "high"}, {"size_bytes": "1 MiB"}])
def test_an_unreadable_number_raises_an_error(
    flow: RequestFlow, query: dict[str, str]
) -> None:
    with pytest.raises(ExplainError, match="not a number"):
        explain(flow, **query)


def test_an_unknown_service_raises_an_error_with_the_known_ones(
    flow: RequestFlow,
) -> None:
    with pytest.raises(ExplainError, match="summaries, renewals"):
        explain(flow, service="other")


def test_a_body_that_is_too_long_for_a_query_is_identified_by_its_fingerprint(
    flow: RequestFlow, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The beginning of a body does not tell whether the request is in quarantine."""
    body = "tender 12 " * MAX_BODY_CHARACTERS
    queries: list[dict[str, str]] = []

    def keep_query(command: BaseExplainCommand, arguments: Any) -> int:
        queries.append(command.query_parameters(arguments))
        return 0

    monkeypatch.setattr(BaseExplainCommand, "handle", keep_query)
    argv = ["explain", "127.0.0.1:1", "summaries"]
    argv += ["--workspace", "ministry", "--body", body]
    run_application("primroselever", "An entry.", [ExplainCommand()], argv)
    [query] = queries
    fingerprint = new_request(body=body.encode()).fingerprint
    for number in range(3):
        crash = CrashId(f"portal-1/1/{number}")
        flow.board.suspects.record_crash(crash, [fingerprint], clock.now())

    assert len(query["body"]) == MAX_BODY_CHARACTERS
    assert query["size_bytes"] == str(len(body))
    assert RouteExplainer(flow.board, flow).explain(query)["choice"] is None
