"""Explanation of the routing decision for a request, without sending it."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import WorkspaceName
from primroselever_core.outcomes import NotRun
from primroselever_core.routing.choose import choose_server
from primroselever_core.routing.pool import Pool
from primroselever_core.routing.router import prefix_of
from primroselever_node import clock
from primroselever_node.exceptions import ExplainError

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.routing.section import Server

    from .flow import RequestFlow


class RouteExplainer:
    """Answers /explain of an entry; reads the blackboard and never changes it."""

    def __init__(self, board: Blackboard, flow: RequestFlow) -> None:
        self.board = board
        self.flow = flow

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """
        Return the server that would be chosen now, and the state of each candidate.

        Raise ``ExplainError`` if the query names no published service.
        """
        accepted = self.board.profiles.accepted
        if accepted is None:
            raise ExplainError("no profiles are accepted yet; ask again later")
        name = query.get("service", "")
        service = accepted.profiles.service(name)
        if service is None:
            names = ", ".join(s.name for s in accepted.profiles.services)
            raise ExplainError(f"service {name!r} does not exist; name one of: {names}")
        servers = self.flow.candidate_servers(service)
        workspace = WorkspaceName(query.get("workspace", ""))
        prefix = prefix_of(workspace, query.get("body", "").encode())
        choice = choose_server(Pool.of(servers), prefix, (), clock.now(), Random())
        if isinstance(choice, NotRun):
            chosen: dict[str, Any] = {"choice": None, "reason": choice.reason}
        else:
            chosen = {
                "choice": choice.server.vm.vm_id,
                "reason": choice.reason,
                "candidates": choice.candidates,
            }
        group = accepted.profiles.group_of(service)
        server_states = {
            server.vm.vm_id: self.server_state(server) for server in servers
        }
        return {"service": name, "group": group, **chosen, "servers": server_states}

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
