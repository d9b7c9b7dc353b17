"""What an entry would decide now for a request, without sending anything."""

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
    """Answers /explain of an entry; reads the blackboard and changes nothing."""

    def __init__(self, board: Blackboard, flow: RequestFlow) -> None:
        self.board = board
        self.flow = flow

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the server that would be chosen, and what is known of each."""
        accepted = self.board.profiles.accepted
        if accepted is None:
            raise ExplainError("no profiles are in force yet")
        name = query.get("service", "")
        service = accepted.profiles.service(name)
        if service is None:
            names = ", ".join(s.name for s in accepted.profiles.services)
            raise ExplainError(f"there is no service {name!r}; name one of: {names}")
        servers = self.flow.candidates(service)
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
        shown = {server.vm.vm_id: self.server(server) for server in servers}
        return {"service": name, "group": group, **chosen, "servers": shown}

    def server(self, server: Server) -> dict[str, Any]:
        """Return what is known of a server."""
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
