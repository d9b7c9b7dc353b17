"""The ``serve`` command: run an agent until it is told to stop."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.identifiers import GroupName
from primroselever_core.runs.registry import RunRegistry
from primroselever_core.transfer.chunk_store import ChunkStore
from primroselever_core.transfer.section import TransfersSection
from primroselever_node import clock
from primroselever_node.admin import AdminApplication
from primroselever_node.console.command import EXIT_OK, Command
from primroselever_node.control.plane import ControlPlane
from primroselever_node.control.status import control_status
from primroselever_node.http import HttpServer
from primroselever_node.logs import set_up_logging
from primroselever_node.metrics import set_up_metrics
from primroselever_node.platform.weight_source import WeightSource
from primroselever_node.process import (
    ShutdownSignal,
    drain,
    new_board,
    run_controller,
)
from primroselever_node.rpc.client_pool import ClientPool
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer
from primroselever_node.settings.load import load_settings

from ..engine.engine_client import EngineClient
from ..engine.plain_client import PlainClient
from ..runs.handler import AgentHandler
from ..runs.runner import Runner
from ..settings import AgentSettings
from ..transfer.rollout import RolloutController
from ..transfer.serving import ChunkServing

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

KEEP_RUN_S = 60.0
KEEP_TOMBSTONE_S = 600.0
READ_OUT_S = 1.0

logger = logging.getLogger(__name__)


class ServeCommand(Command):
    """Run an agent."""

    name = "serve"
    help = "run the agent until it is told to stop"
    description = "Run the agent. SIGTERM stops it once its runs have ended."

    def configure(self, parser: ArgumentParser) -> None:
        """Add the path of the settings."""
        parser.add_argument("settings", type=Path, help="settings, JSON with comments")

    def handle(self, arguments: Namespace) -> int:
        """Run until SIGTERM."""
        settings = load_settings(arguments.settings, AgentSettings)
        set_up_logging(settings.vm_id, settings.log_level)
        set_up_metrics("primroselever-agent", settings.vm_id)
        return AgentProcess(settings).run()


class AgentProcess:
    """All parts of a running agent, wired together."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.board = new_board(settings)
        self.registry = RunRegistry(KEEP_RUN_S, KEEP_TOMBSTONE_S)
        self.section = TransfersSection(ChunkStore(settings.chunk_memory_bytes))
        self.board.runs = self.registry
        self.board.transfers = self.section
        self.engine = EngineClient(settings.backend.url)
        self.needs_weights = settings.backend.kind == "engine"
        backend = (
            self.engine if self.needs_weights else PlainClient(settings.backend.url)
        )
        self.runner = Runner(self.registry, backend)
        self.control = ControlPlane(self.board, settings.platform)
        self.handler = AgentHandler(
            self.board,
            self.registry,
            self.runner,
            ChunkServing(self.section),
            settings,
            self.control.handler,
        )
        self.rpc = RpcServer(
            schema.Agent, self.handler, settings.rpc.host, settings.rpc.port
        )
        self.admin = HttpServer(
            AdminApplication(self.ready, self.status),
            settings.admin.host,
            settings.admin.port,
        )

    def run(self) -> int:
        """Serve until told to stop, then drain; return the exit code."""
        stop = ShutdownSignal()
        self.rpc.start()
        self.admin.start()
        self.start_controllers()
        stop.wait()
        self.board.leaving = True
        self.control.announce_leaving()
        deadline = clock.now() + self.settings.shutdown_s
        drained = drain(self.registry.in_flight, deadline)
        eventlet.sleep(READ_OUT_S)
        logger.info("stopped", extra={"drained": drained})
        return EXIT_OK

    def start_controllers(self) -> None:
        """Start the controllers, each in a greenlet of its own."""
        platform = self.settings.platform
        self.control.start()
        run_controller(lambda: self.registry.expire(clock.now()), 1.0)
        source = platform.origin or platform.weight_store
        if self.needs_weights and source is not None:
            rollout = RolloutController(
                self.board,
                self.section,
                self.registry,
                GroupName(self.settings.group),
                WeightSource(source),
                ClientPool(schema.Agent),
                self.engine,
            )
            run_controller(rollout.step, 0.1)

    def ready(self) -> bool:
        """Return whether new work may come."""
        serving = not self.needs_weights or self.section.serving is not None
        return serving and not self.board.leaving

    def status(self) -> dict[str, Any]:
        """Return what this agent knows."""
        wanted = self.section.wanted
        missing = self.section.store.missing(wanted) if wanted else []
        return {
            "vm_id": self.settings.vm_id,
            "incarnation": self.board.identity.incarnation,
            "leaving": self.board.leaving,
            "revision": self.board.profiles.revision.number,
            "refused_revision": self.board.profiles.refused_revision.number,
            "serving": self.section.serving,
            "wanted": wanted.version if wanted else None,
            "chunks_missing": len(missing),
            "bytes_by_source": self.section.bytes_by_source,
            "in_flight": self.registry.in_flight(),
            "vms": len(self.board.members.vms),
            "control": control_status(self.board),
        }
