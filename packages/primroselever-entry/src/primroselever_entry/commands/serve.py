"""The ``serve`` command, which runs an entry until SIGTERM."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

import eventlet
from opentelemetry.metrics import get_meter

from primroselever_core.board import Blackboard
from primroselever_core.budgets import TokenBucket
from primroselever_core.routing.router import Router
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
        """Run until SIGTERM; return the exit code."""
        assert isinstance(settings, EntrySettings)
        return EntryProcess(settings).run()


class EntryProcess:
    """A running entry, which creates its components and connects them."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.board = Blackboard(create_identity(settings))
        spill_budget = TokenBucket.full(
            settings.spill_bytes_per_s, settings.spill_bytes_per_s, clock.now()
        )
        self.withdrawing = False
        self.flow = RequestFlow(
            self.board,
            ClientPool(schema.Agent),
            Random(),
            settings.progress_s,
            RequestRouter(Router(self.board, Random(), spill_budget)),
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
                self.unready_reason,
                self.status,
                RouteExplainer(self.board, self.flow).explain,
            ),
            settings.admin.host,
            settings.admin.port,
        )

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then drain; return the exit code."""
        shutdown_signal = ShutdownSignal()
        observe_board(self.board, get_meter("primroselever.node"))
        self.rpc.start()
        self.control.start(send_server_heartbeats=True)
        self.admin.start()
        self.http.start()
        shutdown_signal.wait()
        return exit_code(self.shut_down())

    def shut_down(self) -> bool:
        """
        Fail the readiness check, then drain; return whether all requests ended.

        For ``turn_away_s`` seconds, in which the balancer stops sending requests, new
        requests are still served. After that they are refused as ``not_run`` while
        the requests in flight end.
        """
        deadline = clock.now() + self.settings.shutdown_s
        self.withdrawing = True
        eventlet.sleep(self.settings.turn_away_s)
        self.board.leaving = True
        self.control.announce_leaving()
        return drain(lambda: self.http.in_flight, deadline)

    def unready_reason(self) -> str | None:
        """Return why the entry is not ready for new requests, or None if it is."""
        if self.withdrawing:
            return "leaving"
        if self.board.profiles.accepted is None:
            return "no profiles yet"
        if not self.board.members.vms:
            return "no VM list yet"
        return None

    def status(self) -> dict[str, Any]:
        """Return the state of this entry for /status."""
        return {
            **common_status(self.board),
            "leaving": self.withdrawing,
            "in_flight": self.flow.in_flight,
            "control": control_status(self.board),
        }
