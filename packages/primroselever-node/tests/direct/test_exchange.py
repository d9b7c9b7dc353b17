"""HTTP exchanges and the connection pool, against a server with scripted answers."""

from __future__ import annotations

import socket
import struct
from contextlib import nullcontext, suppress

import eventlet
import pytest
from eventlet.greenio import GreenSocket

from primroselever_node import clock
from primroselever_node.direct import exchange as exchange_module
from primroselever_node.direct.calls import HttpCaller
from primroselever_node.direct.connection_pool import ConnectionPool, allowed_idle_s
from primroselever_node.direct.exchange import (
    ConnectError,
    ExchangeTimeoutError,
    HttpConnection,
)
from primroselever_node.direct.responses import (
    AnswerTooLargeError,
    BrokenExchangeError,
    MalformedAnswerError,
)

MAX_BYTES = 1000
FLOOD = b"x" * 100
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok"


def exchange(server, request_id: bytes = b"r1", timeout_s: float = 1.0):
    deadline = clock.now() + timeout_s
    connection = HttpConnection(server.address, deadline)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"", deadline)
    head = connection.read_head(deadline, request_id, b"request-id")
    return connection, head, connection.read_body(deadline, MAX_BYTES)


def test_a_complete_answer_is_read_and_its_connection_kept(server):
    server.script = [OK]
    connection, head, body = exchange(server)
    assert (head.status_code, body) == (200, b"ok")
    assert connection.prepare_for_reuse(1.0)


def test_extra_bytes_after_an_answer_end_the_connection(server):
    server.script = [OK + OK]
    connection, _head, _body = exchange(server)
    assert not connection.prepare_for_reuse(1.0)


def test_an_extra_answer_to_an_earlier_request_is_skipped(server):
    server.script = [OK.replace(b"r1", b"r0").replace(b"ok", b"no") + OK]
    connection, head, body = exchange(server)
    assert (head.status_code, body) == (200, b"ok")
    assert not connection.prepare_for_reuse(1.0)


def test_an_answer_without_length_ends_with_its_connection(server):
    server.script = [b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nwhole"]
    server.close = True
    assert exchange(server)[2] == b"whole"


def test_an_answer_without_length_that_is_reset_is_incomplete(server):
    server.script = [b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhalf"]
    server.reset = True
    with pytest.raises(BrokenExchangeError):
        exchange(server)


def test_an_answer_shorter_than_its_length_is_incomplete(server):
    server.script = [OK[:-1]]
    server.close = True
    with pytest.raises(MalformedAnswerError):
        exchange(server)


def test_bytes_that_are_no_answer_raise_an_error(server):
    server.script = [b"garbage\r\n\r\n"]
    with pytest.raises(MalformedAnswerError):
        exchange(server)


def test_a_silent_server_raises_an_error_at_the_deadline(server):
    server.script = [b""]
    with pytest.raises(ExchangeTimeoutError):
        exchange(server, timeout_s=0.05)


# Guards against errors of the socket that are no ``OSError`` and end the caller's loop.
@pytest.mark.parametrize(
    "address",
    [("127.0.0.1", 65536), ("127.0.0.1", -1), ("127.0.0.1", 10**9), ("a\0b", 80)],
)
def test_an_address_that_none_can_have_is_one_without_a_connection(address):
    with pytest.raises(ConnectError):
        HttpConnection(address, clock.now() + 1.0)


def test_a_port_without_a_listener_raises_a_connect_error(server):
    server.socket.close()
    with pytest.raises(ConnectError):
        exchange(server)


# Guards against sound servers that are ejected because this process did not run while
# a connection to them was opened.
def test_a_connection_that_opened_during_a_pause_of_the_process_is_used(
    server, monkeypatch
):
    connect = GreenSocket.connect

    def connect_late(sock, address):
        connect(sock, address)
        raise TimeoutError

    monkeypatch.setattr(GreenSocket, "connect", connect_late)
    server.script = [OK]
    _connection, head, body = exchange(server)
    assert (head.status_code, body) == (200, b"ok")


def test_a_connection_that_did_not_open_in_time_raises_a_connect_error(
    server, monkeypatch
):
    def time_out(sock, address):
        raise TimeoutError

    monkeypatch.setattr(GreenSocket, "connect", time_out)
    with pytest.raises(ConnectError):
        exchange(server)


def test_interrupting_a_connection_wakes_a_waiting_reader(server):
    server.script = [b""]
    deadline = clock.now() + 5
    connection = HttpConnection(server.address, deadline)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"", deadline)
    eventlet.spawn_after(0.02, connection.interrupt)
    with pytest.raises(BrokenExchangeError):
        connection.read_head(deadline, b"r1", b"request-id")
    connection.abort()


def test_a_kept_connection_is_reused_only_for_the_same_server(server):
    pool = ConnectionPool()
    server.script = [OK, OK]
    connection, _head, _body = exchange(server)
    pool.release_connection("a", connection, 1.0)
    deadline = clock.now() + 1
    assert (
        pool.acquire_connection("b", server.address, deadline, 60.0) is not connection
    )
    assert pool.acquire_connection("a", server.address, deadline, 60.0) is connection


def test_a_connection_that_idled_too_long_for_a_request_is_not_used(server):
    pool = ConnectionPool()
    server.script = [OK]
    connection, _head, _body = exchange(server)
    pool.release_connection("a", connection, 10.0)
    connection.last_used_at -= 1.0
    deadline = clock.now() + 1
    assert pool.acquire_connection("a", server.address, deadline, 0.5) is not connection
    assert pool.acquire_connection("a", server.address, deadline, 60.0) is connection


def test_a_connection_that_the_server_closed_is_not_used(server):
    pool = ConnectionPool()
    server.script = [OK]
    server.close = True
    connection, _head, _body = exchange(server)
    pool.release_connection("a", connection, 10.0)
    eventlet.sleep(0.02)
    assert (
        pool.acquire_connection("a", server.address, clock.now() + 1, 60.0)
        is not connection
    )


def test_connections_to_removed_servers_are_closed(server):
    pool = ConnectionPool()
    server.script = [OK]
    connection, _head, _body = exchange(server)
    pool.release_connection("a", connection, 10.0)
    pool.close_removed_servers({"b"})
    assert not pool.idle


def test_the_idle_time_is_the_servers_timeout_minus_a_margin():
    assert allowed_idle_s(b"timeout=5, max=100") == 4.5
    assert allowed_idle_s(b"timeout=0") == 0.0
    assert allowed_idle_s(b"") > 0


# Guards against answers that are read beyond any deadline: what has arrived after it is
# still read, but a peer that sends without end must not keep the exchange alive.
def test_a_peer_that_sends_without_end_does_not_outlast_the_deadline(monkeypatch):
    received = iter([b"HTTP/1.1 200 OK\r\n\r\n"])
    monkeypatch.setattr(
        exchange_module, "receive_bytes", lambda sock, deadline: next(received, FLOOD)
    )
    listener = eventlet.listen(("127.0.0.1", 0))
    connection = HttpConnection(listener.getsockname(), clock.now() + 1)
    deadline = clock.now() + 0.05
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"", deadline)
    stop_at = clock.now() + 2
    connection.read_head(deadline, b"", b"")
    with pytest.raises(ExchangeTimeoutError):
        while clock.now() < stop_at:
            connection.read_part(deadline)


def test_a_body_that_is_larger_than_its_limit_raises_an_error(server):
    server.script = [OK.replace(b": 2", b": %d" % (MAX_BYTES + 1)) + bytes(MAX_BYTES)]
    with pytest.raises(AnswerTooLargeError):
        exchange(server)


# Guards against a large body that is read a second time over a new connection.
def test_a_call_whose_answer_is_too_large_is_not_repeated(server):
    caller = HttpCaller()
    server.script = [OK, OK, OK]
    for max_bytes in (2, 1):
        with nullcontext() if max_bytes == 2 else pytest.raises(AnswerTooLargeError):
            caller.call(server.address, "GET", "/", timeout_s=1.0, max_bytes=max_bytes)
    assert server.accepted == 1


# Guards against half an answer that counts as complete because the error of a reset was
# returned to the write of the request, and the next read returns no bytes.
def test_an_answer_that_is_reset_while_its_request_is_written_is_incomplete():
    listener = eventlet.listen(("127.0.0.1", 0))

    def refuse_body() -> None:
        connection, _address = listener.accept()
        connection.recv(100)
        connection.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhalf")
        eventlet.sleep(0.02)
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()

    eventlet.spawn(refuse_body)
    deadline = clock.now() + 1
    connection = HttpConnection(listener.getsockname(), deadline)
    body = bytes(20_000_000)
    length = (b"Content-Length", str(len(body)).encode())
    with pytest.raises(BrokenExchangeError):
        connection.send(b"PUT", b"/", [(b"Host", b"h"), length], body, deadline)
        connection.read_head(deadline, b"r1", b"request-id")
        connection.read_body(deadline, MAX_BYTES)


# Guards against half an answer that counts as complete because a look for data took the
# error of a reset from the socket.
def test_a_reset_that_was_seen_by_a_look_for_data_is_not_forgotten(server):
    server.script = [b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhalf"]
    server.reset = True
    deadline = clock.now() + 1
    connection = HttpConnection(server.address, deadline)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"", deadline)
    connection.read_head(deadline, b"r1", b"request-id")
    assert not connection.wait_for_data()
    with pytest.raises(BrokenExchangeError):
        connection.read_body(deadline, MAX_BYTES)


# Guards against half an answer that counts as complete because this process shut its
# connection down.
def test_an_interrupted_answer_without_length_is_incomplete(server):
    server.script = [b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhalf"]
    deadline = clock.now() + 1
    connection = HttpConnection(server.address, deadline)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"", deadline)
    connection.read_head(deadline, b"r1", b"request-id")
    eventlet.spawn_after(0.02, connection.interrupt)
    with pytest.raises(BrokenExchangeError):
        connection.read_body(deadline, MAX_BYTES)


# Guards against other requests that wait while one peer sends faster than it is read:
# each read finds bytes, so that nothing else would run.
def test_reading_a_flood_lets_other_greenlets_run(monkeypatch):
    received = iter([b"HTTP/1.1 200 OK\r\n\r\n"])
    monkeypatch.setattr(
        exchange_module, "receive_bytes", lambda sock, deadline: next(received, FLOOD)
    )
    listener = eventlet.listen(("127.0.0.1", 0))
    deadline = clock.now() + 1
    connection = HttpConnection(listener.getsockname(), deadline)
    connection.send(b"GET", b"/", [(b"Host", b"h")], b"", deadline)
    connection.read_head(deadline, b"", b"")
    turns = []

    def run() -> None:
        while True:
            turns.append(1)
            eventlet.sleep(0)

    other = eventlet.spawn(run)
    for _ in range(200):
        connection.read_part(deadline)
    other.kill()
    assert len(turns) >= 10


# Guards against a request that is cancelled, and arrives complete nevertheless once the
# link is free: the system goes on to send what it holds of it.
@pytest.mark.parametrize("discards", [True, False])
def test_a_discarded_request_does_not_arrive_complete(discards):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    deadline = clock.now() + 1.0
    connection = HttpConnection(listener.getsockname(), deadline)
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    body = b"x" * 200_000
    headers = [(b"Host", b"h"), (b"Content-Length", b"%d" % len(body))]
    connection.send(b"POST", b"/", headers, body, deadline)
    accepted, _address = listener.accept()
    if discards:
        connection.discard_request()
    else:
        connection.abort()
    received = b""
    with suppress(ConnectionResetError):
        while data := accepted.recv(65536):
            received += data
    assert received.endswith(body) is not discards
