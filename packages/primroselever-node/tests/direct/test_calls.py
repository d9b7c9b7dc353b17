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


def plain_answer(status: int, body: bytes = b"") -> bytes:
    """Return an answer, which names no request."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (
        status,
        len(body),
        body,
    )


def make_call(caller: HttpCaller, server):
    return caller.call(server.address, "GET", "/", timeout_s=0.5, max_bytes=9)


# Guards against a call that was accepted and is taken for refused: a server writes an
# earlier refusal once more in front of its answer, and neither names its call.
@pytest.mark.parametrize("status", [404, 409, 429, 503])
def test_a_connection_with_a_refused_call_is_not_used_again(status):
    answers = [plain_answer(status), plain_answer(200, b"yes")]
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve(connection) -> None:
        earlier = b""
        while connection.recv(65536):
            answer = answers.pop(0)
            connection.sendall(earlier + answer)
            earlier = answer

    def run() -> None:
        while True:
            eventlet.spawn(serve, listener.accept()[0])

    eventlet.spawn(run)
    caller, address = HttpCaller(), listener.getsockname()
    first, second = (
        caller.call(address, "GET", "/", timeout_s=0.5, max_bytes=9) for _ in range(2)
    )
    assert first.status == status
    assert second.body == b"yes"


# Guards against connections that are each opened anew: they are priced.
def test_a_connection_with_an_accepted_call_is_kept(server):
    caller = HttpCaller()
    server.script = [plain_answer(200), plain_answer(304), plain_answer(200)]
    assert [make_call(caller, server).status for _ in range(3)] == [200, 304, 200]
    assert server.accepted == 1


# Guards against a call that gets the answer of an earlier one, where that does harm.
def test_no_connection_is_used_again_after_it_was_discarded(server):
    caller = HttpCaller()
    server.script = [plain_answer(200), plain_answer(200)]
    make_call(caller, server)
    caller.discard_connections()
    make_call(caller, server)
    assert server.accepted == 2


# Guards against a connection that is kept because a call still used it at that time.
def test_a_connection_in_use_is_discarded_after_its_call(slow_server):
    address, _state = slow_server
    caller = HttpCaller()
    call_in_progress = eventlet.spawn(
        caller.call, address, "GET", "/", timeout_s=2.0, max_bytes=PARTS
    )
    eventlet.sleep(0)
    caller.discard_connections()
    assert call_in_progress.wait().body == b"x" * PARTS
    assert not any(caller.pool.idle.values())
