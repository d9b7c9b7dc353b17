"""Listening sockets whose connections send small writes at once."""

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
    Return a listening socket; port 0 takes any free port.

    Accepted connections inherit the option: with Nagle's algorithm a small write
    would wait until the one before it was acknowledged, up to 40 ms. A port that
    another process listens on is refused with ``ListenError``: with the library's
    default the two would share it, and each would get some of the connections.
    """
    try:
        listening = eventlet.listen((host, port), backlog=BACKLOG, reuse_port=False)
    except OSError as exc:
        message = f"cannot listen on {host}:{port}: {exc.strerror}; is it taken?"
        raise ListenError(message) from exc
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listening
