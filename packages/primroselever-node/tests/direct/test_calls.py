"""Short calls whose answers may be large, over links that may be busy."""

from __future__ import annotations

import eventlet
import pytest

from primroselever_node.direct import calls
from primroselever_node.direct.calls import HttpCaller
from primroselever_node.direct.exchange import ExchangeTimeoutError

PARTS = 6
PART_INTERVAL_S = 0.03


@pytest.fixture
def slow_server():
    """A server that sends the parts of a body at intervals, and stalls when told to."""
    listener = eventlet.listen(("127.0.0.1", 0))
    state = {"stalls": False}

    def serve() -> None:
        while True:
            connection, _address = listener.accept()
            eventlet.spawn_n(answer, connection)

    def answer(connection) -> None:
        connection.recv(65536)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % PARTS
        connection.sendall(head)
        for _ in range(PARTS):
            eventlet.sleep(3600 if state["stalls"] else PART_INTERVAL_S)
            connection.sendall(b"x")

    eventlet.spawn_n(serve)
    return listener.getsockname(), state


def call(address, transfer_s: float):
    return HttpCaller().call(
        address, "GET", "/", timeout_s=0.05, max_bytes=PARTS, transfer_s=transfer_s
    )


def test_a_large_answer_may_take_longer_while_bytes_arrive(slow_server):
    # Each attempt that a timeout cut off added to the load of the link, so that a
    # large configuration never arrived while the link was busy.
    address, _state = slow_server
    assert call(address, 3.0).body == b"x" * PARTS
    with pytest.raises(ExchangeTimeoutError):
        call(address, 0.0)
    with pytest.raises(ExchangeTimeoutError):
        call(address, PART_INTERVAL_S)


def test_a_transfer_that_stalls_is_ended(slow_server, monkeypatch):
    monkeypatch.setattr(calls, "PROGRESS_S", 0.05)
    address, state = slow_server
    state["stalls"] = True
    with eventlet.Timeout(1.0), pytest.raises(ExchangeTimeoutError):
        call(address, 60.0)
