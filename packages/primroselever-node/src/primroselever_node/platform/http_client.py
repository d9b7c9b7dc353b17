"""The urllib3 pool that all HTTP clients of this package use."""

from __future__ import annotations

import http.client
import io
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import urllib3
from eventlet.greenio import GreenSocket
from eventlet.hubs import trampoline
from urllib3.connection import HTTPConnection

if TYPE_CHECKING:
    import socket

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65536
MAX_INFORMATIONAL_RESPONSES = 16  # as in direct deployments


class ReplyTooLargeError(urllib3.exceptions.HTTPError):
    """The body of a reply is larger than the limit in bytes for its kind."""


class ResetDetectingSocket(GreenSocket):
    """
    A green socket whose reads raise ``ConnectionResetError`` after a reset.

    Those of its base class return no bytes then, as at an orderly end, so a response
    without a length would look complete. The same holds for a read after a write that
    met the reset.
    """

    was_reset = False
    original: Any = None

    def send(self, data: Any, flags: int = 0) -> int:
        """Send bytes; remember a reset that this meets."""
        try:
            return super().send(data, flags)
        except ConnectionError:
            self.was_reset = True
            raise

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into a buffer; return the number of bytes, 0 at an orderly end."""
        while True:
            try:
                count = self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                if self.act_non_blocking:
                    raise
                trampoline(
                    self.fd,
                    read=True,
                    timeout=self.gettimeout(),
                    timeout_exc=TimeoutError,
                )
                continue
            if not count and self.was_reset:
                raise ConnectionResetError("the connection was reset")
            return int(count)


class LineReader(io.BufferedReader):
    """
    A reader whose lines are whole; ``met_end`` is set if one was read at the end.

    The base class returns a line that the end of the connection cut off like any other,
    so that a part of a header, or of the size of a chunk, would count.
    """

    met_end = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line of at most ``size`` bytes, empty at an orderly end."""
        line = super().readline(-1 if size is None else size)
        self.met_end = not line
        is_limited = size is not None and 0 <= size <= len(line)
        if line and not line.endswith(b"\n") and not is_limited:
            raise http.client.RemoteDisconnected("the connection ended within a line")
        return line


class WholeHeadResponse(http.client.HTTPResponse):
    """
    A response that is an error if the connection ends inside its head.

    The base class takes that end for the end of the head. Without the header of the
    length, an empty body would be complete.
    """

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp: Any = LineReader(self.fp.detach())

    def begin(self) -> None:
        """
        Read the head, and skip the heads of informational responses before it.

        The base class skips those with status 100 only, and takes any other for the
        response itself, which has no body then.
        """
        for _index in range(MAX_INFORMATIONAL_RESPONSES + 1):
            self.begin_next()
            if self.status >= HTTPStatus.OK:
                return
            self.headers = self.msg = None  # type: ignore[assignment]
        raise http.client.HTTPException("too many informational responses")

    def begin_next(self) -> None:
        """Read the next head."""
        reader = self.fp
        super().begin()
        if reader.met_end:
            raise http.client.RemoteDisconnected("the connection ended within a head")


class ResetDetectingConnection(HTTPConnection):
    """A connection whose responses end early if it is reset."""

    response_class = WholeHeadResponse

    def _new_conn(self) -> socket.socket:
        """Return a new connected socket."""
        sock: Any = super()._new_conn()
        detecting_sock = ResetDetectingSocket(sock.fd)
        detecting_sock.settimeout(sock.gettimeout())
        # It closes the descriptor that both share when it is collected.
        detecting_sock.original = sock
        return detecting_sock


class ResetDetectingPool(urllib3.HTTPConnectionPool):
    """A pool of such connections to one host."""

    ConnectionCls = ResetDetectingConnection


def new_http_pool(connections: int = 16) -> urllib3.PoolManager:
    """Return a connection pool without retries, which are up to the caller."""
    pool = urllib3.PoolManager(
        num_pools=8, maxsize=connections, block=False, retries=False
    )
    pool.pool_classes_by_scheme = {
        **pool.pool_classes_by_scheme,
        "http": ResetDetectingPool,
    }
    return pool


def new_timeout(read_s: float) -> urllib3.Timeout:
    """Return the timeouts of a call; ``read_s`` bounds the wait for more data."""
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)


def read_body(reply: urllib3.BaseHTTPResponse, max_bytes: int) -> bytes:
    """
    Return the body of a reply that was requested with ``preload_content=False``.

    Raise ``ReplyTooLargeError`` if it has more than ``max_bytes``, and close the
    connection then, as after any other error.
    """
    body = bytearray()
    try:
        for data in reply.stream(READ_BYTES):
            body += data
            if len(body) > max_bytes:
                raise ReplyTooLargeError(f"the reply has more than {max_bytes} bytes")
    except BaseException:
        reply.close()
        raise
    reply.release_conn()
    return bytes(body)
