"""Structured logs, with one JSON object for each line and one line per decision."""

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

MAX_LINES_PER_S = 300.0  # several lines for each request of an entry at full load
MAX_BURST_LINES = 600.0
MAX_LINE_BYTES = 4000  # below PIPE_BUF, which makes the write of a line atomic

# The unpatched modules are used because logging must not switch greenlets in the
# middle of a decision.
select_module = patcher.original("select")
os_module = patcher.original("os")

decisions = logging.getLogger("primroselever.decisions")


@dataclass(slots=True)
class RepeatCount:
    """How often a message was logged in the interval that ends at ``resets_at``."""

    resets_at: float
    count: int = 0


class RepeatLimit(logging.Filter):
    """
    Limits the rate of repeated warnings and errors.

    Messages are identified by logger and text before arguments are filled in. The
    first few of each message pass in each interval. The first one after an interval
    has the number of messages that were left out in ``suppressed``.
    """

    def __init__(self, now: Callable[[], float] = clock.now) -> None:
        super().__init__()
        self.now = now
        self.repeats: dict[tuple[str, str], RepeatCount] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record."""
        if record.levelno < logging.WARNING:
            return True
        key = (record.name, str(record.msg))
        now = self.now()
        repeat = self.repeats.get(key)
        if repeat is None or now >= repeat.resets_at:
            left_out = repeat.count - REPEATS_BEFORE_LIMIT if repeat else 0
            if left_out > 0:
                record.suppressed = left_out
            repeat = self.repeats[key] = RepeatCount(now + REPEAT_INTERVAL_S)
        repeat.count += 1
        return repeat.count <= REPEATS_BEFORE_LIMIT


class BoundedHandler(logging.Handler):
    """
    Writes lines to a file descriptor without blocking when its reader is slow.

    Lines beyond ``MAX_LINES_PER_S`` and lines for which a pipe has no room are left
    out. The next line that is written has their number in ``left_out``.
    """

    def __init__(self, descriptor: int, now: Callable[[], float] = clock.now) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.now = now
        self.bucket = TokenBucket.full(MAX_LINES_PER_S, MAX_BURST_LINES, now())
        self.left_out = 0
        self.poller = select_module.poll()
        self.poller.register(descriptor, select_module.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or count it as left out."""
        if not self.bucket.take_units(1.0, self.now()) or not self.is_writable():
            self.left_out += 1
            return
        if self.left_out:
            record.left_out = self.left_out
            self.left_out = 0
        try:
            line = self.format(record).encode()[:MAX_LINE_BYTES] + b"\n"
            os_module.write(self.descriptor, line)
        except Exception:
            self.left_out += 1

    def is_writable(self) -> bool:
        """Return whether a line can be written without blocking."""
        events = self.poller.poll(0)
        return bool(events) and bool(events[0][1] & select_module.POLLOUT)


def set_up_logging(vm_id: str, level: str) -> None:
    """Write all logs to standard output as JSON, each line with the VM's ID."""
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
    decision: str, subject: str, choice: str, reason: str, **details: object
) -> None:
    """
    Log one decision, such as on routing or placement.

    ``subject`` names what the decision is about, such as a run or a host, ``choice``
    is its result, and ``reason`` why it was chosen. ``details`` are further fields of
    the log line, such as the candidates.
    """
    decisions.info(
        decision,
        extra={"subject": subject, "choice": choice, "reason": reason, **details},
    )
