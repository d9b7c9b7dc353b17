"""Structured logs: one JSON object a line, one line a decision."""

from __future__ import annotations

import logging
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

from eventlet import patcher
from pythonjsonlogger.json import JsonFormatter

from primroselever_core.budgets import TokenBucket

from . import clock

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATS_BEFORE_LIMIT = 3
REPEAT_INTERVAL_S = 30.0

LINES_PER_S = 300.0  # several lines for each request that an entry takes at full load
LINES_BURST = 600.0
LINE_BYTES = 4000  # below PIPE_BUF, so that a line is written as a whole or not at all

# Writing a line must not switch greenlets in the middle of a decision.
select_module = patcher.original("select")
os_module = patcher.original("os")

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


class BoundedHandler(logging.Handler):
    """
    Writes lines to a file descriptor without ever waiting for its reader.

    Lines beyond ``LINES_PER_S`` and lines for which a pipe has no room are left out;
    the next line that is written says in ``left_out`` how many these were.
    """

    def __init__(self, descriptor: int, now: Callable[[], float] = clock.now) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.now = now
        self.bucket = TokenBucket.full(LINES_PER_S, LINES_BURST, now())
        self.left_out = 0
        self.poller = select_module.poll()
        self.poller.register(descriptor, select_module.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or count it as left out."""
        if not self.bucket.take_units(1.0, self.now()) or not self.writable():
            self.left_out += 1
            return
        if self.left_out:
            record.left_out = self.left_out
            self.left_out = 0
        try:
            line = self.format(record).encode()[:LINE_BYTES] + b"\n"
            os_module.write(self.descriptor, line)
        except Exception:
            self.left_out += 1

    def writable(self) -> bool:
        """Return whether a line can be written without waiting."""
        ready = self.poller.poll(0)
        return bool(ready) and bool(ready[0][1] & select_module.POLLOUT)


def set_up_logging(vm_id: str, level: str) -> None:
    """Write all logs to standard output as JSON, each with the VM's name."""
    handler = BoundedHandler(sys.stdout.fileno())
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
