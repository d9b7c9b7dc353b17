"""The ``serve`` command: run an entry until it is told to stop."""

from __future__ import annotations

import logging
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_node import clock
from primroselever_node.admin import AdminApplication
from primroselever_node.console.command import EXIT_OK, Command
from primroselever_node.control.plane import ControlPlane
from primroselever_node.control.status import control_status
from primroselever_node.http import HttpServer
from primroselever_node.logs import set_up_logging
from primroselever_node.metrics import set_up_metrics
from primroselever_node.process import (
    ShutdownSignal,
    drain,
    new_board,
)
from primroselever_node.rpc.client_pool import ClientPool
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer
from primroselever_node.settings.load import load_settings

from ..requests.application import CallerApplication
from ..requests.flow import RequestFlow
from ..settings import EntrySettings

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

logger = logging.getLogger(__name__)


class ServeCommand(Command):
    """Run an entry."""

    name = "serve"
    help = "run the entry until it is told to stop"
    description = "Run the entry. SIGTERM stops it once its requests have ended."

    def configure(self, parser: ArgumentParser) -> None:
        """Add the path of the settings."""
        parser.add_argument("settings", type=Path, help="settings, JSON with comments")

    def handle(self, arguments: Namespace) -> int:
        """Run until SIGTERM."""
        settings = load_settings(arguments.settings, EntrySettings)
        set_up_logging(settings.vm_id, settings.log_level)
        set_up_metrics("primroselever-entry", settings.vm_id)
        return EntryProcess(settings).run()


class EntryProcess:
    """All parts of a running entry, wired together."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.board = new_board(settings)
        self.flow = RequestFlow(
            self.board, ClientPool(schema.Agent), Random(), settings.progress_s
        )
        self.control = ControlPlane(self.board, settings.platform)
        self.rpc = RpcServer(
            schema.Node, self.control.handler, settings.rpc.host, settings.rpc.port
        )
        self.http = HttpServer(
            CallerApplication(self.board, self.flow, settings),
            settings.http.host,
            settings.http.port,
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
        self.control.start(visit_servers=True)
        self.admin.start()
        self.http.start()
        stop.wait()
        self.board.leaving = True
        self.control.announce_leaving()
        deadline = clock.now() + self.settings.shutdown_s
        drained = drain(lambda: self.flow.in_flight, deadline)
        logger.info("stopped", extra={"drained": drained})
        return EXIT_OK

    def ready(self) -> bool:
        """Return whether new requests may come."""
        known = self.board.profiles.accepted is not None
        return known and bool(self.board.members.vms) and not self.board.leaving

    def status(self) -> dict[str, Any]:
        """Return what this entry knows."""
        return {
            "vm_id": self.settings.vm_id,
            "incarnation": self.board.identity.incarnation,
            "leaving": self.board.leaving,
            "revision": self.board.profiles.revision.number,
            "refused_revision": self.board.profiles.refused_revision.number,
            "in_flight": self.flow.in_flight,
            "vms": len(self.board.members.vms),
            "control": control_status(self.board),
        }
