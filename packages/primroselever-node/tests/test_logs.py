from __future__ import annotations

import logging

from primroselever_node.logs import REPEAT_INTERVAL_S, RepeatLimit


def record(text: str, number: int, level: int = logging.WARNING) -> logging.LogRecord:
    return logging.LogRecord("a", level, "a.py", 1, text, (number,), None)


def test_a_repeated_warning_is_written_a_few_times_and_then_counted() -> None:
    time = [0.0]
    limit = RepeatLimit(lambda: time[0])

    written = [limit.filter(record("down %d", n)) for n in range(100)]
    time[0] = REPEAT_INTERVAL_S
    later = record("down %d", 100)

    assert sum(written) == 3
    assert limit.filter(later)
    assert later.suppressed == 97  # type: ignore[attr-defined]


def test_other_warnings_and_decisions_are_not_held_back() -> None:
    limit = RepeatLimit(lambda: 0.0)
    for number in range(100):
        limit.filter(record("down %d", number))

    assert limit.filter(record("another %d", 1))
    assert all(limit.filter(record("route", n, logging.INFO)) for n in range(100))
