"""The base class of both binaries' ``serve`` commands."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from ..logs import set_up_logging
from ..metrics import set_up_metrics
from ..settings.load import load_settings
from .command import Command

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from ..settings.model import ProcessSettings


class BaseServeCommand(Command):
    """Load the settings, set up logs and metrics, and run the process."""

    name = "serve"
    help = "run the process until it receives SIGTERM or SIGINT"
    binary: ClassVar[str]
    settings_model: ClassVar[type[ProcessSettings]]
    settings_path: Path | None = None

    def configure(self, parser: ArgumentParser) -> None:
        """Add the argument for the settings file."""
        parser.add_argument("settings", type=Path, help="settings, JSON with comments")

    def handle(self, arguments: Namespace) -> int:
        """Run until SIGTERM or SIGINT and return the exit code."""
        self.settings_path = arguments.settings
        settings = load_settings(arguments.settings, self.settings_model)
        set_up_logging(settings.vm_id, settings.log_level)
        set_up_metrics(self.binary, settings.vm_id)
        return self.serve(settings)

    def serve(self, settings: ProcessSettings) -> int:
        """Run the process with its settings and return the exit code."""
        raise NotImplementedError
