from __future__ import annotations

import json
import socket
from typing import TYPE_CHECKING, Any

import eventlet
import pytest

from bench.layout import allocate_ports
from bench.standins.base import Request
from bench.standins.link import Links

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST = "127.0.0.1"


@pytest.fixture
def echo_link() -> Iterator[tuple[Links, int]]:
    """Yield a link to an echo server, and its port."""

    def echo(sock: Any, _address: object) -> None:
        while data := sock.recv(1000):
            sock.sendall(data)

    listener = eventlet.listen((HOST, 0))
    server = eventlet.spawn(eventlet.serve, listener, echo)
    (port,) = allocate_ports(1)
    target = [HOST, listener.getsockname()[1]]
    yield (
        Links(links=[{"path": "a>b", "host": HOST, "port": port, "target": target}]),
        port,
    )
    server.kill()


def post_control(links: Links, **fields: list[str]) -> None:
    links.control(Request("POST", "/control", {}, {}, json.dumps(fields).encode()))


def echoes(sock: socket.socket) -> bool:
    """Return whether sent bytes come back before the socket times out."""
    sock.sendall(b"hello")
    try:
        return sock.recv(5) == b"hello"
    except TimeoutError:
        return False


def connect(port: int) -> socket.socket:
    return socket.create_connection((HOST, port), timeout=0.2)


def test_silence_stops_open_connections_but_not_new_ones(
    echo_link: tuple[Links, int],
) -> None:
    links, port = echo_link
    open_socket = connect(port)
    assert echoes(open_socket)

    post_control(links, silence=["a>b"])

    assert not echoes(open_socket)
    assert echoes(connect(port))
    assert not echoes(open_socket)


def test_a_cut_stops_all_connections_and_a_heal_restores_only_new_ones(
    echo_link: tuple[Links, int],
) -> None:
    links, port = echo_link
    open_socket = connect(port)
    assert echoes(open_socket)

    post_control(links, cut=["a>b"])
    socket_during_cut = connect(port)
    assert not echoes(open_socket)
    assert not echoes(socket_during_cut)

    post_control(links, heal=["a>b"])
    assert not echoes(open_socket)
    assert not echoes(socket_during_cut)
    assert echoes(connect(port))


def test_a_closed_connection_is_no_longer_counted(echo_link: tuple[Links, int]) -> None:
    links, port = echo_link
    sock = connect(port)
    assert echoes(sock)

    sock.close()
    while links.counters()["open"]["a>b"]:
        eventlet.sleep(0)

    assert links.counters()["open"] == {"a>b": 0}
