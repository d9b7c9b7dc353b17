"""Listening sockets whose connections send small writes at once."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import eventlet

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

BACKLOG = 1024


def listen(host: str, port: int) -> GreenSocket:
    """
    Return a listening socket; port 0 takes any free port.

    Accepted connections inherit the option: with Nagle's algorithm a small write
    would wait until the one before it was acknowledged, up to 40 ms.
    """
    listening = eventlet.listen((host, port), backlog=BACKLOG)
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listening
