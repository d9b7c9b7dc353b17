"""
An HTTP server for WSGI applications with limits for each connection.

The library limits the bytes of a head: 8 KiB for each line, 64 KiB and 100 headers for
all. This module limits what it does not: the time of a head and of a body, the lines of
chunks and trailers, and how much of a body that the application left is discarded.
Other greenlets run while a caller sends faster than it is read.
"""

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
from .listen import listen_and_retry
from .read_turn import ReadTurn

StartResponse = Callable[..., Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

MAX_REQUEST_LINE_BYTES = 8192
MAX_CONNECTIONS = 4096
# Lines of chunk sizes and of trailers may have this many bytes more than the body.
MAX_FRAMING_BYTES = 65536
# Of a body that the application did not read; longer ones end the connection. A caller
# whose body is a few times the default limit of entries, 1 MiB, still gets its refusal.
MAX_DISCARD_BYTES = 8 << 20
DISCARD_READ_BYTES = 16384

logger = logging.getLogger("primroselever.http")


@dataclass(frozen=True, slots=True)
class Limits:
    """
    The time limits of a connection, in seconds.

    ``idle_s`` limits the wait for a request line and for more data of a body,
    ``headers_s`` the time for all headers and ``body_s`` the time for the whole body.
    The latter two also end connections that send a byte at a time to stay open.
    """

    idle_s: float = 30.0
    headers_s: float = 10.0
    body_s: float = 30.0


class HeadLines:
    """
    The lines of the head of a request; ``is_cut`` is set if it has no end.

    The parser takes the end of the connection for the end of the head, and the part of
    a line for a line.
    """

    def __init__(self, reader: Any) -> None:
        self.reader = reader
        self.is_cut = False

    def readline(self, size: int = -1) -> bytes:
        """Return a line, or the part of one that precedes the end."""
        line = bytes(self.reader.readline(size))
        self.is_cut = not line.endswith(b"\n")
        return line


class BodyLimitError(eventlet.wsgi.ChunkReadError):
    """A body exceeds a limit of its framing, or of what is discarded."""


class BodyReader:
    """
    Reads the body of a request from its connection, chunk lines and trailers included.

    ``line_bytes_left`` is how many bytes of lines may still be read; what is read of
    the body adds to it. ``bytes_left`` limits all bytes, unless it is None.
    """

    def __init__(self, reader: Any) -> None:
        self.reader = reader
        self.line_bytes_left = MAX_FRAMING_BYTES
        self.bytes_left: int | None = None
        self.turn = ReadTurn()

    def readline(self, size: int = -1) -> bytes:
        """Return a line, or raise ``BodyLimitError`` if there were too many bytes."""
        self.turn.check()
        limit = self.line_bytes_left + 1
        if 0 <= size < limit:
            limit = size
        line = bytes(self.reader.readline(limit))
        self.line_bytes_left -= len(line)
        if self.line_bytes_left < 0:
            raise BodyLimitError("too many bytes in lines of chunks and trailers")
        self.count(line)
        return line

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes of the body, or fewer at the end of the connection."""
        self.turn.check()
        data = bytes(self.reader.read(size))
        self.line_bytes_left += len(data)
        self.count(data)
        return data

    def count(self, data: bytes) -> None:
        """Count bytes, or raise ``BodyLimitError`` if there were too many."""
        if self.bytes_left is None:
            return
        self.bytes_left -= len(data)
        if self.bytes_left < 0:
            raise BodyLimitError(f"more than {MAX_DISCARD_BYTES} bytes to discard")


class BoundedProtocol(eventlet.wsgi.HttpProtocol):
    """The HTTP protocol of one connection, with the limits of its server."""

    rfile: Any

    def __init__(self, http_server: HttpServer, conn_state: Any, server: Any) -> None:
        self.http_server = http_server
        super().__init__(conn_state, server)

    def _read_request_line(self) -> Any:
        """
        Return the request line, or ``b""`` if it does not arrive in time.

        Other greenlets run before it: a caller may send requests without waiting for
        their responses, and then no read waits.
        """
        eventlet.sleep(0)
        with eventlet.Timeout(self.http_server.limits.idle_s, False):
            return super()._read_request_line()
        return b""

    def parse_request(self) -> bool:
        """
        Parse the headers; respond with 408 if they do not arrive in time.

        A head that ends with its connection is refused: the header of the length, and
        with it the body, may be missing.
        """
        lines = self.rfile = HeadLines(self.rfile)
        with eventlet.Timeout(self.http_server.limits.headers_s, False):
            is_parsed = super().parse_request()
            if is_parsed and lines.is_cut:
                self.send_error(HTTPStatus.BAD_REQUEST)
                return False
            return is_parsed
        self.send_error(HTTPStatus.REQUEST_TIMEOUT)
        return False

    def send_error(self, code: int, message: Any = None, explain: Any = None) -> None:
        """Respond to a malformed request without a body; close the connection."""
        status = f"HTTP/1.1 {int(code)} {HTTPStatus(code).phrase}"
        lines = (status, "Connection: close", "Content-Length: 0", "", "")
        self.wfile.write("\r\n".join(lines).encode())
        self.close_connection = 1

    def get_environ(self) -> Any:
        """Return the WSGI environment, with a time limit on reading the body."""
        environ = super().get_environ()
        body = environ["wsgi.input"]
        body.rfile = BodyReader(body.rfile)
        body.read = partial(
            self.read_body, body.read, clock.now() + self.http_server.limits.body_s
        )
        body.discard = partial(self.discard_body, body)
        return environ

    def read_body(
        self, read: Callable[[int | None], bytes], deadline: float, length: Any = None
    ) -> bytes:
        """Read from the body; return ``b""`` if it does not arrive in time."""
        with eventlet.Timeout(max(0.0, deadline - clock.now()), False):
            return read(length)
        self.connection.shutdown(socket.SHUT_RD)
        # What is left in the buffer belongs to the body and is no request.
        self.close_connection = 1
        return b""

    def discard_body(self, body: Any) -> None:
        """Read what the application left of a body, or close the connection."""
        body.rfile.bytes_left = MAX_DISCARD_BYTES
        try:
            while body.read(DISCARD_READ_BYTES):
                pass
        except BodyLimitError as exc:
            self.close_connection = 1
            logger.info("closed the connection of %s: %s", self.client_address[0], exc)

    def handle_one_response(self) -> None:
        """Serve a request and count it as in flight until it is written completely."""
        self.http_server.in_flight += 1
        try:
            super().handle_one_response()
        finally:
            self.http_server.in_flight -= 1

    def log_message(self, format: str, *args: Any) -> None:
        """Send the library's messages on malformed requests to this module's logger."""
        logger.debug(format, *args)


class HttpServer:
    """
    Serves one WSGI application on one address.

    ``in_flight`` counts the requests whose response is not yet written completely.
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
        self.socket = listen_and_retry(host, port)
        self.host, self.port = self.socket.getsockname()
        self.greenlet: Any = None

    def start(self) -> None:
        """Start serving in a greenlet."""
        self.greenlet = eventlet.spawn(
            eventlet.wsgi.server,
            self.socket,
            self.application,
            log=logger,
            log_output=False,
            keepalive=self.limits.idle_s,
            socket_timeout=self.limits.idle_s,
            url_length_limit=MAX_REQUEST_LINE_BYTES,
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
