"""One request from its choice of server to its ending."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from primroselever_core.identifiers import GroupName, RunId, VmId
from primroselever_core.outcomes import Done, Ending, NotRun, Reason, Unknown
from primroselever_core.routing.choose import choose_server
from primroselever_node import clock
from primroselever_node.logs import log_decision

from .active_run import ActiveRun
from .feed import Feeds
from .reading import AnswerReader
from .starting import Starter
from .ticketing import TicketRouter

if TYPE_CHECKING:
    from collections.abc import Callable, Generator, Iterator
    from random import Random

    from primroselever_core.board import Blackboard
    from primroselever_core.profiles.model import Service
    from primroselever_core.routing.section import Server
    from primroselever_node.rpc.client_pool import ClientPool

    from .caller_request import CallerRequest

MAX_ATTEMPTS = 3

# The ends after which an idempotent request may run again elsewhere, once. A
# failure of the engine is none of them: the request itself may be its cause.
RETRIED = (Reason.SERVER_LOST, Reason.START_EXPIRED, Reason.WEIGHTS_CHANGED)


class RequestFlow:
    """Carries requests; one object serves all requests of the process."""

    def __init__(
        self,
        board: Blackboard,
        agents: ClientPool,
        random: Random,
        progress_s: float,
        may_retry: Callable[[], bool] = lambda: True,
    ) -> None:
        self.board = board
        self.random = random
        self.may_retry = may_retry
        feeds = Feeds(agents, board.identity.incarnation, progress_s)
        self.starter = Starter(board, agents, feeds, progress_s)
        self.reader = AnswerReader(agents, feeds, progress_s)
        self.tickets = TicketRouter(board, agents, self.starter, random)
        self.in_flight = 0

    def answer(
        self, request: CallerRequest, service: Service
    ) -> Iterator[bytes | Ending]:
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
        for attempt in range(MAX_ATTEMPTS):
            if clock.now() >= request.deadline or (attempt and not self.may_retry()):
                break
            started = self.start_somewhere(request, service, passed_over)
            ending = yield from self.carry(request, started)
            passed_on = isinstance(started, ActiveRun) and started.passed_on
            if passed_on or isinstance(ending, Done):
                return ending
            if isinstance(ending, Unknown):
                if lost is not None or ending.reason not in RETRIED:
                    return ending
                lost = ending
            elif ending.reason is Reason.NO_SERVER:
                break
        return lost or ending

    def carry(
        self, request: CallerRequest, started: ActiveRun | NotRun | Unknown
    ) -> Generator[bytes, None, Ending]:
        """Yield the answer of a run that was accepted; return how it ended."""
        if not isinstance(started, ActiveRun):
            return started
        started.server.in_flight += 1
        try:
            return (yield from self.reader.read_out(request, started))
        finally:
            started.server.in_flight -= 1

    def start_somewhere(
        self, request: CallerRequest, service: Service, passed_over: set[VmId]
    ) -> ActiveRun | NotRun | Unknown:
        """Choose a server and start the run there."""
        candidates = self.candidates(service)
        choice = choose_server(candidates, passed_over, clock.now(), self.random)
        if isinstance(choice, NotRun):
            return choice
        run_id = RunId(uuid.uuid4().hex)
        server = choice.server
        passed_over.add(server.vm.vm_id)
        log_decision(
            "route",
            run_id,
            server.vm.vm_id,
            choice.reason,
            candidates=choice.candidates,
            workspace=request.workspace,
        )
        return self.starter.start(request, run_id, server)

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
