"""Listening sockets whose connections send small writes without delay."""

from __future__ import annotations

import errno
import logging
import socket
from typing import Any

import eventlet
from eventlet.greenio import GreenSocket

from .exceptions import ListenError

BACKLOG = 1024
ACCEPT_RETRY_S = 0.1
# Errors of the listening socket itself, as after it was closed.
LISTENER_ERRORS = (errno.EBADF, errno.EINVAL, errno.ENOTSOCK)

logger = logging.getLogger(__name__)


class RetryingListener(GreenSocket):
    """
    A listening socket that waits and tries again if a connection is not accepted.

    It may have been reset meanwhile, or the process has no free file descriptor.
    eventlet's servers end at such an error.
    """

    def accept(self) -> Any:
        """Return the next connection and its address; log connections that failed."""
        while True:
            try:
                return super().accept()
            except OSError as exc:
                if exc.errno in LISTENER_ERRORS:
                    raise
                logger.warning("a connection was not accepted: %s", exc)
            eventlet.sleep(ACCEPT_RETRY_S)


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


def listen_and_retry(host: str, port: int) -> RetryingListener:
    """Return a listening socket as ``listen`` does, for a server of eventlet."""
    listener = listen(host, port)
    duplicate = RetryingListener(listener.fd.dup())
    listener.close()
    return duplicate
