"""Starting a run on a chosen server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Incarnation, RunId
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.routing.section import UNKNOWN_INCARNATION
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.schema import schema

from .active_run import ActiveRun
from .resolving import Resolver, pass_over

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.profiles.model import Service
    from primroselever_core.routing.section import Server
    from primroselever_node.rpc.client_pool import ClientPool

    from .caller_request import CallerRequest


class Starter:
    """Starts runs on agents and takes in what they say of themselves."""

    def __init__(
        self, board: Blackboard, agents: ClientPool, progress_s: float
    ) -> None:
        self.board = board
        self.agents = agents
        self.progress_s = progress_s
        self.resolver = Resolver(agents, progress_s)

    def start(
        self, request: CallerRequest, service: Service, run_id: RunId, server: Server
    ) -> ActiveRun | NotRun | Unknown:
        """Start a run on a server."""
        address = (server.vm.address, server.vm.rpc_port)
        try:
            self.learn_incarnation(server)
        except (NeverSentError, LostReplyError):
            return pass_over(server)
        start = self.start_request(request, service, run_id, server)
        try:
            reply = self.agents.call(address, "start", start, timeout_s=self.progress_s)
        except NeverSentError:
            return pass_over(server)
        except LostReplyError:
            self.agents.forget(address)
            return self.resolver.resolve(run_id, server)
        server.reported = reply.load.in_flight
        server.leaving = reply.leaving
        if reply.state == "accepted":
            return ActiveRun(RunId(reply.run_id), server, server.incarnation)
        if reply.incarnation != server.incarnation:
            server.incarnation = Incarnation(reply.incarnation)
        return NotRun(Reason(reply.reason), reply.retry_after_ms / 1000)

    def start_request(
        self, request: CallerRequest, service: Service, run_id: RunId, server: Server
    ) -> Any:
        """Return the start as it goes over the wire."""
        return schema.StartRequest(
            run_id=run_id,
            incarnation=server.incarnation,
            service_name=request.service,
            workspace=request.workspace,
            fingerprint=request.fingerprint,
            body=request.body,
            remaining_ms=clock.remaining_ms(request.deadline),
            priority=request.priority,
            idempotent=service.idempotent,
            ticket=request.ticket,
            weights_digest="",
        )

    def learn_incarnation(self, server: Server) -> None:
        """Ask a server who it is, before the first start there."""
        if server.incarnation == UNKNOWN_INCARNATION:
            address = (server.vm.address, server.vm.rpc_port)
            said = self.agents.call(
                address, "heartbeat", self.heartbeat(), timeout_s=self.progress_s
            )
            server.incarnation = Incarnation(said.incarnation)
            server.leaving = said.leaving

    def heartbeat(self) -> Any:
        """Return what this process says of itself."""
        revision = self.board.profiles.revision
        return schema.Heartbeat(
            vm_id=self.board.identity.vm_id,
            incarnation=self.board.identity.incarnation,
            revision=revision.number,
            revision_digest=revision.digest,
            vm_list_revision=0,
            leaving=self.board.leaving,
            load=schema.Load(
                in_flight=0, queued=0, limit=0, engine_load=0.0, engine_age_ms=0
            ),
            weights_digest="",
            suspicions=[],
        )
