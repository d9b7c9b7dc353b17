"""The ``serve`` command, which runs an agent until a shutdown signal."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eventlet
from opentelemetry.metrics import get_meter

from primroselever_core.admission.admission import Admission
from primroselever_core.admission.limit import ConcurrencyLimit
from primroselever_core.board import Blackboard
from primroselever_core.identifiers import GroupName
from primroselever_core.runs.registry import RunRegistry
from primroselever_core.tickets.signing import TicketSigner
from primroselever_core.tickets.ticket_book import TicketBook
from primroselever_core.transfer.chunk_store import ChunkStore
from primroselever_core.transfer.section import TransfersSection
from primroselever_node import clock
from primroselever_node.admin import AdminApplication
from primroselever_node.console.serve import BaseServeCommand
from primroselever_node.control.plane import ControlPlane
from primroselever_node.control.status import control_status
from primroselever_node.http import HttpServer
from primroselever_node.identity import create_identity
from primroselever_node.metrics import observe_board
from primroselever_node.process import (
    ShutdownSignal,
    drain,
    exit_code,
    run_controller,
)
from primroselever_node.rpc.client_pool import ClientPool
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer
from primroselever_node.settings.secrets import ticket_key
from primroselever_node.status import common_status

from ..admission.controller import AdmissionController
from ..admission.crash_watch import CrashWatch
from ..engine.engine_client import EngineClient
from ..engine.plain_client import PlainClient
from ..runs.answers import AnswerReaders
from ..runs.handler import AgentHandler
from ..runs.runner import Runner
from ..runs.ticket_issuer import TicketIssuer
from ..settings import AgentSettings
from ..transfer.explain import ChunkExplainer
from ..transfer.parts import TransferParts
from ..transfer.rollout import ROLLOUT_STEP_INTERVAL_S

if TYPE_CHECKING:
    from primroselever_node.settings.model import ProcessSettings

    from ..engine.backend import Backend

ENDED_RUN_RETENTION_S = 300.0
MAX_UNREAD_WAIT_S = 5.0
# Time to send the reply with the end of the last answer.
LAST_REPLY_DELAY_S = 0.2
ADMISSION_STEP_INTERVAL_S = 0.05
EXPIRY_INTERVAL_S = 1.0
TICKET_STEP_INTERVAL_S = 1.0
ENGINE_CHECK_INTERVAL_S = 1.0


class ServeCommand(BaseServeCommand):
    """Run an agent."""

    description = "Run the agent. SIGTERM stops it once its runs have ended."
    binary = "primroselever-agent"
    settings_model = AgentSettings

    def serve(self, settings: ProcessSettings) -> int:
        """Run until SIGTERM."""
        assert isinstance(settings, AgentSettings)
        return AgentProcess(settings).run()


class AgentProcess:
    """All components of a running agent, wired together."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.board = Blackboard(create_identity(settings))
        self.registry = RunRegistry(ENDED_RUN_RETENTION_S)
        self.section = TransfersSection(ChunkStore(settings.chunk_memory_bytes))
        self.board.runs = self.registry
        self.board.transfers = self.section
        self.engine = EngineClient(settings.backend.url)
        self.needs_weights = settings.backend.kind == "engine"
        self.answers = AnswerReaders(self.registry)
        self.runner = self.new_runner()
        self.control = ControlPlane(self.board, settings.platform)
        self.tickets = self.new_ticket_issuer()
        self.transfer = TransferParts(
            self.board, self.section, self.registry, self.engine, settings
        )
        self.admission = self.new_admission()
        self.handler = AgentHandler(
            self.board,
            self.registry,
            self.runner,
            self.tickets,
            self.transfer.serving,
            settings,
            self.control.handler,
            self.admission,
        )
        self.rpc = RpcServer(
            schema.Agent, self.handler, settings.rpc.host, settings.rpc.port
        )
        self.admin = self.new_admin_server()

    def new_runner(self) -> Runner:
        """Return a runner with a client of the engine or plain service."""
        backend: Backend = self.engine
        if not self.needs_weights:
            backend = PlainClient(self.settings.backend.url)
        return Runner(self.registry, backend, self.answers)

    def new_ticket_issuer(self) -> TicketIssuer:
        """Return the issuer of this incarnation's tickets."""
        identity = self.board.identity
        return TicketIssuer(
            TicketBook(identity.vm_id, identity.incarnation, self.registry.book),
            TicketSigner(ticket_key(self.settings.secrets)),
        )

    def new_admission(self) -> AdmissionController:
        """Return the admission controller, with the crash watch of the engine."""
        crash_watch = CrashWatch(
            self.board,
            self.engine,
            ClientPool(schema.Agent),
            self.control.handler.own_heartbeat,
            self.transfer.engine_switch.stop_serving if self.needs_weights else None,
        )
        admission = Admission(ConcurrencyLimit(self.settings.max_in_flight))
        return AdmissionController(self.board, self.runner, admission, crash_watch)

    def new_admin_server(self) -> HttpServer:
        """Return the server of the admin port."""
        group = GroupName(self.settings.group)
        explainer = ChunkExplainer(self.board, self.section, group)
        return HttpServer(
            AdminApplication(self.unready_reason, self.status, explainer.explain),
            self.settings.admin.host,
            self.settings.admin.port,
        )

    def run(self) -> int:
        """Serve until a shutdown signal, then drain runs; return the exit code."""
        stop = ShutdownSignal()
        observe_board(self.board, get_meter("primroselever.node"))
        self.rpc.start()
        self.admin.start()
        self.start_controllers()
        stop.wait()
        return exit_code(self.shut_down())

    def shut_down(self) -> bool:
        """
        Refuse new runs, and wait until runs in flight end and their answers are read.

        An answer that no reader fetches, as after a caller's deadline, delays the end
        by ``MAX_UNREAD_WAIT_S`` at most. Return whether all runs ended.
        """
        deadline = clock.now() + self.settings.shutdown_s
        self.board.leaving = True
        self.control.announce_leaving()
        drained = drain(self.registry.in_flight, deadline)
        drain(
            self.registry.count_unread, min(deadline, clock.now() + MAX_UNREAD_WAIT_S)
        )
        eventlet.sleep(LAST_REPLY_DELAY_S)
        return drained

    def start_controllers(self) -> None:
        """Start the controllers, each in its own greenlet."""
        self.control.start()
        run_controller(lambda: self.registry.expire(clock.now()), EXPIRY_INTERVAL_S)
        run_controller(lambda: self.answers.expire(clock.now()), EXPIRY_INTERVAL_S)
        run_controller(
            lambda: self.board.suspects.expire_records(clock.now()), EXPIRY_INTERVAL_S
        )
        run_controller(self.tickets.step, TICKET_STEP_INTERVAL_S)
        run_controller(self.admission.step, ADMISSION_STEP_INTERVAL_S)
        if self.needs_weights:
            run_controller(self.transfer.rollout.step, ROLLOUT_STEP_INTERVAL_S)
            run_controller(
                self.transfer.engine_switch.check_engine, ENGINE_CHECK_INTERVAL_S
            )

    def unready_reason(self) -> str | None:
        """Return why the agent accepts no new runs now, or None."""
        if self.board.leaving:
            return "leaving"
        if self.needs_weights and self.section.serving is None:
            return "no weights yet, or a switch is going on"
        return None

    def status(self) -> dict[str, Any]:
        """Return the state of this agent for the status page."""
        return {
            **common_status(self.board),
            **self.transfer.status(),
            "in_flight": self.registry.in_flight(),
            "control": control_status(self.board),
        }
