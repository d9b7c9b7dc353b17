"""One request from its choice of server to its ending."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from primroselever_core.identifiers import GroupName, RunId, VmId
from primroselever_core.outcomes import Done, Ending, NotRun, Reason, Unknown
from primroselever_node import clock

from .active_run import ActiveRun
from .feed import Feeds
from .reading import AnswerReader
from .starting import Starter
from .ticketing import TicketRouter

if TYPE_CHECKING:
    from collections.abc import Generator
    from random import Random

    from primroselever_core.board import Blackboard
    from primroselever_core.profiles.model import Service
    from primroselever_core.routing.section import Server
    from primroselever_node.rpc.client_pool import ClientPool

    from ..routing.request_router import RequestRouter
    from .caller_request import CallerRequest

MAX_ATTEMPTS = 3

# The ends after which an idempotent request may run again elsewhere, once. A
# failure of the engine is none of them: the request itself may be its cause.
RETRIED = (Reason.SERVER_LOST, Reason.START_EXPIRED, Reason.WEIGHTS_CHANGED)

# Refusals that hold elsewhere too, or that must leave the retries to others.
FINAL = (Reason.FAIR_SHARE, Reason.QUARANTINED, Reason.DEADLINE_PASSED)


class RequestFlow:
    """Carries requests; one object serves all requests of the process."""

    def __init__(
        self,
        board: Blackboard,
        agents: ClientPool,
        random: Random,
        progress_s: float,
        router: RequestRouter,
    ) -> None:
        self.board = board
        self.router = router
        feeds = Feeds(agents, board, progress_s)
        self.starter = Starter(board, agents, feeds, progress_s)
        self.reader = AnswerReader(agents, feeds, progress_s)
        self.tickets = TicketRouter(board, agents, self.starter, random)
        self.in_flight = 0

    def answer(
        self, request: CallerRequest, service: Service
    ) -> Generator[bytes | Ending, None, None]:
        """Yield the answer's bytes and, last of all, the ending."""
        self.in_flight += 1
        try:
            if service.idempotent:
                yield (yield from self.attempts(request, service))
            elif request.ticket:
                yield (yield from self.carry(request, self.tickets.start(request)))
            else:
                yield self.tickets.issue(request, self.candidates(service))
        finally:
            self.in_flight -= 1

    def attempts(
        self, request: CallerRequest, service: Service
    ) -> Generator[bytes, None, Ending]:
        """
        Try servers until one runs the request; return how it ended.

        A run that was lost is tried elsewhere once, and only while nothing of
        its answer was passed on.
        """
        passed_over: set[VmId] = set()
        lost: Unknown | None = None
        ending: Ending = NotRun(Reason.DEADLINE_PASSED)
        wanted = self.router.wanted(request, service)
        if isinstance(wanted, NotRun):
            return wanted
        for attempt in range(MAX_ATTEMPTS):
            if clock.now() >= request.deadline:
                break
            if attempt and not self.router.may_retry():
                break
            run_id = RunId(uuid.uuid4().hex)
            choice = self.router.choose(wanted, run_id, passed_over)
            if isinstance(choice, NotRun):
                return lost or (ending if attempt else choice)
            passed_over.add(choice.server.vm.vm_id)
            ended: Ending | None = None
            try:
                started = self.starter.start(request, run_id, choice.server)
                ended = ending = yield from self.carry(request, started)
            finally:
                self.router.ended(wanted, choice.server, ended)
            passed_on = isinstance(started, ActiveRun) and started.passed_on
            if passed_on or isinstance(ending, Done):
                return ending
            if isinstance(ending, Unknown):
                if lost is not None or ending.reason not in RETRIED:
                    return ending
                lost = ending
            elif ending.reason in FINAL:
                break
        return lost or ending

    def carry(
        self, request: CallerRequest, started: ActiveRun | NotRun | Unknown
    ) -> Generator[bytes, None, Ending]:
        """Yield the answer of a run that was accepted; return how it ended."""
        if not isinstance(started, ActiveRun):
            return started
        return (yield from self.reader.read_out(request, started))

    def candidates(self, service: Service) -> list[Server]:
        """Return the servers of a service, those of this failure domain first."""
        accepted = self.board.profiles.accepted
        group = accepted.profiles.group_of(service) if accepted else None
        if group is None:
            return []
        now = clock.now()
        members = self.board.members
        for domain in (self.board.identity.failure_domain, None):
            vms = members.agents(GroupName(group), domain)
            servers = [self.board.servers.of(vm) for vm in vms]
            if any(server.usable(now) for server in servers):
                return servers
        return []
