"""
Reloads the settings file on SIGHUP and whenever the file changes.

Listening addresses are fixed when the process starts; all other settings may change.
An invalid file is logged and ignored.
"""

from __future__ import annotations

import logging
import signal
from typing import TYPE_CHECKING, Generic, TypeVar

import eventlet

from primroselever_core.exceptions import FindingsError

from ..logs import log_decision
from ..settings.load import load_settings
from ..settings.model import ProcessSettings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

CHECK_INTERVAL_S = 2.0  # reading the file is cheap

Model = TypeVar("Model", bound=ProcessSettings)

logger = logging.getLogger(__name__)


class SettingsReloader(Generic[Model]):
    """Calls ``apply`` with the new settings whenever the file's settings change."""

    def __init__(
        self, path: Path | None, settings: Model, apply: Callable[[Model], None]
    ) -> None:
        self.path = path
        self.settings = settings
        self.apply = apply

    def start(self) -> None:
        """Handle SIGHUP, and check the file regularly in a greenlet."""
        signal.signal(signal.SIGHUP, self.on_signal)
        if self.path is not None:
            eventlet.spawn(self.run)

    def on_signal(self, _number: int, _frame: object) -> None:
        """Schedule a reload in the hub, where switching greenlets is safe."""
        eventlet.hubs.get_hub().schedule_call_global(0, self.reload, "SIGHUP")

    def run(self) -> None:
        """Check the file forever."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            self.reload("the file changed")

    def reload(self, reason: str) -> None:
        """
        Read the file, and apply its settings if they are valid and changed.

        An unexpected error is logged, and the file is read again at the next check.
        """
        if self.path is None:
            return
        try:
            self.read_and_apply(self.path, reason)
        except Exception:
            logger.exception("failed to reload the settings, it is retried")

    def read_and_apply(self, path: Path, reason: str) -> None:
        """Read the file, and apply its settings if they are valid and changed."""
        try:
            settings = load_settings(path, type(self.settings))
        except FindingsError as exc:
            logger.warning(
                "ignored an invalid settings file", extra={"error": str(exc)}
            )
            return
        if settings == self.settings:
            if reason == "SIGHUP":
                log_decision("settings", str(path), "unchanged", reason)
            return
        self.apply(settings)
        self.settings = settings
        log_decision("settings", str(path), "reloaded", reason)
