from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING, Any

import eventlet
import pytest

from primroselever_node.exceptions import ListenError
from primroselever_node.http import HttpServer
from primroselever_node.listen import listen, listen_and_retry
from primroselever_node.rpc.client_pool import ClientPool
from primroselever_node.rpc.publications import empty_publication
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.server import RpcServer

if TYPE_CHECKING:
    from collections.abc import Callable


def test_listening_twice_on_the_same_address_raises_an_error() -> None:
    first = listen("127.0.0.1", 0)
    port = first.getsockname()[1]
    first.close()
    first = listen("127.0.0.1", port)

    with pytest.raises(ListenError, match=f"127.0.0.1:{port}"):
        listen("127.0.0.1", port)
    first.close()


class NodeHandler:
    """Answers one call of the thrift service."""

    def fetch_publication(self, *_args: object) -> Any:
        return empty_publication()


def start_http_server() -> HttpServer:
    def answer(_environ: Any, start_response: Any) -> list[bytes]:
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = HttpServer(answer, "127.0.0.1", 0)
    server.start()
    return server


def start_rpc_server() -> RpcServer:
    server = RpcServer(schema.Node, NodeHandler(), "127.0.0.1", 0)
    server.start()
    return server


def call_http(server: Any) -> bool:
    """Return whether the HTTP server answers."""
    with socket.create_connection((server.host, server.port), timeout=5.0) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        return sock.recv(100).startswith(b"HTTP/1.1 200")


def call_rpc(server: Any) -> bool:
    """Return whether the thrift server answers."""
    pool = ClientPool(schema.Node)
    address = (server.host, server.port)
    reply = pool.call(address, "fetch_publication", "vms", 0, 0, "", timeout_s=5.0)
    return reply.revision == 0


@pytest.mark.parametrize(
    ("start_server", "call_server"),
    [(start_http_server, call_http), (start_rpc_server, call_rpc)],
)
@pytest.mark.parametrize(
    "error_number",
    [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.ECONNRESET],
)
def test_a_server_goes_on_after_a_connection_that_could_not_be_accepted(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    start_server: Callable[[], Any],
    call_server: Callable[[Any], bool],
    error_number: int,
) -> None:
    """
    A process may run out of file descriptors for a moment.

    The library's servers end at such an error. The process would run on, and refuse
    all connections until it is restarted.
    """
    accept = eventlet.greenio.base.socket_accept
    errors = [OSError(error_number, "not accepted") for _ in range(3)]

    def fail_then_accept(descriptor: Any) -> Any:
        if errors and descriptor.fileno() == server.socket.fileno():
            raise errors.pop()
        return accept(descriptor)

    monkeypatch.setattr("eventlet.greenio.base.socket_accept", fail_then_accept)
    server = start_server()

    answered = call_server(server)

    assert answered
    assert errors == []
    assert "not accepted" in caplog.text
    server.stop()


def test_accepting_from_a_closed_socket_raises_an_error() -> None:
    """Otherwise the greenlet of a stopped server would try again forever."""
    listener = listen_and_retry("127.0.0.1", 0)
    listener.fd.close()
    with eventlet.Timeout(5), pytest.raises(OSError, match="Bad file descriptor"):
        listener.accept()
