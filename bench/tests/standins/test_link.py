from __future__ import annotations

import json
import socket
from typing import TYPE_CHECKING, Any

import eventlet
import pytest

from bench.layout import free_ports
from bench.standins.base import Request
from bench.standins.link import Links

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST = "127.0.0.1"


@pytest.fixture
def link() -> Iterator[tuple[Links, int]]:
    """A link to a server that echoes."""

    def echo(sock: Any, _address: object) -> None:
        while data := sock.recv(1000):
            sock.sendall(data)

    listener = eventlet.listen((HOST, 0))
    server = eventlet.spawn(eventlet.serve, listener, echo)
    (port,) = free_ports(1)
    target = [HOST, listener.getsockname()[1]]
    yield (
        Links(links=[{"path": "a>b", "host": HOST, "port": port, "target": target}]),
        port,
    )
    server.kill()


def control(links: Links, **fields: list[str]) -> None:
    links.control(Request("POST", "/control", {}, {}, json.dumps(fields).encode()))


def echoes(sock: socket.socket) -> bool:
    """Send something; tell whether it comes back before the socket gives up."""
    sock.sendall(b"hello")
    try:
        return sock.recv(5) == b"hello"
    except TimeoutError:
        return False


def connect(port: int) -> socket.socket:
    return socket.create_connection((HOST, port), timeout=0.2)


def test_open_connections_go_silent_while_new_ones_work(
    link: tuple[Links, int],
) -> None:
    links, port = link
    old = connect(port)
    assert echoes(old)

    control(links, silence=["a>b"])

    assert not echoes(old)
    assert echoes(connect(port))
    assert not echoes(old)


def test_a_cut_silences_all_and_a_heal_only_lets_new_ones_work(
    link: tuple[Links, int],
) -> None:
    links, port = link
    old = connect(port)
    assert echoes(old)

    control(links, cut=["a>b"])
    during = connect(port)
    assert not echoes(old)
    assert not echoes(during)

    control(links, heal=["a>b"])
    assert not echoes(old)
    assert not echoes(during)
    assert echoes(connect(port))


def test_a_closed_connection_is_forgotten(link: tuple[Links, int]) -> None:
    links, port = link
    sock = connect(port)
    assert echoes(sock)

    sock.close()
    while links.counters()["open"]["a>b"]:
        eventlet.sleep(0)

    assert links.counters()["open"] == {"a>b": 0}
