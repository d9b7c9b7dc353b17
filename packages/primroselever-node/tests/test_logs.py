from __future__ import annotations

import json
import logging
import os
import select

from pythonjsonlogger.json import JsonFormatter

from primroselever_node.logs import (
    MAX_BURST_LINES,
    REPEAT_INTERVAL_S,
    BoundedHandler,
    RepeatLimit,
)


def record(text: str, number: int, level: int = logging.WARNING) -> logging.LogRecord:
    return logging.LogRecord("a", level, "a.py", 1, text, (number,), None)


def test_a_repeated_warning_is_suppressed_and_counted() -> None:
    now = [0.0]
    limit = RepeatLimit(lambda: now[0])

    written = [limit.filter(record("down %d", n)) for n in range(100)]
    now[0] = REPEAT_INTERVAL_S
    later = record("down %d", 100)

    assert sum(written) == 3
    assert limit.filter(later)
    assert later.suppressed == 97  # type: ignore[attr-defined]


def test_other_warnings_and_decisions_are_not_suppressed() -> None:
    limit = RepeatLimit(lambda: 0.0)
    for number in range(100):
        limit.filter(record("down %d", number))

    assert limit.filter(record("another %d", 1))
    assert all(limit.filter(record("route", n, logging.INFO)) for n in range(100))


def read_lines(descriptor: int) -> list[dict[str, object]]:
    data = b""
    while select.select([descriptor], [], [], 0)[0]:
        data += os.read(descriptor, 1 << 16)
    return [json.loads(line) for line in data.splitlines()]


def new_handler(descriptor: int, now: list[float]) -> BoundedHandler:
    handler = BoundedHandler(descriptor, lambda: now[0])
    handler.setFormatter(JsonFormatter("{message}", style="{"))
    return handler


def test_lines_beyond_the_rate_are_left_out_and_counted() -> None:
    reader, writer = os.pipe()
    now = [0.0]
    handler = new_handler(writer, now)
    sent = int(MAX_BURST_LINES) + 50
    written: list[dict[str, object]] = []
    for number in range(sent):
        handler.emit(record("route %d", number, logging.INFO))
        if number % 100 == 0:
            written += read_lines(reader)
    now[0] = 1.0
    handler.emit(record("later %d", 1, logging.INFO))
    written += read_lines(reader)
    assert len(written) == int(MAX_BURST_LINES) + 1
    assert written[-1]["left_out"] == 50


def test_a_reader_that_does_not_read_does_not_block_the_writer() -> None:
    reader, writer = os.pipe()
    now = [0.0]
    handler = new_handler(writer, now)
    for number in range(5000):
        now[0] += 1.0
        handler.emit(record("x" * 200 + " %d", number, logging.INFO))
    assert handler.left_out > 1000
    read_lines(reader)
    handler.emit(record("again %d", 1, logging.INFO))
    assert read_lines(reader)[-1]["left_out"]
