"""The server that accepts connections from callers."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING

import eventlet
from opentelemetry.metrics import get_meter

from primroselever_core.dispatch.buffers import (
    DEFAULT_REQUESTS_BYTES,
    BufferAccount,
)
from primroselever_node.listen import listen
from primroselever_node.metrics import register_gauge

from .caller_connection import CallerConnection, is_readable
from .caller_writes import WRITE_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.catalogue.model import Address, CallerLimits

    from .caller_request import CallerRequest
    from .header_names import HeaderNames

    RequestHandler = Callable[[CallerRequest, CallerConnection], None]

# The kernel also ends the connection of a caller that acknowledges but has read nothing
# for this long, which only WRITE_TIMEOUT_S is to do.
TCP_USER_TIMEOUT_MS = round(1000 * WRITE_TIMEOUT_S) + 1000
# What the kernel holds of a response for a slow caller. Without a bound it grows to
# megabytes for each connection.
SEND_BUFFER_BYTES = 65536
ACCEPT_RETRY_S = 0.05  # after a failure, such as a lack of descriptors

logger = logging.getLogger(__name__)


class CallerServer:
    """
    Accepts connections from callers and passes their requests to ``handle``.

    ``request_buffers`` accounts for the bodies of all requests, up to
    ``request_buffers_bytes``.
    """

    def __init__(
        self,
        address: Address,
        names: HeaderNames,
        limits: Callable[[], CallerLimits],
        handle: RequestHandler,
        is_leaving: Callable[[], bool],
        request_buffers_bytes: int = DEFAULT_REQUESTS_BYTES,
    ) -> None:
        self.names = names
        self.limits = limits
        self.handle = handle
        self.is_leaving = is_leaving
        self.socket = listen(*address)
        self.connections: set[CallerConnection] = set()
        self.in_flight = 0
        self.closing = False
        self.request_buffers = BufferAccount(request_buffers_bytes)
        meter = get_meter("primroselever.direct")
        self.slow_callers = meter.create_counter(
            "primroselever.direct.slow_callers",
            "{request}",
            "Requests that ended because their caller was slow, by cause",
        )
        register_gauge(
            meter,
            "primroselever.direct.request_buffers",
            "By",
            "Bodies of all requests in progress",
            lambda: self.request_buffers.held_bytes,
        )

    def count_slow_caller(self, cause: str) -> None:
        """Count a request that ended because its caller, or many callers, are slow."""
        self.slow_callers.add(1, {"cause": cause})

    def start(self) -> None:
        """Start accepting connections in a separate greenlet."""
        self.acceptor = eventlet.spawn(self.accept_connections)

    def accept_connections(self) -> None:
        """Accept connections until the process ends."""
        while True:
            if not self.accept_connection():
                eventlet.sleep(ACCEPT_RETRY_S)

    def accept_connection(self) -> bool:
        """Accept the next connection and serve it; return whether this succeeded."""
        try:
            sock, _address = self.socket.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        except OSError as exc:
            logger.warning(
                "cannot accept a connection from a caller", extra={"error": str(exc)}
            )
            return False
        connection = CallerConnection(self, sock)
        self.connections.add(connection)
        eventlet.spawn(connection.serve)
        return True

    def close_idle_connections(self) -> None:
        """
        Close idle connections; the others close after their current request.

        Connections that callers opened before this are accepted first, and have some
        time for their first request.
        """
        self.accept_waiting()
        self.closing = True
        for connection in list(self.connections):
            connection.busy_at_close = True
            connection.close_when_idle()

    def accept_waiting(self) -> None:
        """Accept the connections that callers have opened."""
        while is_readable(self.socket) and self.accept_connection():
            pass

    def stop_accepting(self) -> None:
        """
        Let callers open no more connections, some time before the process ends.

        A connection that waits to be accepted at the end would be reset, although its
        caller may have sent a request.
        """
        self.acceptor.kill()
        self.accept_waiting()
        self.socket.close()

    def answer_unfinished(self) -> None:
        """Answer the requests without a response before the process ends."""
        for connection in list(self.connections):
            eventlet.spawn(connection.answer_at_end)

    def unfinished_count(self) -> int:
        """Return how many connections have a request that must still be answered."""
        return sum(
            connection.processing or connection.busy_at_close
            for connection in self.connections
        )
