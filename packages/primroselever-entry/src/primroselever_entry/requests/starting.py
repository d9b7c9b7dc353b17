"""Starting a run on a chosen server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Fingerprint, Incarnation, RunId
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.routing.section import UNKNOWN_INCARNATION
from primroselever_core.runs.cursor import AnswerCursor
from primroselever_core.runs.starting import said_of_start
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.handler import greeting
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.suspicions import learn, to_wire_of

from .active_run import ActiveRun
from .resolving import (
    AVOID_S,
    RESOLVE_TRIES,
    Resolver,
    address_of,
    call_timeout_s,
    pass_over,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.board import Blackboard
    from primroselever_core.routing.section import Server
    from primroselever_core.tickets.operation_ticket import OperationTicket
    from primroselever_node.rpc.client_pool import ClientPool

    from .caller_request import CallerRequest
    from .feed import Feeds

EPOCH_REFRESH_S = 120.0


class Starter:
    """Starts runs on agents and takes in what they say of themselves."""

    def __init__(
        self, board: Blackboard, agents: ClientPool, feeds: Feeds, progress_s: float
    ) -> None:
        self.board = board
        self.feeds = feeds
        self.agents = agents
        self.progress_s = progress_s
        self.resolver = Resolver(agents, progress_s)

    def start(
        self, request: CallerRequest, run_id: RunId, server: Server
    ) -> ActiveRun | NotRun | Unknown:
        """Start an idempotent run on a server."""
        try:
            self.learn_epoch(server, request.deadline)
        except (NeverSentError, LostReplyError):
            if clock.now() >= request.deadline:
                return NotRun(Reason.DEADLINE_PASSED)
            return pass_over(server)
        incarnation, epoch = server.incarnation, server.epoch
        start = start_request(request, run_id, incarnation, epoch)
        cursor = AnswerCursor(run_id, incarnation)
        run = ActiveRun(cursor, server, request.deadline)
        return self.followed(run, lambda: self.try_once(run, start))

    def try_once(self, run: ActiveRun, start: Any) -> NotRun | Unknown | None:
        """Send a start; resolve it if its reply is lost."""
        try:
            return self.send(run, start)
        except NeverSentError:
            return pass_over(run.server)
        except LostReplyError:
            self.agents.forget(address_of(run.server))
            return self.resolver.resolve(run, start.epoch)

    def start_ticket(
        self, request: CallerRequest, ticket: OperationTicket, server: Server
    ) -> ActiveRun | NotRun | Unknown:
        """
        Start the run of a ticket on the server that issued it.

        A start whose reply is lost is sent again, since one ticket never runs
        twice. Only the agent may say that a ticket did not run: it may have been
        used before, through another entry.
        """
        start = start_request(
            request, ticket.run_id, ticket.incarnation, ticket.epoch, request.ticket
        )
        cursor = AnswerCursor(ticket.run_id, ticket.incarnation)
        run = ActiveRun(cursor, server, request.deadline, idempotent=False)
        return self.followed(run, lambda: self.try_again(run, start))

    def try_again(self, run: ActiveRun, start: Any) -> NotRun | Unknown | None:
        """Send the start of a ticket until it is answered, a few times."""
        for _ in range(RESOLVE_TRIES):
            if clock.now() >= run.deadline:
                return Unknown(Reason.DEADLINE_PASSED)
            start.remaining_ms = clock.remaining_ms(run.deadline)
            try:
                return self.send(run, start)
            except (NeverSentError, LostReplyError):
                self.agents.forget(address_of(run.server))
        return Unknown(Reason.SERVER_LOST, AVOID_S)

    def followed(
        self, run: ActiveRun, start: Callable[[], NotRun | Unknown | None]
    ) -> ActiveRun | NotRun | Unknown:
        """Start a run whose answer is taken in from the first byte on."""
        feed = self.feeds.of(run.server)
        feed.expect(run)
        ending: NotRun | Unknown | None = Unknown(Reason.INTERNAL)
        try:
            ending = start()
        finally:
            if ending is not None:
                feed.drop(run)
        if ending is not None:
            return ending
        feed.confirm(run)
        return run

    def send(self, run: ActiveRun, start: Any) -> NotRun | Unknown | None:
        """Send a start; return None if the agent accepted it."""
        server = run.server
        start.reader = run.reader
        known = to_wire_of(self.board.suspects, Fingerprint(start.fingerprint))
        start.suspicions = known
        reply = self.agents.call(
            address_of(server),
            "start",
            start,
            timeout_s=call_timeout_s(self.progress_s, run.deadline),
        )
        server.take_report(reply.load.in_flight, reply.leaving, clock.now())
        learn(self.board.suspects, reply.suspicions)
        self.take_epoch(server, reply.incarnation, reply.epoch)
        retry_after_s = (reply.retry_after_ms or 0) / 1000 or None
        return said_of_start(reply.state, reply.reason, retry_after_s)

    def learn_epoch(self, server: Server, deadline: float) -> None:
        """Ask a server who it is, before the first start and now and then."""
        known = server.incarnation != UNKNOWN_INCARNATION
        if known and clock.now() < server.epoch_until:
            return
        said = self.agents.call(
            address_of(server),
            "heartbeat",
            greeting(self.board),
            timeout_s=call_timeout_s(self.progress_s, deadline),
        )
        server.take_report(said.load.in_flight, said.leaving, clock.now())
        learn(self.board.suspects, said.suspicions)
        self.take_epoch(server, said.incarnation, said.epoch)

    def take_epoch(self, server: Server, incarnation: int, epoch: int | None) -> None:
        """Keep what later starts have to name."""
        server.incarnation = Incarnation(incarnation)
        server.epoch = epoch or 0
        server.epoch_until = clock.now() + EPOCH_REFRESH_S


def start_request(
    request: CallerRequest,
    run_id: RunId,
    incarnation: Incarnation,
    epoch: int,
    ticket: str = "",
) -> Any:
    """Return a start as it goes over the wire; one with a ticket runs once."""
    return schema.StartRequest(
        run_id=run_id,
        incarnation=incarnation,
        service_name=request.service,
        workspace=request.workspace,
        fingerprint=request.fingerprint,
        body=request.body,
        remaining_ms=clock.remaining_ms(request.deadline),
        priority=request.priority,
        idempotent=not ticket,
        ticket=ticket,
        weights_digest="",
        epoch=epoch,
    )
