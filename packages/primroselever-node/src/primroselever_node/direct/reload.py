"""
Reading the settings file again, on SIGHUP and when it changed without a signal.

What a process listens on is fixed at its start; everything else may change. A file
with findings changes nothing, and is logged.
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

CHECK_INTERVAL_S = 2.0  # a file may change without a signal; reading it costs little

Model = TypeVar("Model", bound=ProcessSettings)

logger = logging.getLogger(__name__)


class SettingsReloader(Generic[Model]):
    """Calls ``apply`` with new settings whenever the file holds others."""

    def __init__(
        self, path: Path | None, settings: Model, apply: Callable[[Model], None]
    ) -> None:
        self.path = path
        self.settings = settings
        self.apply = apply

    def start(self) -> None:
        """Follow the file in a greenlet of its own, and listen for SIGHUP."""
        signal.signal(signal.SIGHUP, self.on_signal)
        if self.path is not None:
            eventlet.spawn(self.run)

    def on_signal(self, _number: int, _frame: object) -> None:
        """Reload from the hub, where it is safe to switch."""
        eventlet.hubs.get_hub().schedule_call_global(0, self.reload, "SIGHUP")

    def run(self) -> None:
        """Look at the file for good."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            self.reload("the file changed")

    def reload(self, reason: str) -> None:
        """Read the file and apply what is new."""
        if self.path is None:
            return
        try:
            settings = load_settings(self.path, type(self.settings))
        except FindingsError as exc:
            logger.warning("settings are not reloaded", extra={"error": str(exc)})
            return
        if settings == self.settings:
            if reason == "SIGHUP":
                log_decision("settings", str(self.path), "unchanged", reason)
            return
        self.settings = settings
        self.apply(settings)
        log_decision("settings", str(self.path), "reloaded", reason)
