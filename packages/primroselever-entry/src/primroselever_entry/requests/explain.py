"""Explanation of the routing decision for a request, without sending it."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Fingerprint, GroupName, WorkspaceName
from primroselever_core.outcomes import NotRun, Reason
from primroselever_core.routing.choose import Choice, describe_candidate
from primroselever_core.routing.preview import copy_router
from primroselever_core.routing.router import Router, RoutingRequest, prefix_of
from primroselever_core.runs.fingerprint import fingerprint_of
from primroselever_node import clock
from primroselever_node.exceptions import ExplainError

from .caller_request import DEFAULT_PRIORITY
from .ticketing import describe_issuer_choice, find_issuers, rank_issuers

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.profiles.model import Service
    from primroselever_core.routing.section import Server

    from .flow import RequestFlow


class RouteExplainer:
    """
    Answers /explain of an entry, without any change to the entry's state.

    The router's own decision is made by a copy of the router.
    """

    def __init__(self, board: Blackboard, flow: RequestFlow) -> None:
        self.board = board
        self.flow = flow

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """
        Return the server that would be chosen now, and the state of each candidate.

        Raise ``ExplainError`` if the query names no published service or an unreadable
        number.
        """
        accepted = self.board.profiles.accepted
        if accepted is None:
            raise ExplainError("no profiles are accepted yet; ask again later")
        name = query.get("service", "")
        service = accepted.profiles.service(name)
        if service is None:
            names = ", ".join(s.name for s in accepted.profiles.services)
            raise ExplainError(f"service {name!r} does not exist; name one of: {names}")
        group = accepted.profiles.group_of(service)
        router = copy_router(self.flow.router.router)
        if service.idempotent:
            routing_request = new_routing_request(query, GroupName(group or ""))
            servers = list_candidates(router, routing_request.group)
            choice = self.choose_server(router, routing_request)
        else:
            servers = find_issuers(router.board, service)
            choice = self.choose_issuer(service, servers, query)
        return {
            "service": name,
            "group": group,
            **describe_choice(choice),
            "servers": {
                server.vm.vm_id: self.server_state(server) for server in servers
            },
        }

    def choose_server(
        self, router: Router, routing_request: RoutingRequest
    ) -> Choice | NotRun:
        """Return the server that a router chooses for a request, or why none."""
        if self.board.leaving:
            return NotRun(Reason.LEAVING)
        if not routing_request.group:
            return NotRun(Reason.NO_SERVER)
        return router.choose_for_request(routing_request, (), clock.now())

    def choose_issuer(
        self, service: Service, servers: list[Server], query: dict[str, str]
    ) -> Choice | NotRun:
        """Return the server that is asked first for the ticket of a request."""
        if self.board.leaving:
            return NotRun(Reason.LEAVING)
        if not servers:
            return NotRun(Reason.NO_SERVER)
        key = query.get("idempotency_key", "")
        workspace = WorkspaceName(query.get("workspace", ""))
        random = copy(self.flow.ticket_router.random)
        server = rank_issuers(service.name, workspace, key, servers, random)[0]
        return Choice(server, describe_issuer_choice(key), describe_candidate(server))

    def server_state(self, server: Server) -> dict[str, Any]:
        """Return the state of a server as routing sees it, times in seconds."""
        now = clock.now()
        return {
            "failure_domain": server.vm.failure_domain,
            "usable": server.usable(now),
            "leaving": server.leaving or server.vm.leaving,
            "avoided_for_s": max(0.0, server.avoid_until - now),
            "in_flight": server.in_flight,
            "reported": server.reported,
            "ejected_for_s": max(0.0, server.ejected_until - now),
        }


def new_routing_request(query: dict[str, str], group: GroupName) -> RoutingRequest:
    """
    Return the routing input of the request that a query describes.

    If ``body`` holds only the beginning of a long body, ``fingerprint`` and
    ``size_bytes`` are those of the whole one.
    """
    workspace = WorkspaceName(query.get("workspace", ""))
    body = query.get("body", "").encode()
    fingerprint = query.get("fingerprint") or fingerprint_of(
        query.get("service", ""), workspace, body
    )
    return RoutingRequest(
        group=group,
        workspace=workspace,
        fingerprint=Fingerprint(fingerprint),
        priority=read_number(query, "priority", DEFAULT_PRIORITY),
        prefix=prefix_of(workspace, body),
        size_bytes=read_number(query, "size_bytes", len(body)),
    )


def read_number(query: dict[str, str], name: str, default: int) -> int:
    """Return a number of a query, or raise ``ExplainError`` if it is unreadable."""
    try:
        return int(query.get(name, default))
    except ValueError as exc:
        raise ExplainError(f"{name} {query[name]!r} is not a number") from exc


def list_candidates(router: Router, group: GroupName) -> list[Server]:
    """
    Return the servers of the own failure domain that a router considers.

    If none of them is usable, the servers of other domains follow them.
    """
    now = clock.now()
    servers = router.get_pool(group, True, now).servers
    if any(server.usable(now) for server in servers):
        return servers
    return servers + router.get_pool(group, False, now).servers


def describe_choice(choice: Choice | NotRun) -> dict[str, Any]:
    """Return the fields of an explanation that show a choice."""
    if isinstance(choice, NotRun):
        return {"choice": None, "reason": choice.reason}
    return {
        "choice": choice.server.vm.vm_id,
        "reason": choice.reason,
        "candidates": choice.candidates,
    }
