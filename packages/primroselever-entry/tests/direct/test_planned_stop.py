"""Requests that arrive, wait or are retried while an entry stops."""

from __future__ import annotations

import signal
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING

import eventlet
import pytest

from primroselever_core.catalogue.model import Configuration, RouteKind
from primroselever_entry.direct import process as process_module, sending
from primroselever_entry.direct.process import LAST_WRITES_S
from primroselever_node import clock
from primroselever_node.console.command import EXIT_FAILED
from primroselever_node.process import DRAIN_POLL_S

from .conftest import (
    CLOSE,
    EVENTS,
    HANG,
    LIMITS,
    STREAM_END,
    assert_complete,
    chunk,
    make_route,
    ok_response,
    read_all,
    refusal,
    request,
    stream_head,
)
from .planned_stop import (
    GATE,
    LONG,
    SHORT,
    WAIT_S,
    FakeClock,
    Gates,
    Stop,
    ask_request,
    assert_refused,
    order,
    wait_for,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


@pytest.fixture
def fake_clock(monkeypatch) -> FakeClock:
    fake = FakeClock()
    monkeypatch.setattr(clock, "now", fake.now)
    # The process waits by the clock of the test.
    fake_eventlet = SimpleNamespace(sleep=fake.sleep, spawn=eventlet.spawn)
    monkeypatch.setattr(process_module, "eventlet", fake_eventlet)
    return fake


@pytest.fixture
def signal_handlers(monkeypatch) -> dict[int, Callable[[int, object], None]]:
    """Return the handlers that the process installs, without installing them."""
    handlers: dict[int, Callable[[int, object], None]] = {}
    monkeypatch.setattr(signal, "signal", handlers.__setitem__)
    return handlers


@pytest.fixture
def slow_entry(entry):
    """An entry whose routes and callers wait for longer than a stop takes."""
    current = entry.board.catalogue.configuration
    routes = (
        make_route(RouteKind.IDEMPOTENT, "read", timeout_s=30.0, objective_s=0.05),
        make_route(RouteKind.NON_IDEMPOTENT, "order", timeout_s=30.0, max_attempts=2),
        make_route(RouteKind.STREAMING, "ask", timeout_s=30.0, objective_s=0.4),
        make_route(RouteKind.IDEMPOTENT, "brief", timeout_s=3.0),
    )
    entry.board.catalogue.configure(
        Configuration(2, routes, current.services, LIMITS, current.workspaces), 1.0
    )
    limits = replace(LIMITS, header_timeout_s=60.0, idle_timeout_s=60.0)
    entry.server.limits = lambda: limits
    return entry


@pytest.fixture
def stop(slow_entry, fake_clock) -> Iterator[Stop]:
    stop = Stop(slow_entry, fake_clock)
    yield stop
    stop.end()


# Guards against a request that is read behind another one, handled late, passed on and
# cut off without an answer when the process ends.
@pytest.mark.parametrize("kind", ["order", "stream"])
def test_a_pipelined_request_handled_late_is_refused_before_it_is_sent(stop, kind):
    backend = stop.entry.add("a")
    engine = stop.entry.add("e", "engine")
    gates = Gates(backend)
    backend.responses = [[GATE, *ok_response()], ok_response()]
    engine.responses = [[stream_head(), chunk(EVENTS[0])]]
    connection = stop.entry.connect()
    connection.sendall(order() + (order() if kind == "order" else ask_request()))
    wait_for(lambda: backend.requests)
    stop.begin()
    stop.clock.advance(3.5)
    gates.open()
    first, _, second = read_all(connection).partition(b"\r\n\r\nok")
    assert first.startswith(b"HTTP/1.1 200")
    assert_refused(second)
    assert len(backend.requests) == 1
    assert engine.requests == []


# Guards against a refusal of requests that end in time for certain.
@pytest.mark.parametrize("ends_by", ["caller", "route"])
def test_a_late_request_that_ends_in_time_for_certain_is_served(stop, ends_by):
    backend, engine = stop.entry.add("a"), stop.entry.add("e", "engine")
    gates = Gates(engine)
    engine.responses = [[GATE, stream_head(), *map(chunk, EVENTS), STREAM_END]]
    backend.responses = [ok_response(b"late")]
    late = (
        order(SHORT)
        if ends_by == "caller"
        else request("/brief/x", headers=[LONG], close=False)
    )
    connection = stop.entry.connect()
    connection.sendall(ask_request())
    wait_for(lambda: engine.requests)
    stop.begin()
    stop.clock.advance(3.5)
    connection.sendall(late)
    eventlet.sleep(0.02)
    gates.open()
    assert read_all(connection).endswith(b"late")
    wait_for(lambda: stop.entry.server.socket.fileno() < 0)
    stop.clock.advance(2 * LAST_WRITES_S)
    with eventlet.Timeout(WAIT_S):
        assert stop.ended.wait()


# Guards against a refusal of a new connection's request that ends in time for certain,
# and against one that is passed on and cut off.
@pytest.mark.parametrize(("left", "status"), [(SHORT, b"200"), (LONG, b"503")])
def test_a_connection_that_opens_late_is_judged_by_its_deadline(stop, left, status):
    backend = stop.entry.add("a")
    gates = Gates(backend)
    backend.responses = [[GATE, *ok_response()], ok_response(b"late")]
    busy = stop.entry.connect()
    busy.sendall(order())
    wait_for(lambda: backend.requests)
    stop.begin()
    stop.clock.advance(3.5)
    late = stop.entry.connect()
    late.sendall(order(left))
    assert read_all(late)[9:12] == status
    gates.open()
    assert read_all(busy).endswith(b"ok")


# Guards against a request on a connection accepted shortly before the turning away that
# is passed on after it and cut off.
def test_the_first_request_on_a_young_connection_is_refused_if_it_is_late(stop):
    backend = stop.entry.add("a")
    backend.responses = [ok_response()]
    stop.begin()
    stop.clock.advance(2.9)
    connection = stop.entry.connect()
    wait_for(lambda: stop.entry.server.connections)
    stop.clock.advance(0.11)
    connection.sendall(order())
    assert_refused(read_all(connection))
    assert backend.requests == []


# Guards against a body that arrives slowly and whose request is passed on too late.
def test_a_request_whose_body_ends_late_is_refused(stop):
    backend = stop.entry.add("a")
    backend.responses = [ok_response()]
    connection = stop.entry.connect()
    data = request("/order/x", "POST", b"ink", [LONG], close=False)
    stop.begin()
    connection.sendall(data[:-1])
    stop.clock.advance(3.5)
    connection.sendall(data[-1:])
    assert_refused(read_all(connection))
    assert backend.requests == []


# Guards against a refusal in the part of the grace period in which the balancer still
# sends requests.
def test_a_request_before_the_turning_away_is_served(stop):
    backend = stop.entry.add("a")
    backend.responses = [ok_response()]
    stop.begin()
    stop.clock.advance(2.8)
    connection = stop.entry.connect()
    connection.sendall(order())
    assert read_all(connection).endswith(b"ok")


# Guards against a request that was admitted in time, waits for a connection, and is
# passed on late.
def test_a_request_that_waits_for_a_connection_until_it_is_late_is_not_sent(
    stop, monkeypatch
):
    backend = stop.entry.add("a")
    backend.responses = [ok_response()]
    acquire = stop.entry.flow.pool.acquire_connection

    def acquire_slowly(*arguments):
        connection = acquire(*arguments)
        stop.clock.advance(0.5)
        return connection

    monkeypatch.setattr(stop.entry.flow.pool, "acquire_connection", acquire_slowly)
    stop.begin()
    stop.clock.advance(2.6)
    connection = stop.entry.connect()
    connection.sendall(order())
    assert_refused(read_all(connection))
    assert backend.requests == []


# Guards against a retry after the turning away that is cut off: the request has not run
# and is refused.
def test_a_refused_request_is_not_sent_again_late(stop):
    first, other = stop.entry.add("a"), stop.entry.add("b")
    gates = [Gates(first), Gates(other)]
    first.responses = [[GATE, *refusal()]]
    other.responses = [[GATE, *refusal()]]
    connection = stop.entry.connect()
    stop.begin()
    connection.sendall(order())
    wait_for(lambda: first.requests or other.requests)
    stop.clock.advance(3.5)
    for gate in gates:
        gate.open()
    assert_refused(read_all(connection))
    assert len(first.requests) + len(other.requests) == 1


# Guards against a late retry of a request that may have run, and against a statement
# that it has not.
def test_a_broken_request_is_not_sent_again_late(stop):
    first, other = stop.entry.add("a"), stop.entry.add("b")
    gates = [Gates(first), Gates(other)]
    first.responses = [[GATE, CLOSE]]
    other.responses = [[GATE, CLOSE]]
    connection = stop.entry.connect()
    stop.begin()
    connection.sendall(request("/read/x", headers=[LONG], close=False))
    wait_for(lambda: first.requests or other.requests)
    stop.clock.advance(3.5)
    for gate in gates:
        gate.open()
    response = read_all(connection)
    assert response.startswith(b"HTTP/1.1 502")
    assert b"retry-after:" in response.lower()
    assert len(first.requests) + len(other.requests) == 1


# Guards against a statement that a request has not run, to the caller of one that must
# not be repeated and was passed on.
@pytest.mark.parametrize("end", ["hangs", "breaks off"])
def test_an_order_that_was_passed_on_gets_502(stop, end):
    backend = stop.entry.add("a")
    gates = Gates(backend)
    backend.responses = [[GATE, CLOSE]]
    connection = stop.entry.connect()
    stop.begin()
    connection.sendall(order())
    wait_for(lambda: backend.requests)
    stop.clock.advance(3.5)
    if end == "breaks off":
        gates.open()
    else:
        stop.clock.advance(4.0)
    response = read_all(connection)
    assert response.startswith(b"HTTP/1.1 502")
    assert b"retry-after:" not in response.lower()


# Guards against a request that a server that hangs holds until the end, although there
# is time to send it to another one.
def test_a_server_that_hangs_is_replaced_in_time(stop):
    first, other = stop.entry.add("a"), stop.entry.add("b")
    first.responses, other.responses = [[HANG]], [[HANG]]
    connection = stop.entry.connect()
    stop.begin()
    stop.clock.advance(1.0)
    connection.sendall(request("/read/x", headers=[LONG], close=False))
    wait_for(lambda: first.requests or other.requests)
    stop.clock.advance(1.0)
    wait_for(lambda: first.requests and other.requests)
    stop.clock.advance(5.5)
    assert read_all(connection).startswith(b"HTTP/1.1 502")
    assert (len(first.requests), len(other.requests)) == (1, 1)


# Guards against an answer with an error that is dropped, while no retry is possible.
def test_an_error_that_cannot_be_retried_late_is_forwarded(stop):
    first, other = stop.entry.add("a"), stop.entry.add("b")
    gates = [Gates(first), Gates(other)]
    error = b"HTTP/1.1 500 E\r\nx-request: r1\r\nContent-Length: 2\r\n\r\nno"
    first.responses = [[GATE, error]]
    other.responses = [[GATE, error]]
    connection = stop.entry.connect()
    stop.begin()
    connection.sendall(request("/read/x", headers=[LONG], close=False))
    wait_for(lambda: first.requests or other.requests)
    stop.clock.advance(3.5)
    for gate in gates:
        gate.open()
    assert read_all(connection).startswith(b"HTTP/1.1 500")
    assert len(first.requests) + len(other.requests) == 1


# Guards against a slow server whose request is sent to another one late, instead of the
# answer being waited for.
def test_a_slow_server_is_waited_for_when_a_retry_would_be_late(stop, monkeypatch):
    monkeypatch.setattr(sending, "MIN_SILENCE_LIMIT_S", 0.04)
    first, other = stop.entry.add("a"), stop.entry.add("b")
    gates = [Gates(first), Gates(other)]
    first.responses = [[GATE, *ok_response()]]
    other.responses = [[GATE, *ok_response()]]
    connection = stop.entry.connect()
    stop.begin()
    stop.clock.advance(2.5)
    connection.sendall(request("/read/x", headers=[LONG], close=False))
    wait_for(lambda: first.requests or other.requests)
    stop.clock.advance(3.5)
    eventlet.sleep(0.2)
    for gate in gates:
        gate.open()
    assert read_all(connection).endswith(b"ok")
    assert len(first.requests) + len(other.requests) == 1


# Guards against a stream that is cut off at once, although another server could resume
# it: it cannot be refused any more.
def test_a_stream_that_broke_off_late_is_resumed(stop):
    first, other = stop.entry.add("a", "engine"), stop.entry.add("b", "engine")
    gates = [Gates(first), Gates(other)]
    start = [stream_head(), chunk(EVENTS[0])]
    rest = [stream_head(), *map(chunk, EVENTS[1:]), STREAM_END]
    first.responses = [[*start, GATE, CLOSE], rest]
    other.responses = [[*start, GATE, CLOSE], rest]
    connection = stop.entry.connect()
    stop.begin()
    connection.sendall(ask_request())
    wait_for(lambda: first.requests or other.requests)
    used, unused = (first, other) if first.requests else (other, first)
    unused.responses = [rest]
    eventlet.sleep(0.02)
    stop.clock.advance(3.5)
    for gate in gates:
        gate.open()
    assert_complete(read_all(connection))
    assert (len(used.requests), len(unused.requests)) == (1, 1)


# Guards against times that count from when the process noticed the signal: with a late
# event loop, requests were taken for longer, and the process was killed before its end.
def test_a_late_event_loop_does_not_prolong_the_stop(stop, signal_handlers):
    backend = stop.entry.add("a")
    backend.responses = [ok_response()]
    partial = stop.entry.connect()
    partial.sendall(order()[:-1])
    wait_for(lambda: any(each.request_started_at for each in stop.connections()))
    stop.run()
    signal_handlers[signal.SIGTERM](signal.SIGTERM, None)
    stop.clock.advance(2.0, runs_others=False)
    stop.clock.advance(1.5)
    connection = stop.entry.connect()
    connection.sendall(order())
    assert_refused(read_all(connection))
    assert backend.requests == []


# Guards against requests that are taken because they are handled before the greenlet
# that waits for the signal.
def test_a_stop_begins_in_the_signal_handler(stop, signal_handlers):
    stop.run()
    signal_handlers[signal.SIGTERM](signal.SIGTERM, None)
    grace_period = stop.entry.flow.grace_period
    assert grace_period.takes_until == clock.now() + 3.0
    assert grace_period.ends_at == pytest.approx(clock.now() + 7.4)
    assert stop.process.unready_reason() == "leaving"


# Guards against requests that are cut off without an answer since SIGTERM is repeated,
# and against an operator who cannot end the process at once.
def test_a_repeated_sigterm_does_not_end_the_process(
    stop, signal_handlers, monkeypatch
):
    exits = []
    monkeypatch.setattr("os._exit", exits.append)
    backend = stop.entry.add("a")
    gates = Gates(backend)
    backend.responses = [[GATE, *ok_response()]]
    busy = stop.entry.connect()
    busy.sendall(order())
    wait_for(lambda: backend.requests)
    stop.run()
    signal_handlers[signal.SIGTERM](signal.SIGTERM, None)
    for _ in range(3):
        stop.clock.advance(1.0)
        signal_handlers[signal.SIGTERM](signal.SIGTERM, None)
    gates.open()
    assert read_all(busy).endswith(b"ok")
    assert exits == []
    signal_handlers[signal.SIGINT](signal.SIGINT, None)
    assert exits == [EXIT_FAILED]


# Guards against a reload that moves the times of a stop, which the platform does not.
def test_a_reload_does_not_change_a_stop(stop):
    stop.begin()
    grace_period = stop.entry.flow.grace_period
    times = grace_period.takes_until, grace_period.ends_at
    changed = stop.process.settings.model_copy(
        update={"turn_away_s": 20.0, "shutdown_s": 60.0}
    )
    stop.process.reload(changed)
    stop.process.begin_stop(clock.now())
    assert (grace_period.takes_until, grace_period.ends_at) == times


# Guards against a grace period that ignores the settings: with less time, fewer
# deadlines can be met.
@pytest.mark.parametrize(("left", "status"), [("500", b"200"), ("1500", b"503")])
def test_a_shorter_grace_period_refuses_by_its_own_end(
    slow_entry, fake_clock, left, status
):
    stop = Stop(slow_entry, fake_clock, shutdown_s=3.0, turn_away_s=1.0)
    backend = slow_entry.add("a")
    gates = Gates(backend)
    backend.responses = [[GATE, *ok_response()], ok_response()]
    busy = slow_entry.connect()
    busy.sendall(order())
    wait_for(lambda: backend.requests)
    stop.begin()
    stop.clock.advance(1.2)
    late = slow_entry.connect()
    late.sendall(order(f"x-left: {left}"))
    assert read_all(late)[9:12] == status
    gates.open()
    stop.end()


# Guards against a request that is passed on while the process, which has nothing left
# to do, is about to end.
def test_a_request_after_the_drain_is_refused(stop):
    backend = stop.entry.add("a")
    backend.responses = [[GATE, *ok_response()], ok_response()]
    gates = Gates(backend)
    busy = stop.entry.connect()
    busy.sendall(order())
    wait_for(lambda: backend.requests)
    stop.begin()
    stop.clock.advance(3.5)
    late = stop.entry.connect()
    wait_for(lambda: len(stop.entry.server.connections) == 2)
    gates.open()
    assert read_all(busy).endswith(b"ok")
    wait_for(lambda: not stop.entry.server.unfinished_count())
    eventlet.sleep(2 * DRAIN_POLL_S)
    late.sendall(order(SHORT))
    assert_refused(read_all(late))
    assert len(backend.requests) == 1
