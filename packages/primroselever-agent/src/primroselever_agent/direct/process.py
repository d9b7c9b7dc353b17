"""The process of an agent whose engine is called directly by entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.filling.section import FillingBoard
from primroselever_node.admin import AdminApplication
from primroselever_node.direct.reload import SettingsReloader
from primroselever_node.http import HttpServer
from primroselever_node.identity import create_identity
from primroselever_node.logs import log_decision
from primroselever_node.process import ShutdownSignal, exit_code

from .filling import FillingController
from .lapsing import LapseController
from .reporting import ReportController

if TYPE_CHECKING:
    from pathlib import Path

    from primroselever_node.direct.sources import ModelServer

    from .settings import DirectAgentSettings


def explain_no_decisions(_query: dict[str, str]) -> dict[str, Any]:
    """Return the ``/explain`` answer of a process that decides on no requests."""
    return {"explanation": "this process decides nothing for a single request"}


class DirectAgentProcess:
    """A running agent; ``model_server`` is the engine on its VM."""

    def __init__(
        self,
        settings: DirectAgentSettings,
        model_server: ModelServer,
        settings_path: Path | None = None,
    ) -> None:
        self.settings = settings
        self.reloader = SettingsReloader(settings_path, settings, self.reload)
        self.board = FillingBoard(
            create_identity(settings), tuple(host for host, _port in settings.seeds)
        )
        host, port = settings.engine
        self.report_controller = ReportController(
            self.board,
            model_server,
            f"{host}:{port}",
            settings.host,
            settings.news_port,
            settings.weights_within_s,
            reports_memory=settings.server_memory,
        )
        control_port = settings.seeds[0][1] if settings.seeds else 0
        self.filling_controller = FillingController(
            self.board,
            model_server,
            self.report_controller,
            control_port,
            settings.link_bytes_per_s,
        )
        self.lapse_controller = LapseController(
            self.board, self.filling_controller.orders, self.report_controller
        )
        self.admin = HttpServer(
            AdminApplication(lambda: None, self.status, explain_no_decisions),
            settings.host,
            settings.admin_port,
        )

    def run(self) -> int:
        """Run until a stop signal; return the exit code."""
        stop = ShutdownSignal()
        self.report_controller.start()
        self.filling_controller.start()
        self.lapse_controller.start()
        self.admin.start()
        self.reloader.start()
        log_decision("process", self.settings.vm_id, "started", "all components run")
        stop.wait()
        self.board.leaving = True
        log_decision("process", self.settings.vm_id, "stopping", "stop signal received")
        return exit_code(True)

    def reload(self, settings: DirectAgentSettings) -> None:
        """Apply new settings, except addresses."""
        self.settings = settings
        self.board.seeds = tuple(host for host, _port in settings.seeds)
        self.report_controller.set_weights_within(settings.weights_within_s)
        self.report_controller.reports_memory = settings.server_memory

    def status(self) -> dict[str, Any]:
        """Return the state of this agent."""
        state, staging = self.report_controller.state, self.board.staging
        return {
            "vm_id": self.settings.vm_id,
            "engine": None if state is None else f"{state.model}/{state.version}",
            "wanted": str(self.board.targets.newest),
            "staged": None if staging is None else len(staging.held),
            "filling": self.filling_controller.status(),
            "entries": sorted(self.board.entries),
        }
