"""Processing of one request, from the choice of a server to the ending."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from primroselever_core.identifiers import RunId, VmId
from primroselever_core.outcomes import Done, Ending, NotRun, Reason, Unknown
from primroselever_node import clock

from .active_run import ActiveRun
from .feed import AnswerFeeds
from .reading import AnswerForwarder
from .starting import RunStarter
from .ticketing import TicketRouter, find_issuers

if TYPE_CHECKING:
    from collections.abc import Generator
    from random import Random

    from primroselever_core.board import Blackboard
    from primroselever_core.profiles.model import Service
    from primroselever_node.rpc.client_pool import ClientPool

    from ..routing.request_router import RequestRouter
    from .caller_request import CallerRequest

MAX_ATTEMPTS = 3

# Reasons after which an idempotent request may run once more, on another server. A
# failure of the engine is not among them: the request itself may have caused it.
RETRYABLE_REASONS = (Reason.SERVER_LOST, Reason.START_EXPIRED, Reason.WEIGHTS_CHANGED)

# Refusals after which no other server is tried: other servers would refuse too, or
# the retry budget is left to other workspaces.
FINAL_REASONS = (Reason.FAIR_SHARE, Reason.QUARANTINED, Reason.DEADLINE_PASSED)


class RequestFlow:
    """Processes requests; one instance handles all requests of the process."""

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
        feeds = AnswerFeeds(agents, board, progress_s)
        self.starter = RunStarter(board, agents, feeds, progress_s)
        self.forwarder = AnswerForwarder(agents, feeds, progress_s)
        self.ticket_router = TicketRouter(board, agents, self.starter, random)
        self.in_flight = 0

    def answer_request(
        self, request: CallerRequest, service: Service
    ) -> Generator[bytes | Ending, None, None]:
        """Yield the answer's bytes and, as the last item, the ending."""
        self.in_flight += 1
        try:
            if service.idempotent:
                yield (yield from self.try_servers(request, service))
            elif request.ticket:
                yield (
                    yield from self.forward_run(
                        request, self.ticket_router.start_run(request)
                    )
                )
            else:
                yield self.ticket_router.obtain_ticket(
                    request, find_issuers(self.board, service)
                )
        finally:
            self.in_flight -= 1

    def try_servers(
        self, request: CallerRequest, service: Service
    ) -> Generator[bytes, None, Ending]:
        """
        Try servers until one runs the request; yield the answer, return the ending.

        A lost run is repeated once on another server, and only if no part of its
        answer was forwarded.
        """
        tried_vm_ids: set[VmId] = set()
        lost_ending: Unknown | None = None
        ending: Ending = NotRun(Reason.DEADLINE_PASSED)
        routing_request = self.router.register_request(request, service)
        if isinstance(routing_request, NotRun):
            return routing_request
        for attempt in range(MAX_ATTEMPTS):
            if clock.now() >= request.deadline:
                break
            if attempt and not self.router.spend_retry():
                break
            run_id = RunId(uuid.uuid4().hex)
            choice = self.router.choose_server(routing_request, run_id, tried_vm_ids)
            if isinstance(choice, NotRun):
                return lost_ending or (ending if attempt else choice)
            tried_vm_ids.add(choice.server.vm.vm_id)
            attempt_ending: Ending | None = None
            try:
                started = self.starter.start_run(request, run_id, choice.server)
                attempt_ending = ending = yield from self.forward_run(request, started)
            finally:
                self.router.record_ending(
                    routing_request, choice.server, attempt_ending
                )
            data_forwarded = isinstance(started, ActiveRun) and started.data_forwarded
            if data_forwarded or isinstance(ending, Done):
                return ending
            if isinstance(ending, Unknown):
                if lost_ending is not None or ending.reason not in RETRYABLE_REASONS:
                    return ending
                lost_ending = ending
            elif ending.reason in FINAL_REASONS:
                break
        return lost_ending or ending

    def forward_run(
        self, request: CallerRequest, started: ActiveRun | NotRun | Unknown
    ) -> Generator[bytes, None, Ending]:
        """Yield the answer of an accepted run; return the ending."""
        if not isinstance(started, ActiveRun):
            return started
        return (yield from self.forwarder.forward_answer(request, started))
