"""The ``serve`` command: run an entry until it is told to stop."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

import eventlet
from opentelemetry.metrics import get_meter

from primroselever_core.budgets import TokenBucket
from primroselever_core.routing.router import Router
from primroselever_node import clock
from primroselever_node.admin import AdminApplication
from primroselever_node.console.serve import BaseServeCommand
from primroselever_node.control.plane import ControlPlane
from primroselever_node.control.status import control_status
from primroselever_node.http import HttpServer
from primroselever_node.metrics import observe_board
from primroselever_node.process import (
    ShutdownSignal,
    drain,
    exit_code,
    new_board,
)
from primroselever_node.rpc.client_pool import ClientPool
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer
from primroselever_node.status import common_status

from ..requests.application import CallerApplication
from ..requests.explain import RouteExplainer
from ..requests.flow import RequestFlow
from ..routing.request_router import RequestRouter
from ..settings import EntrySettings

if TYPE_CHECKING:
    from primroselever_node.settings.model import ProcessSettings


class ServeCommand(BaseServeCommand):
    """Run an entry."""

    description = "Run the entry. SIGTERM stops it once its requests have ended."
    binary = "primroselever-entry"
    settings_model = EntrySettings

    def serve(self, settings: ProcessSettings) -> int:
        """Run until SIGTERM."""
        assert isinstance(settings, EntrySettings)
        return EntryProcess(settings).run()


class EntryProcess:
    """All parts of a running entry, wired together."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.board = new_board(settings)
        link = TokenBucket.full(
            settings.spill_bytes_per_s, settings.spill_bytes_per_s, clock.now()
        )
        self.turning_away = False
        self.flow = RequestFlow(
            self.board,
            ClientPool(schema.Agent),
            Random(),
            settings.progress_s,
            RequestRouter(Router(self.board, Random(), link)),
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
            AdminApplication(
                self.not_ready,
                self.status,
                RouteExplainer(self.board, self.flow).explain,
            ),
            settings.admin.host,
            settings.admin.port,
        )

    def run(self) -> int:
        """Serve until told to stop, then drain; return the exit code."""
        stop = ShutdownSignal()
        observe_board(self.board, get_meter("primroselever.node"))
        self.rpc.start()
        self.control.start(visit_servers=True)
        self.admin.start()
        self.http.start()
        stop.wait()
        return exit_code(self.shut_down())

    def shut_down(self) -> bool:
        """
        Let the balancer turn away, then end; return whether all was answered.

        Until ``turn_away_s`` is over new requests are served as ever; after that
        they are answered ``not_run``, for as long as the others take to end.
        """
        deadline = clock.now() + self.settings.shutdown_s
        self.turning_away = True
        eventlet.sleep(self.settings.turn_away_s)
        self.board.leaving = True
        self.control.announce_leaving()
        return drain(lambda: self.http.in_flight, deadline)

    def not_ready(self) -> str | None:
        """Return why no new requests may come, or None."""
        if self.turning_away:
            return "leaving"
        if self.board.profiles.accepted is None:
            return "no profiles yet"
        if not self.board.members.vms:
            return "no VM list yet"
        return None

    def status(self) -> dict[str, Any]:
        """Return what this entry knows."""
        return {
            **common_status(self.board),
            "leaving": self.turning_away,
            "in_flight": self.flow.in_flight,
            "control": control_status(self.board),
        }
