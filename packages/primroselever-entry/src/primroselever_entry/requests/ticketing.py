"""
Calls that must run at most once: a ticket first, then the call with it.

A ticket is issued by the agent that will run it, and only that incarnation ever
can. The entry reads it unverified, to know where it belongs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.identifiers import VmId
from primroselever_core.membership.vm import Role
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.rendezvous import ranked
from primroselever_core.tickets.signing import read_unverified
from primroselever_node import clock
from primroselever_node.logs import log_decision
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.schema import schema

from .resolving import AVOID_S, address_of, call_timeout_s

if TYPE_CHECKING:
    from random import Random

    from primroselever_core.board import Blackboard
    from primroselever_core.routing.section import Server
    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun
    from .caller_request import CallerRequest
    from .starting import Starter

MAX_ISSUERS = 3
UNLISTED_RETRY_S = 2.0


class TicketRouter:
    """Gets tickets for callers and brings calls to the issuers of theirs."""

    def __init__(
        self, board: Blackboard, agents: ClientPool, starter: Starter, random: Random
    ) -> None:
        self.board = board
        self.agents = agents
        self.starter = starter
        self.random = random

    def issue(self, request: CallerRequest, servers: list[Server]) -> NotRun:
        """
        Return the refusal that carries a ticket, or a refusal without one.

        A key has one home, the first of its rank that is not leaving. When that
        cannot be reached nobody else issues for the key, since the home may have
        issued already.
        """
        refusal = NotRun(Reason.NO_SERVER, UNLISTED_RETRY_S)
        for server in self.issuers(request, servers)[:MAX_ISSUERS]:
            if clock.now() >= request.deadline:
                return NotRun(Reason.DEADLINE_PASSED)
            refusal = self.ask(request, server)
            keyed = bool(request.idempotency_key)
            if refusal.ticket or (keyed and refusal.reason is not Reason.LEAVING):
                break
        return refusal

    def issuers(self, request: CallerRequest, servers: list[Server]) -> list[Server]:
        """Return the servers to ask for a ticket, in order."""
        if not request.idempotency_key:
            return self.random.sample(servers, len(servers))
        by_vm = {server.vm.vm_id: server for server in servers}
        key = "\x00".join((request.service, request.workspace, request.idempotency_key))
        return [by_vm[vm_id] for vm_id in ranked(key, by_vm)]

    def ask(self, request: CallerRequest, server: Server) -> NotRun:
        """Ask one server for a ticket."""
        wanted = schema.TicketRequest(
            service_name=request.service,
            workspace=request.workspace,
            fingerprint=request.fingerprint,
            idempotency_key=request.idempotency_key,
        )
        try:
            reply = self.agents.call(
                address_of(server),
                "issue_ticket",
                wanted,
                timeout_s=call_timeout_s(self.starter.progress_s, request.deadline),
            )
        except (NeverSentError, LostReplyError):
            self.agents.forget(address_of(server))
            return NotRun(Reason.SERVER_LOST, AVOID_S)
        if not reply.ticket:
            return NotRun(
                Reason(reply.reason), (reply.retry_after_ms or 0) / 1000 or None
            )
        log_decision(
            "ticket",
            request.fingerprint,
            server.vm.vm_id,
            "home of the key" if request.idempotency_key else "any server",
            workspace=request.workspace,
        )
        return NotRun(Reason.TICKET_REQUIRED, ticket=reply.ticket)

    def start(self, request: CallerRequest) -> ActiveRun | NotRun | Unknown:
        """Start the run of a request's ticket, on its own server only."""
        ticket = read_unverified(request.ticket)
        if ticket is None:
            return NotRun(Reason.TICKET_INVALID)
        vm = self.board.members.vms.get(VmId(ticket.vm_id))
        if vm is None or vm.role is not Role.AGENT:
            return Unknown(Reason.TICKET_GONE, UNLISTED_RETRY_S)
        log_decision(
            "route",
            ticket.run_id,
            vm.vm_id,
            "the ticket's issuer",
            workspace=request.workspace,
        )
        server = self.board.servers.of(vm)
        return self.starter.start_ticket(request, ticket, server)
