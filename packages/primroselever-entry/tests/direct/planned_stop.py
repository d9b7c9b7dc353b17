"""An entry that stops as planned, its clock and back ends that answer on request."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import TYPE_CHECKING

import eventlet

from primroselever_entry.direct.process import DirectEntryProcess
from primroselever_entry.direct.settings import DirectEntrySettings
from primroselever_node import clock

from .conftest import CLOSE, request
from .test_process import SETTINGS

if TYPE_CHECKING:
    from primroselever_entry.direct.caller_connection import CallerConnection

GATE = b"<gate>"
LONG = "x-left: 9000"  # ends after the process
SHORT = "x-left: 3000"
WAIT_S = 3.0  # of a test for a condition


class FakeClock:
    """A monotonic clock that stands still until a test advances it."""

    def __init__(self) -> None:
        self.time = time.monotonic()  # sockets of the entry were created before

    def now(self) -> float:
        return self.time

    def advance(self, seconds: float, runs_others: bool = True) -> None:
        self.time += seconds
        for _ in range(50 if runs_others else 0):
            eventlet.sleep(0.001)

    def sleep(self, seconds: float) -> None:
        """Sleep until the clock was advanced far enough."""
        until = self.now() + seconds
        while self.now() < until:
            eventlet.sleep(0.001)


def wait_for(condition) -> None:
    with eventlet.Timeout(WAIT_S):
        while not condition():
            eventlet.sleep(0.001)


class Stop:
    """The process of an entry on loopback, and its planned stop."""

    def __init__(self, entry, fake_clock, **changes) -> None:
        self.entry, self.clock = entry, fake_clock
        self.process = DirectEntryProcess.__new__(DirectEntryProcess)
        self.process.settings = DirectEntrySettings.model_validate(SETTINGS | changes)
        self.process.board = entry.board
        self.process.flow = entry.flow
        self.process.caller_server = entry.server
        self.process.start_watch = SimpleNamespace(apply_settings=lambda _: None)
        self.process.withdrawing = False
        entry.server.is_leaving = self.process.is_leaving
        self.ended = None

    def begin(self) -> None:
        """Do what the process does after SIGTERM."""
        self.process.begin_stop(clock.now())
        self.ended = eventlet.spawn(self.process.shut_down)
        eventlet.sleep(0)

    def run(self) -> None:
        """Run the process, whose other components are not needed, until a signal."""
        idle = SimpleNamespace(start=lambda: None)
        for name in ("rpc", "gossip", "follower", "readiness", "admin", "reloader"):
            setattr(self.process, name, idle)
        self.process.start_watch = idle
        self.process.sweep_connections = lambda: None
        self.entry.server.start = lambda: None  # it runs already
        self.ended = eventlet.spawn(self.process.run)
        eventlet.sleep(0)

    def connections(self) -> set[CallerConnection]:
        return self.entry.server.connections

    def end(self) -> None:
        if self.ended is not None:
            self.ended.kill()
        if self.entry.server.socket.fileno() >= 0:
            self.entry.close()


class Gates:
    """Lets a back end send the rest of its answer when the test opens a gate."""

    def __init__(self, backend) -> None:
        self.event = eventlet.event.Event()
        self.backend = backend
        backend.serve = self.serve

    def open(self) -> None:
        self.event.send()

    def serve(self, connection) -> None:
        while data := connection.recv(65536):
            self.backend.requests.append(data)
            for part in self.backend.responses.pop(0):
                if part == GATE:
                    self.event.wait()
                elif part == CLOSE:
                    connection.close()
                    return
                else:
                    connection.sendall(part)


def order(left=LONG, close=False) -> bytes:
    return request("/order/x", "POST", b"ink", [left], close=close)


def ask_request(left=LONG, close=False) -> bytes:
    return request("/ask/x", "POST", b"p", ["x-model: m", left], close=close)


def assert_refused(response: bytes) -> None:
    assert response.startswith(b"HTTP/1.1 503"), response[:200]
    assert b"retry-after:" in response.lower()
