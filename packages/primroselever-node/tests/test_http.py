from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import eventlet
import pytest

from primroselever_node.http import HttpServer, Limits

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

SHORT = Limits(idle_s=5.0, headers_s=0.05, body_s=0.05)


def echo(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length)
    status = "200 OK" if len(body) == length else "400 Bad Request"
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]


@pytest.fixture
def server() -> Iterator[HttpServer]:
    server = HttpServer(echo, "127.0.0.1", 0, SHORT)
    server.start()
    yield server
    server.stop()


def send_request(server: HttpServer, sent: bytes, *, ends: bool = False) -> bytes:
    """
    Send bytes and return all data received until the server closes.

    If ``ends`` is set, the server sees the end of the connection behind the bytes.
    """
    with socket.create_connection((server.host, server.port), timeout=10) as sock:
        sock.sendall(sent)
        if ends:
            sock.shutdown(socket.SHUT_WR)
        received = b""
        while data := sock.recv(65536):
            received += data
    return received


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"POST / HTTP/1.1\r\nHost: a\r\nSlow: ", b"408"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", b"400"),
        (b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n\r\n", b"414"),
        (b"GET / HTTP/1.1\r\nLong: " + b"a" * 9000 + b"\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 200 + b"\r\n", b"431"),
        (b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nContent-Length: many\r\n\r\n", b"400"),
        (b"\x16\x03\x01\x02\x00 no HTTP at all\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n0\r\n\r\n",
            b"400",
        ),
    ],
)
def test_malformed_and_slow_requests_get_a_4xx_status(
    server: HttpServer, sent: bytes, status: bytes
) -> None:
    received = send_request(server, sent)

    assert status in received.splitlines()[0], received
    assert b"Traceback" not in received
    assert server.in_flight == 0


def test_each_piece_of_a_streamed_response_is_sent_immediately() -> None:
    first_received = eventlet.event.Event()

    def stream(environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        start_response("200 OK", [])
        yield b"first"
        first_received.wait()
        yield b"second"

    server = HttpServer(stream, "127.0.0.1", 0, Limits())
    server.start()
    with socket.create_connection((server.host, server.port), timeout=5) as sock:
        sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
        received = b""
        while b"first" not in received:
            received += sock.recv(65536)
        in_flight_before_end = server.in_flight
        first_received.send()
        while data := sock.recv(65536):
            received += data
    server.stop()

    assert in_flight_before_end == 1
    assert received.endswith(b"second")


# Guards against a request that is run without its body, and with a part of a header,
# because its caller ended the connection inside the head.
def test_a_request_whose_head_is_cut_is_not_run() -> None:
    bodies = []

    def record(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        bodies.append(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = HttpServer(record, "127.0.0.1", 0, Limits())
    server.start()
    head = b"POST /calls/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
    for size in range(len(head)):
        answer = send_request(server, head[:size], ends=True)
        assert not answer or b" 400 " in answer.splitlines()[0]
    assert bodies == []
    send_request(server, head + b"ink", ends=True)
    send_request(server, head.replace(b"\r\n", b"\n") + b"ink", ends=True)
    assert bodies == [b"ink", b"ink"]
    server.stop()
