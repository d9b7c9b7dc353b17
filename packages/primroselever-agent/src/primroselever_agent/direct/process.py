"""The parts of an agent beside a directly called engine, wired together."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.filling.section import FillingBoard
from primroselever_node.admin import AdminApplication
from primroselever_node.direct.process import direct_identity, explain_nothing
from primroselever_node.direct.reload import SettingsReloader
from primroselever_node.http import HttpServer
from primroselever_node.logs import log_decision
from primroselever_node.process import ShutdownSignal, exit_code

from .filling import FillingController
from .news import NewsController

if TYPE_CHECKING:
    from pathlib import Path

    from primroselever_node.direct.sources import ModelServer

    from .settings import DirectAgentSettings


class DirectAgentProcess:
    """A running agent; ``server`` is the engine beside it."""

    def __init__(
        self,
        settings: DirectAgentSettings,
        server: ModelServer,
        settings_path: Path | None = None,
    ) -> None:
        self.settings = settings
        self.reloader = SettingsReloader(settings_path, settings, self.reload)
        self.board = FillingBoard(
            direct_identity(settings), tuple(host for host, _port in settings.seeds)
        )
        host, port = settings.engine
        self.news = NewsController(
            self.board,
            server,
            f"{host}:{port}",
            settings.host,
            settings.news_port,
            settings.weights_within_s,
        )
        control_port = settings.seeds[0][1] if settings.seeds else 0
        self.filling = FillingController(self.board, server, self.news, control_port)
        self.admin = HttpServer(
            AdminApplication(lambda: None, self.status, explain_nothing),
            settings.host,
            settings.admin_port,
        )

    def run(self) -> int:
        """Work until told to stop; return the exit code."""
        stop = ShutdownSignal()
        self.news.start()
        self.filling.start()
        self.admin.start()
        self.reloader.start()
        log_decision("process", self.settings.vm_id, "started", "all parts run")
        stop.wait()
        self.board.leaving = True
        log_decision("process", self.settings.vm_id, "stopping", "told to stop")
        return exit_code(True)

    def reload(self, settings: DirectAgentSettings) -> None:
        """Put new settings in force, those of addresses aside."""
        self.settings = settings
        self.board.seeds = tuple(host for host, _port in settings.seeds)
        self.news.weights_within_s = settings.weights_within_s

    def status(self) -> dict[str, Any]:
        """Return what this agent knows."""
        state, staging = self.news.state, self.board.staging
        return {
            "vm_id": self.settings.vm_id,
            "engine": None if state is None else f"{state.model}/{state.version}",
            "wanted": str(self.board.targets.newest),
            "staged": None if staging is None else len(staging.held),
            "entries": sorted(self.board.entries),
        }
