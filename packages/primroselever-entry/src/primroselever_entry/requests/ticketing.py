"""
Non-idempotent requests: the caller first gets a ticket, then sends the request with it.

A ticket is issued by the agent that will run the request, and only that incarnation
of the agent can run it. The entry reads the ticket without verifying its signature,
only to find the issuer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.identifiers import GroupName, VmId
from primroselever_core.membership.vm import Role
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.rendezvous import ranked
from primroselever_core.tickets.signing import read_unverified
from primroselever_node import clock
from primroselever_node.logs import log_decision
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.schema import schema

from .reasons import log_unknown_reason
from .resolving import (
    SERVER_RETRY_S,
    call_timeout_s,
    log_failed_call,
    rpc_address,
)

if TYPE_CHECKING:
    from random import Random

    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import WorkspaceName
    from primroselever_core.profiles.model import Service
    from primroselever_core.routing.section import Server
    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun
    from .caller_request import CallerRequest
    from .starting import RunStarter

MAX_ISSUERS = 3
NO_ISSUER_RETRY_S = 2.0


class TicketRouter:
    """Obtains tickets for callers and routes requests to the issuer of their ticket."""

    def __init__(
        self, board: Blackboard, agents: ClientPool, starter: RunStarter, random: Random
    ) -> None:
        self.board = board
        self.agents = agents
        self.starter = starter
        self.random = random

    def obtain_ticket(self, request: CallerRequest, servers: list[Server]) -> NotRun:
        """
        Return the refusal that carries a ticket, or a refusal without one.

        Tickets for an idempotency key are issued by one server only: the first one
        in the key's rank order that is not leaving. If that server cannot be reached,
        no other server is asked, because it may already have issued a ticket for the
        key.
        """
        refusal = NotRun(Reason.NO_SERVER, NO_ISSUER_RETRY_S)
        ranked_servers = rank_issuers(
            request.service,
            request.workspace,
            request.idempotency_key,
            servers,
            self.random,
        )
        for server in ranked_servers[:MAX_ISSUERS]:
            if clock.now() >= request.deadline:
                return NotRun(Reason.DEADLINE_PASSED)
            refusal = self.request_ticket(request, server)
            has_key = bool(request.idempotency_key)
            if refusal.ticket or (has_key and refusal.reason is not Reason.LEAVING):
                break
        return refusal

    def request_ticket(self, request: CallerRequest, server: Server) -> NotRun:
        """Ask one server for a ticket; return a refusal with it, or with the reason."""
        ticket_request = schema.TicketRequest(
            service_name=request.service,
            workspace=request.workspace,
            fingerprint=request.fingerprint,
            idempotency_key=request.idempotency_key,
        )
        try:
            reply = self.agents.call(
                rpc_address(server),
                "issue_ticket",
                ticket_request,
                timeout_s=call_timeout_s(self.starter.progress_s, request.deadline),
            )
        except (NeverSentError, LostReplyError) as exc:
            log_failed_call("issue_ticket", request.fingerprint, server, exc)
            self.agents.close_idle_connections(rpc_address(server))
            return NotRun(Reason.SERVER_LOST, SERVER_RETRY_S)
        if not reply.ticket:
            log_unknown_reason(reply.reason, "the reply to a request for a ticket")
            return NotRun(
                Reason(reply.reason), (reply.retry_after_ms or 0) / 1000 or None
            )
        log_decision(
            "ticket",
            request.fingerprint,
            server.vm.vm_id,
            describe_issuer_choice(request.idempotency_key),
            workspace=request.workspace,
        )
        return NotRun(Reason.TICKET_REQUIRED, ticket=reply.ticket)

    def start_run(self, request: CallerRequest) -> ActiveRun | NotRun | Unknown:
        """Start the run of a request's ticket, only on the server that issued it."""
        ticket = read_unverified(request.ticket)
        if ticket is None:
            return NotRun(Reason.TICKET_INVALID)
        vm = self.board.members.vms.get(VmId(ticket.vm_id))
        if vm is None or vm.role is not Role.AGENT:
            return Unknown(Reason.TICKET_GONE, NO_ISSUER_RETRY_S)
        log_decision(
            "route",
            ticket.run_id,
            vm.vm_id,
            "issuer of the ticket",
            workspace=request.workspace,
        )
        server = self.board.servers.get_server(vm)
        return self.starter.start_ticket_run(request, ticket, server)


def find_issuers(board: Blackboard, service: Service) -> list[Server]:
    """
    Return the servers of a service in this failure domain.

    If none of them is usable, return the servers of all failure domains, or an empty
    list if none of those is usable either.
    """
    accepted = board.profiles.accepted
    group = accepted.profiles.group_of(service) if accepted else None
    if group is None:
        return []
    now = clock.now()
    for domain in (board.identity.failure_domain, None):
        vms = board.members.agents(GroupName(group), domain)
        servers = [board.servers.get_server(vm) for vm in vms]
        if any(server.usable(now) for server in servers):
            return servers
    return []


def rank_issuers(
    service_name: str,
    workspace: WorkspaceName,
    idempotency_key: str,
    servers: list[Server],
    random: Random,
) -> list[Server]:
    """Return the servers in the order in which to ask them for a ticket."""
    if not idempotency_key:
        return random.sample(servers, len(servers))
    server_by_vm_id = {server.vm.vm_id: server for server in servers}
    key = "\x00".join((service_name, workspace, idempotency_key))
    return [server_by_vm_id[vm_id] for vm_id in ranked(key, server_by_vm_id)]


def describe_issuer_choice(idempotency_key: str) -> str:
    """Return the reason why a server is asked for a ticket."""
    return "issuer for the key" if idempotency_key else "random server"
