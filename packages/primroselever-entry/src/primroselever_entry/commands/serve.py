"""The ``serve`` command: run an entry until it is told to stop."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_node import clock
from primroselever_node.admin import AdminApplication
from primroselever_node.console.command import EXIT_OK
from primroselever_node.console.serve import BaseServeCommand
from primroselever_node.control import MembersController, ProfilesController
from primroselever_node.http import HttpServer
from primroselever_node.platform.configuration_service import ConfigurationService
from primroselever_node.platform.vm_list_service import VmListService
from primroselever_node.process import (
    ShutdownSignal,
    drain,
    new_board,
    run_controller,
)
from primroselever_node.rpc.client_pool import ClientPool
from primroselever_node.rpc.schema import schema
from primroselever_node.status import common_status

from ..requests.application import CallerApplication
from ..requests.explain import RouteExplainer
from ..requests.flow import RequestFlow
from ..settings import EntrySettings

if TYPE_CHECKING:
    from primroselever_node.settings.model import NodeSettings

logger = logging.getLogger(__name__)


class ServeCommand(BaseServeCommand):
    """Run an entry."""

    description = "Run the entry. SIGTERM stops it once its requests have ended."
    binary = "primroselever-entry"
    settings_model = EntrySettings

    def serve(self, settings: NodeSettings) -> int:
        """Run until SIGTERM."""
        assert isinstance(settings, EntrySettings)
        return EntryProcess(settings).run()


class EntryProcess:
    """All parts of a running entry, wired together."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.board = new_board(settings)
        self.flow = RequestFlow(
            self.board, ClientPool(schema.Agent), Random(), settings.progress_s
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
        platform = self.settings.platform
        profiles = ProfilesController(
            self.board, ConfigurationService(platform.configuration_service)
        )
        members = MembersController(self.board, VmListService(platform.vm_list))
        run_controller(profiles.step, 0.2)
        run_controller(members.step, 1.0)
        self.admin.start()
        self.http.start()
        stop.wait()
        self.board.leaving = True
        deadline = clock.now() + self.settings.shutdown_s
        drained = drain(lambda: self.flow.in_flight, deadline)
        logger.info("stopped", extra={"drained": drained})
        return EXIT_OK

    def not_ready(self) -> str | None:
        """Return why no new requests may come, or None."""
        if self.board.leaving:
            return "leaving"
        if self.board.profiles.accepted is None:
            return "no profiles yet"
        if not self.board.members.vms:
            return "no VM list yet"
        return None

    def status(self) -> dict[str, Any]:
        """Return what this entry knows."""
        return {**common_status(self.board), "in_flight": self.flow.in_flight}
