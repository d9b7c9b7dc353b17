"""Structured logs: one JSON object a line, one line a decision."""

from __future__ import annotations

import logging
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

from . import clock

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATS_BEFORE_LIMIT = 3
REPEAT_INTERVAL_S = 30.0

decisions = logging.getLogger("primroselever.decisions")


@dataclass(slots=True)
class Repeats:
    """How often one message came since ``resets_at`` was set."""

    resets_at: float
    count: int = 0


class RepeatLimit(logging.Filter):
    """
    Bound the rate of warnings and errors that say the same again.

    Of each message, told by its text before arguments are filled in, the first
    few pass in each interval. The first one after an interval says in
    ``suppressed`` how many were left out.
    """

    def __init__(self, now: Callable[[], float] = clock.now) -> None:
        super().__init__()
        self.now = now
        self.seen: dict[tuple[str, str], Repeats] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        if record.levelno < logging.WARNING:
            return True
        key = (record.name, str(record.msg))
        now = self.now()
        repeats = self.seen.get(key)
        if repeats is None or now >= repeats.resets_at:
            left_out = repeats.count - REPEATS_BEFORE_LIMIT if repeats else 0
            if left_out > 0:
                record.suppressed = left_out
            repeats = self.seen[key] = Repeats(now + REPEAT_INTERVAL_S)
        repeats.count += 1
        return repeats.count <= REPEATS_BEFORE_LIMIT


def set_up_logging(vm_id: str, level: str) -> None:
    """Write all logs to standard error as JSON, each with the VM's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RepeatLimit())
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"levelname": "level", "asctime": "time"},
            static_fields={"vm_id": vm_id},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def log_decision(
    decision: str, subject: str, choice: str, reason: str, **more: object
) -> None:
    """
    Log one routing or placement decision.

    ``subject`` is what was decided about (a run, a chunk), ``choice`` what was
    chosen, ``reason`` why; ``more`` holds the candidates in short.
    """
    decisions.info(
        decision,
        extra={"subject": subject, "choice": choice, "reason": reason, **more},
    )
