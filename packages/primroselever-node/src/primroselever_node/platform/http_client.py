"""
The urllib3 pool that all HTTP clients of this package use.

A call has one deadline for connecting, for sending, and for the whole answer. What it
keeps of an answer is limited in bytes: the heads, the lines of chunks and trailers, and
the body, whose limit is that of ``read_body``. Other greenlets run while a peer sends
faster than it is read.
"""

from __future__ import annotations

import http.client
import io
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import eventlet
import urllib3
from eventlet.greenio import GreenSocket
from eventlet.hubs import trampoline
from urllib3.connection import HTTPConnection

from .. import clock
from ..read_turn import ReadTurn

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65536
MAX_INFORMATIONAL_RESPONSES = 16  # as in direct deployments
MAX_HEAD_BYTES = 65536  # of all heads of an answer, as in direct deployments
# Lines of chunk sizes and of trailers may have this many bytes more than the body.
MAX_FRAMING_BYTES = 65536
# What ends a chunk is read like a body of two bytes, and must not count as such.
CHUNK_END_BYTES = 2
# Reads after a deadline, for what arrived while the process did not run.
MAX_LATE_READS = 16
IDENTITY = "identity"
MAX_LOGGED_CHARACTERS = 100


class ReplyTooLargeError(urllib3.exceptions.HTTPError):
    """The body of a reply is larger than the limit in bytes for its kind."""


@dataclass(slots=True)
class CallDeadline:
    """The deadline of a call, on the clock of ``clock.now``."""

    deadline: float

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, at least zero."""
        return max(0.0, self.deadline - clock.now())

    def extend(self, duration_s: float) -> None:
        """Move the deadline to ``duration_s`` seconds from now."""
        self.deadline = clock.now() + duration_s


class CallTimeout(urllib3.Timeout):
    """The timeouts of a call: for connecting, for each read, and for the whole."""

    def __init__(self, read_s: float, call: CallDeadline) -> None:
        super().__init__(connect=CONNECT_TIMEOUT_S, read=read_s)
        self.read_s = read_s
        self.call = call

    def clone(self) -> CallTimeout:
        """Return a copy that shares the deadline; urllib3 makes one for each call."""
        return CallTimeout(self.read_s, self.call)


class ResetDetectingSocket(GreenSocket):
    """
    A green socket whose reads raise ``ConnectionResetError`` after a reset.

    Reads and writes raise ``TimeoutError`` after the deadline of ``call``.

    Those of its base class return no bytes then, as at an orderly end, so a response
    without a length would look complete. The same holds for a read after a write that
    met the reset.
    """

    was_reset = False
    original: Any = None
    call: CallDeadline | None = None
    late_reads = 0

    def __init__(self, fd: Any) -> None:
        super().__init__(fd)
        self.turn = ReadTurn()

    def start_call(self, call: CallDeadline) -> None:
        """Apply the deadline of a call that begins."""
        self.call = call
        self.late_reads = 0
        self.turn.start()

    def gettimeout(self) -> float | None:
        """Return the time limit of a read or write that begins now, in seconds."""
        timeout_s: float | None = super().gettimeout()
        if self.call is None:
            return timeout_s
        remaining_s = self.call.remaining_s()
        return remaining_s if timeout_s is None else min(timeout_s, remaining_s)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send bytes; remember a reset that this meets."""
        self.turn.check()
        if self.call is not None and not self.call.remaining_s():
            raise TimeoutError("the deadline of the call passed while it was sent")
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
                self.turn.start()
                continue
            if not count and self.was_reset:
                raise ConnectionResetError("the connection was reset")
            if not self.act_non_blocking:
                self.check_late_read()
                self.turn.check()
            return int(count)

    def check_late_read(self) -> None:
        """
        Raise ``TimeoutError`` if too much was read after the deadline.

        A peer that sends faster than it is read never makes a read wait.
        """
        if self.call is None or self.call.remaining_s():
            return
        self.late_reads += 1
        if self.late_reads > MAX_LATE_READS:
            raise TimeoutError("the deadline of the call passed")


class LineReader(io.BufferedReader):
    """
    A reader whose lines are whole; ``met_end`` is set if one was read at the end.

    The base class returns a line that the end of the connection cut off like any other,
    so that a part of a header, or of the size of a chunk, would count.

    ``line_bytes_left`` is how many bytes of lines may still be read. What is read of a
    body adds to it, since larger bodies have more chunks.
    """

    met_end = False
    line_bytes_left = MAX_HEAD_BYTES
    sock: ResetDetectingSocket | None = None

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line of at most ``size`` bytes, empty at an orderly end."""
        if self.sock is not None:
            # The lines of one read can take over 10 ms: chunks of a byte each.
            self.sock.turn.check()
        limit = self.line_bytes_left + 1
        if size is not None and 0 <= size < limit:
            limit = size
        line = super().readline(limit)
        self.met_end = not line
        self.line_bytes_left -= len(line)
        if self.line_bytes_left < 0:
            raise http.client.HTTPException("too many bytes in lines of the answer")
        if line and not line.endswith(b"\n") and len(line) < limit:
            raise http.client.RemoteDisconnected("the connection ended within a line")
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """
        Return ``size`` bytes, or fewer at the end of the connection.

        A chunk whose stated size is -1 would be read without a limit.
        """
        if size is None or size < 0:
            raise http.client.HTTPException("a part of the answer has no valid size")
        data = super().read(size)
        if len(data) > CHUNK_END_BYTES:
            self.line_bytes_left += len(data)
        return data


class WholeHeadResponse(http.client.HTTPResponse):
    """
    A response that is an error if the connection ends inside its head.

    The base class takes that end for the end of the head. Without the header of the
    length, an empty body would be complete.
    """

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp: Any = LineReader(self.fp.detach())
        self.fp.sock = sock

    def begin(self) -> None:
        """
        Read the head, and skip the heads of informational responses before it.

        The base class skips those with status 100 only, and takes any other for the
        response itself, which has no body then.
        """
        for _index in range(MAX_INFORMATIONAL_RESPONSES + 1):
            self.begin_next()
            if self.status >= HTTPStatus.OK:
                self.fp.line_bytes_left = MAX_FRAMING_BYTES
                self.check_coding()
                return
            self.headers = self.msg = None  # type: ignore[assignment]
        raise http.client.HTTPException("too many informational responses")

    def check_coding(self) -> None:
        """
        Raise ``HTTPException`` if the body is compressed, which no call asks for.

        A few bytes of it can expand to very many, or without end to none.
        """
        coding = self.headers.get("Content-Encoding", "").strip()
        if coding and coding.lower() != IDENTITY:
            raise http.client.HTTPException(
                f"the answer has a content coding: {coding[:MAX_LOGGED_CHARACTERS]!r}"
            )

    def begin_next(self) -> None:
        """Read the next head."""
        reader = self.fp
        super().begin()
        if reader.met_end:
            raise http.client.RemoteDisconnected("the connection ended within a head")


class ResetDetectingConnection(HTTPConnection):
    """A connection whose responses end early if it is reset."""

    response_class = WholeHeadResponse
    call: CallDeadline | None = None
    sock: Any

    def start_call(self, call: CallDeadline) -> None:
        """Apply the deadline of a call that begins, also to a kept connection."""
        self.call = call
        if self.sock is not None:
            self.sock.start_call(call)

    def _new_conn(self) -> socket.socket:
        """Return a new connected socket."""
        sock = self.connect_before_deadline()
        detecting_sock = ResetDetectingSocket(sock.fd)
        detecting_sock.settimeout(sock.gettimeout())
        # It closes the descriptor that both share when it is collected.
        detecting_sock.original = sock
        if self.call is not None:
            detecting_sock.start_call(self.call)
        return detecting_sock

    def connect_before_deadline(self) -> Any:
        """
        Return a new connected socket of the base class.

        That applies the time limit for connecting to each address of a name.
        """
        if self.call is None:
            return super()._new_conn()
        timeout = eventlet.Timeout(self.call.remaining_s())
        try:
            return super()._new_conn()
        except eventlet.Timeout as exc:
            if exc is not timeout:
                raise
            message = f"no connection to {self.host} before the deadline of the call"
            raise urllib3.exceptions.ConnectTimeoutError(self, message) from exc
        finally:
            timeout.cancel()


class ResetDetectingPool(urllib3.HTTPConnectionPool):
    """A pool of such connections to one host."""

    ConnectionCls = ResetDetectingConnection

    def _make_request(self, conn: Any, *args: Any, **options: Any) -> Any:
        """Send a request and read the head of the answer."""
        timeout = options.get("timeout")
        if isinstance(timeout, CallTimeout):
            conn.start_call(timeout.call)
        return super()._make_request(conn, *args, **options)


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


def new_timeout(read_s: float, call_s: float) -> CallTimeout:
    """
    Return the timeouts of a call that begins now.

    ``read_s`` limits each wait for more data, ``call_s`` the whole call; both are in
    seconds.
    """
    return CallTimeout(read_s, CallDeadline(clock.now() + call_s))


class LineStream:
    """
    The body of a reply without a limit in bytes, which consists of lines.

    Each line must be complete within ``line_s`` seconds after the one before it.
    """

    def __init__(
        self, reply: urllib3.BaseHTTPResponse, call: CallDeadline, line_s: float
    ) -> None:
        self.reply = reply
        self.call = call
        self.line_s = line_s

    def stream(self, size: int) -> Iterator[bytes]:
        """Yield the data as it arrives, at most ``size`` bytes at once."""
        self.call.extend(self.line_s)
        for data in self.pieces(size):
            yield data
            if b"\n" in data:
                # The time that the caller took for the data does not count.
                self.call.extend(self.line_s)

    def pieces(self, size: int) -> Iterator[bytes]:
        """Yield the data as it arrives."""
        if self.reply.chunked:
            yield from self.reply.stream(size)
            return
        # ``stream`` would wait until there are ``size`` bytes.
        while data := self.reply.read1(size):
            yield data


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
