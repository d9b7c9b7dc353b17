"""Starting of a run on a chosen server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Fingerprint, Incarnation, RunId
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.routing.section import UNKNOWN_INCARNATION
from primroselever_core.runs.cursor import AnswerCursor
from primroselever_core.runs.starting import ending_of_start_reply
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.handler import new_heartbeat
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.suspicions import merge_suspicions, suspicion_as_list

from .active_run import ActiveRun
from .reasons import log_unknown_reason
from .resolving import (
    CALL_ATTEMPTS,
    SERVER_RETRY_S,
    StartResolver,
    call_timeout_s,
    log_failed_call,
    mark_unreachable,
    rpc_address,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.board import Blackboard
    from primroselever_core.routing.section import Server
    from primroselever_core.tickets.operation_ticket import OperationTicket
    from primroselever_node.rpc.client_pool import ClientPool

    from .caller_request import CallerRequest
    from .feed import AnswerFeeds

EPOCH_REFRESH_S = 120.0


class RunStarter:
    """Starts runs on agents and records the state that their replies report."""

    def __init__(
        self,
        board: Blackboard,
        agents: ClientPool,
        feeds: AnswerFeeds,
        progress_s: float,
    ) -> None:
        self.board = board
        self.feeds = feeds
        self.agents = agents
        self.progress_s = progress_s
        self.resolver = StartResolver(agents, progress_s)

    def start_run(
        self, request: CallerRequest, run_id: RunId, server: Server
    ) -> ActiveRun | NotRun | Unknown:
        """Start an idempotent run on a server; return the run or its ending."""
        try:
            self.refresh_epoch(server, request.deadline)
        except (NeverSentError, LostReplyError) as exc:
            log_failed_call("heartbeat", run_id, server, exc)
            if clock.now() >= request.deadline:
                return NotRun(Reason.DEADLINE_PASSED)
            return mark_unreachable(server)
        incarnation, epoch = server.incarnation, server.epoch
        start_request = new_start_request(request, run_id, incarnation, epoch)
        cursor = AnswerCursor(run_id, incarnation)
        run = ActiveRun(cursor, server, request.deadline)
        return self.start_with_feed(
            run, lambda: self.send_or_resolve(run, start_request)
        )

    def send_or_resolve(
        self, run: ActiveRun, start_request: Any
    ) -> NotRun | Unknown | None:
        """Send a start; if its reply is lost, ask the agent what became of it."""
        try:
            return self.send_start(run, start_request)
        except NeverSentError as exc:
            log_failed_call("start", run.cursor.run_id, run.server, exc)
            return mark_unreachable(run.server)
        except LostReplyError as exc:
            log_failed_call("start", run.cursor.run_id, run.server, exc)
            self.agents.close_idle_connections(rpc_address(run.server))
            return self.resolver.resolve_start(run, start_request.epoch)

    def start_ticket_run(
        self, request: CallerRequest, ticket: OperationTicket, server: Server
    ) -> ActiveRun | NotRun | Unknown:
        """
        Start the run of a ticket on the server that issued it.

        A start whose reply is lost is sent again, because a ticket never runs twice.
        Only the agent can know that a ticket did not run: it may have been used
        before through another entry.
        """
        start_request = new_start_request(
            request, ticket.run_id, ticket.incarnation, ticket.epoch, request.ticket
        )
        cursor = AnswerCursor(ticket.run_id, ticket.incarnation)
        run = ActiveRun(cursor, server, request.deadline, idempotent=False)
        return self.start_with_feed(
            run, lambda: self.send_repeatedly(run, start_request)
        )

    def send_repeatedly(
        self, run: ActiveRun, start_request: Any
    ) -> NotRun | Unknown | None:
        """Send the start of a ticket until it gets a reply, with limited attempts."""
        for _ in range(CALL_ATTEMPTS):
            if clock.now() >= run.deadline:
                return Unknown(Reason.DEADLINE_PASSED)
            start_request.remaining_ms = clock.remaining_ms(run.deadline)
            try:
                return self.send_start(run, start_request)
            except (NeverSentError, LostReplyError) as exc:
                log_failed_call("start", run.cursor.run_id, run.server, exc)
                self.agents.close_idle_connections(rpc_address(run.server))
        return Unknown(Reason.SERVER_LOST, SERVER_RETRY_S)

    def start_with_feed(
        self, run: ActiveRun, send: Callable[[], NotRun | Unknown | None]
    ) -> ActiveRun | NotRun | Unknown:
        """
        Start a run by calling ``send``; return the run or its ending.

        The run joins its agent's feed first, so that no part of its answer is missed.
        """
        feed = self.feeds.get_feed(run.server)
        feed.add_run(run)
        ending: NotRun | Unknown | None = Unknown(Reason.INTERNAL)
        try:
            ending = send()
        finally:
            if ending is not None:
                feed.remove_run(run)
        if ending is not None:
            return ending
        feed.mark_accepted(run)
        return run

    def send_start(self, run: ActiveRun, start_request: Any) -> NotRun | Unknown | None:
        """
        Send a start; return its ending, or None if the agent accepted it.

        Raise the client pool's errors.
        """
        server = run.server
        start_request.reader = run.reader_name
        suspicions = suspicion_as_list(
            self.board.suspects, Fingerprint(start_request.fingerprint)
        )
        start_request.suspicions = suspicions
        reply = self.agents.call(
            rpc_address(server),
            "start",
            start_request,
            timeout_s=call_timeout_s(self.progress_s, run.deadline),
        )
        server.apply_report(reply.load.in_flight, reply.leaving, clock.now())
        merge_suspicions(self.board.suspects, reply.suspicions)
        self.store_epoch(server, reply.incarnation, reply.epoch)
        retry_after_s = (reply.retry_after_ms or 0) / 1000 or None
        log_unknown_reason(reply.reason, "the reply to a start")
        return ending_of_start_reply(reply.state, reply.reason, retry_after_s)

    def refresh_epoch(self, server: Server, deadline: float) -> None:
        """
        Ask a server for its incarnation and epoch, unless they are recent.

        Raise the client pool's errors.
        """
        is_known = server.incarnation != UNKNOWN_INCARNATION
        if is_known and clock.now() < server.epoch_until:
            return
        heartbeat = self.agents.call(
            rpc_address(server),
            "heartbeat",
            new_heartbeat(self.board),
            timeout_s=call_timeout_s(self.progress_s, deadline),
        )
        server.apply_report(heartbeat.load.in_flight, heartbeat.leaving, clock.now())
        merge_suspicions(self.board.suspects, heartbeat.suspicions)
        self.store_epoch(server, heartbeat.incarnation, heartbeat.epoch)

    def store_epoch(self, server: Server, incarnation: int, epoch: int | None) -> None:
        """Store the incarnation and epoch that later starts have to name."""
        server.incarnation = Incarnation(incarnation)
        server.epoch = epoch or 0
        server.epoch_until = clock.now() + EPOCH_REFRESH_S


def new_start_request(
    request: CallerRequest,
    run_id: RunId,
    incarnation: Incarnation,
    epoch: int,
    ticket: str = "",
) -> Any:
    """Return the thrift struct of a start; a start with a ticket runs at most once."""
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
