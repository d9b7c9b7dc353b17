"""Serving WSGI applications on green sockets, within limits on each caller."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any

import eventlet
import eventlet.wsgi

from . import clock
from .listen import listen

StartResponse = Callable[..., Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

MAX_HEADER_LINE_BYTES = 8192
MAX_CONNECTIONS = 4096

logger = logging.getLogger("primroselever.http")


@dataclass(frozen=True, slots=True)
class Limits:
    """
    How long a connection may take, in seconds.

    ``idle_s`` bounds the wait for a request line and the silence within a body,
    ``headers_s`` all headers together and ``body_s`` the whole body, so that a
    sender of a byte now and then is let go as well.
    """

    idle_s: float = 30.0
    headers_s: float = 10.0
    body_s: float = 30.0


class BoundedProtocol(eventlet.wsgi.HttpProtocol):
    """HTTP on one connection, within the limits of its server."""

    def __init__(self, owner: HttpServer, conn_state: Any, server: Any) -> None:
        self.owner = owner
        super().__init__(conn_state, server)

    def _read_request_line(self) -> Any:
        """Return the request line, or nothing when it does not come in time."""
        with eventlet.Timeout(self.owner.limits.idle_s, False):
            return super()._read_request_line()
        return b""

    def parse_request(self) -> bool:
        """Read the headers; answer 408 when they do not come in time."""
        with eventlet.Timeout(self.owner.limits.headers_s, False):
            return super().parse_request()
        self.send_error(HTTPStatus.REQUEST_TIMEOUT)
        return False

    def send_error(self, code: int, message: Any = None, explain: Any = None) -> None:
        """Answer what cannot be read as HTTP, in HTTP, and close."""
        status = f"HTTP/1.1 {int(code)} {HTTPStatus(code).phrase}"
        lines = (status, "Connection: close", "Content-Length: 0", "", "")
        self.wfile.write("\r\n".join(lines).encode())
        self.close_connection = 1

    def get_environ(self) -> Any:
        """Return the environment, with a body that is bounded in time."""
        environ = super().get_environ()
        body = environ["wsgi.input"]
        body.read = partial(
            self.read_body, body.read, clock.now() + self.owner.limits.body_s
        )
        return environ

    def read_body(
        self, read: Callable[[int | None], bytes], deadline: float, length: Any = None
    ) -> bytes:
        """Read from the body; one that does not come in time ends short."""
        with eventlet.Timeout(max(0.0, deadline - clock.now()), False):
            return read(length)
        self.connection.shutdown(socket.SHUT_RD)
        return b""

    def handle_one_response(self) -> None:
        """Answer a request, counted until its last byte is written."""
        self.owner.in_flight += 1
        try:
            super().handle_one_response()
        finally:
            self.owner.in_flight -= 1

    def log_message(self, format: str, *args: Any) -> None:
        """Log what the library says of malformed requests as the rest is logged."""
        logger.debug(format, *args)


class HttpServer:
    """
    One WSGI application on one address.

    ``in_flight`` counts the requests that are not yet answered to the last byte.
    """

    def __init__(
        self,
        application: Application,
        host: str,
        port: int,
        limits: Limits | None = None,
    ) -> None:
        self.application = application
        self.limits = limits or Limits()
        self.in_flight = 0
        self.socket = listen(host, port)
        self.host, self.port = self.socket.getsockname()
        self.greenlet: Any = None

    def start(self) -> None:
        """Serve in a greenlet of its own."""
        self.greenlet = eventlet.spawn(
            eventlet.wsgi.server,
            self.socket,
            self.application,
            log=logger,
            log_output=False,
            keepalive=self.limits.idle_s,
            socket_timeout=self.limits.idle_s,
            url_length_limit=MAX_HEADER_LINE_BYTES,
            max_size=MAX_CONNECTIONS,
            minimum_chunk_size=1,
            protocol=partial(BoundedProtocol, self),
            debug=False,
        )

    def stop(self) -> None:
        """Stop accepting connections."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.socket.close()
