"""First events that an entry waits for, although their requests have ended."""

from __future__ import annotations

import eventlet
import pytest

from primroselever_entry.direct import sending
from primroselever_entry.direct.attempt import AttemptEnd
from primroselever_node import clock

from .conftest import (
    EVENTS,
    HANG,
    PAUSE,
    STREAM_END,
    ask,
    assert_complete,
    chunk,
    stream_head,
)

STREAM = [stream_head(), *map(chunk, EVENTS), STREAM_END]


def first_events(entry, server_id: str):
    return entry.board.backends.backends[server_id].first_events


# Guards against an engine that is excluded for ever: each entry in ``due_at`` becomes
# more overdue, and an unexpected error between the start of an attempt and its run
# leaves one.
@pytest.mark.parametrize("step", ["known_crashes", "begin_run"])
def test_an_error_before_the_attempt_runs_leaves_no_overdue_event(
    entry, monkeypatch, step
):
    entry.add("a", "engine").responses = [STREAM]
    watch = entry.flow.crash_watch if step == "known_crashes" else entry.flow.part_watch

    def fail(*_args):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(watch, step, fail)
    assert ask(entry).startswith(b"HTTP/1.1 50")
    assert first_events(entry, "a").due_at == {}


# Guards against the same for a silent attempt, which stays open: nothing closes it if
# its result cannot be recorded.
def test_an_error_after_a_silent_attempt_leaves_no_overdue_event(entry, monkeypatch):
    monkeypatch.setattr(sending, "MAX_STREAM_SILENCE_S", 0.1)
    monkeypatch.setattr(sending, "MAX_SILENCE_FACTOR", 0.1)
    entry.add("a", "engine").responses = [[HANG]]

    def fail(end):
        assert end is AttemptEnd.SILENT
        raise RuntimeError("unexpected")

    monkeypatch.setattr(entry.flow.instruments, "count_attempt", fail)
    assert ask(entry).startswith(b"HTTP/1.1 50")
    assert first_events(entry, "a").due_at == {}


# Guards against an engine that is avoided although it answered: an error has no first
# event, and its body may arrive slowly.
def test_the_head_of_an_error_ends_the_wait_for_a_first_event(entry):
    events_while = []

    def answer_slowly():
        yield b"HTTP/1.1 404 No\r\nx-request: r1\r\nContent-Length: 4\r\n\r\nab"
        for _ in range(3):
            yield PAUSE
        events_while.append(first_events(entry, "a").delay_s(clock.now()))
        yield b"cd"

    entry.add("a", "engine").responses = [answer_slowly()]
    assert ask(entry).startswith(b"HTTP/1.1 404")
    assert events_while == [0.0]


# Guards against an engine that gets no requests after it was silent once, although its
# ejection has ended and other engines are busier.
def test_an_engine_that_was_silent_once_is_used_after_its_ejection(entry, monkeypatch):
    monkeypatch.setattr(sending, "MAX_STREAM_SILENCE_S", 0.4)
    monkeypatch.setattr(sending, "MAX_SILENCE_FACTOR", 0.5)
    first, other, third = (entry.add(name, "engine") for name in "abc")
    backends = entry.board.backends.backends
    backends["b"].in_flight = backends["c"].in_flight = 7
    first.responses = [[HANG], STREAM]
    other.responses, third.responses = [STREAM] * 2, [STREAM] * 2
    assert_complete(ask(entry))
    assert len(first.requests) == 1
    backends["b"].in_flight = backends["c"].in_flight = 8
    while not backends["a"].available(clock.now()):
        eventlet.sleep(0.02)
    assert_complete(ask(entry))
    assert len(first.requests) == 2


# Guards against entries that are left by attempts that end by themselves.
@pytest.mark.parametrize("response", [[HANG], [b"HTTP/1.1 500 x\r\n\r\n"], [PAUSE]])
def test_attempts_that_fail_leave_no_overdue_event(entry, response):
    engine = entry.add("a", "engine")
    engine.responses = [response, STREAM]
    ask(entry)
    assert first_events(entry, "a").due_at == {}


def test_a_refused_connection_leaves_no_overdue_event(entry):
    engine = entry.add("a", "engine")
    engine.close()
    ask(entry)
    assert first_events(entry, "a").due_at == {}


def test_a_caller_that_leaves_or_a_replaced_engine_leaves_no_overdue_event(entry):
    engine = entry.add("a", "engine")
    backend = entry.board.backends.backends["a"]
    engine.responses = [[HANG]]
    caller = eventlet.spawn(ask, entry)
    while not engine.requests:
        eventlet.sleep(0.01)
    engine.born_ms = 2
    entry.apply_listing()
    caller.kill()
    caller_gone_by = clock.now() + 1.0
    while backend.first_events.due_at and clock.now() < caller_gone_by:
        eventlet.sleep(0.02)
    assert backend.first_events.due_at == {}
    assert first_events(entry, "a").due_at == {}
