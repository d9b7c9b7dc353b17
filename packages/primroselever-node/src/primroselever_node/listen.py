"""Listening sockets whose connections send small writes without delay."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import eventlet

from .exceptions import ListenError

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

BACKLOG = 1024


def listen(host: str, port: int) -> GreenSocket:
    """
    Return a listening socket; port 0 selects any free port.

    Accepted connections inherit TCP_NODELAY. With Nagle's algorithm a small write
    would wait up to 40 ms until the previous one is acknowledged. If another process
    listens on the port, raise ``ListenError``. With eventlet's default the two would
    share the port and each would receive some of the connections.
    """
    try:
        listener = eventlet.listen((host, port), backlog=BACKLOG, reuse_port=False)
    except OSError as exc:
        message = f"cannot listen on {host}:{port}: {exc.strerror}; is the port in use?"
        raise ListenError(message) from exc
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener
