"""
An HTTP/1.1 connection to a back end or to the platform, on h11 and green sockets.

A connection carries one request at a time. It is kept only if the end of the answer
is unambiguous: extra bytes after an answer, an incomplete or malformed answer, or
``Connection: close`` end the connection.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import h11
from eventlet import patcher
from eventlet.hubs import trampoline

from primroselever_core.exceptions import PrimroseleverError

from .. import clock

if TYPE_CHECKING:
    from primroselever_core.catalogue.model import Address

    Headers = list[tuple[bytes, bytes]]

READ_BYTES = 65536
MAX_HEAD_BYTES = 65536  # answer heads of back ends have a few hundred bytes
TCP_USER_TIMEOUT_MS = 3000  # for peers that stop acknowledging sent bytes
# Reads after a deadline, for what arrived while the process did not run. A peer that
# sends faster than it is read would otherwise never reach its deadline.
MAX_LATE_READS = 16
# Answers to earlier requests that may precede the answer to the current request.
MAX_STALE_ANSWERS = 2
STATUSES_WITHOUT_BODY = (204, 304)

# The unpatched module polls without switching greenlets.
select_module = patcher.original("select")


class ConnectError(PrimroseleverError):
    """No connection could be opened, so nothing was sent."""


class BrokenExchangeError(PrimroseleverError):
    """The exchange failed, and the server may have received the request."""


class ExchangeTimeoutError(BrokenExchangeError):
    """
    The request was not written, or not answered, before the deadline.

    ``noticed_late_s`` is how many seconds after the deadline the process noticed it.
    More than some milliseconds mean that the process itself did not run meanwhile.
    """

    def __init__(self, message: str, noticed_late_s: float = 0.0) -> None:
        super().__init__(message)
        self.noticed_late_s = noticed_late_s


class MalformedAnswerError(BrokenExchangeError):
    """The received bytes are not a valid answer to the request."""


class ConnectionEnd(StrEnum):
    """How a connection ended, as seen by this process; the values are logged."""

    OPEN = "open"
    CLOSED = "closed by the server"
    RESET = "reset"
    SHUT_DOWN = "shut down by this process"


class Framing(StrEnum):
    """What marks the end of a response; the values are logged."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "end of the connection"


class HttpConnection:
    """
    An open connection to ``address`` that may be reused until ``usable_until``.

    The time is 0.0 for a connection that must be closed after its answer. ``end`` is
    how the connection ended.
    """

    def __init__(self, address: Address, deadline: float) -> None:
        self.address = address
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.usable_until = float("inf")
        self.end = ConnectionEnd.OPEN
        self.last_used_at = clock.now()
        self.stale_answer_count = 0
        self.late_read_count = 0
        self.sent_head: h11.Request | None = None
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.connect(deadline)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        except OSError as exc:
            self.socket.close()
            raise ConnectError(f"no connection to {address[0]}:{address[1]}") from exc

    def connect(self, deadline: float) -> None:
        """Connect before the deadline, or raise ``OSError``."""
        try:
            self.socket.settimeout(max(0.001, deadline - clock.now()))
            self.socket.connect(self.address)
        except TimeoutError:
            # The connection may have been opened while this process did not run.
            if not is_connected(self.socket):
                raise

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        deadline: float,
    ) -> None:
        """Write a whole request in one call, or raise ``BrokenExchangeError``."""
        head = h11.Request(method=method, target=target, headers=headers)
        self.sent_head = head
        data = self.protocol.send(head) or b""
        if body:
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        try:
            self.socket.settimeout(max(0.001, deadline - clock.now()))
            self.socket.sendall(data)
        except TimeoutError as exc:
            raise ExchangeTimeoutError(
                "the request could not be written in time"
            ) from exc
        except OSError as exc:
            # The server may have answered before it read the whole body.
            self.usable_until = 0.0
            self.record_end(ConnectionEnd.RESET)
            if not self.receive_pending_answer():
                raise BrokenExchangeError("the connection broke while writing") from exc

    def receive_pending_answer(self) -> bool:
        """Receive what a broken connection still holds; return whether there is any."""
        try:
            self.socket.setblocking(False)
            data = self.socket.recv(READ_BYTES)
        except OSError:
            return False
        self.protocol.receive_data(data)
        return bool(data)

    def next_event(self, deadline: float) -> object:
        """Return the next h11 event of the answer, or raise ``BrokenExchangeError``."""
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as exc:
                raise MalformedAnswerError(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            try:
                self.count_late_read(deadline)
                data = receive_bytes(self.socket, deadline)
            except TimeoutError as exc:
                late_s = clock.now() - deadline
                raise ExchangeTimeoutError("no answer in time", late_s) from exc
            except OSError as exc:
                self.record_end(ConnectionEnd.RESET)
                raise BrokenExchangeError("the connection was reset") from exc
            if not data:
                self.record_end(ConnectionEnd.CLOSED)
                # Another call on the socket may have taken the error of a reset, and
                # an own shutdown reads like an orderly end.
                if self.end is not ConnectionEnd.CLOSED:
                    raise BrokenExchangeError(f"the connection was {self.end}")
            try:
                self.protocol.receive_data(data)
            except h11.RemoteProtocolError as exc:
                raise MalformedAnswerError(str(exc)) from exc

    def count_late_read(self, deadline: float) -> None:
        """Raise ``TimeoutError`` after too many reads in a row after the deadline."""
        self.late_read_count = self.late_read_count + 1 if clock.now() > deadline else 0
        if self.late_read_count > MAX_LATE_READS:
            raise TimeoutError

    def read_head(
        self, deadline: float, request_id: bytes, id_header: bytes
    ) -> h11.Response:
        """
        Return the head of the answer to this request.

        An extra answer to an earlier request may precede it. Back ends repeat the
        request identifier in ``id_header``; answers with another one are skipped.
        """
        while True:
            event = self.next_event(deadline)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise MalformedAnswerError("the connection ended before an answer")
            if not request_id:
                return event
            answer_request_id = header(event.headers, id_header)
            if answer_request_id in (b"", request_id):
                return event
            self.skip_stale_answer(deadline)

    def skip_stale_answer(self, deadline: float) -> None:
        """Read an answer to an earlier request to its end, and reset the parser."""
        self.stale_answer_count += 1
        self.usable_until = 0.0
        if self.stale_answer_count > MAX_STALE_ANSWERS or self.sent_head is None:
            raise MalformedAnswerError("answers of other requests came")
        while not isinstance(self.next_event(deadline), h11.EndOfMessage):
            pass
        rest, closed = self.protocol.trailing_data
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.protocol.send(
            h11.Request(
                method=self.sent_head.method,
                target=self.sent_head.target,
                headers=[("Host", "-")],
            )
        )
        self.protocol.send(h11.EndOfMessage())
        if rest:
            self.protocol.receive_data(rest)
        if closed:
            self.protocol.receive_data(b"")

    def read_body(
        self, deadline: float, last_deadline: float = 0.0, progress_s: float = 0.0
    ) -> bytes:
        """
        Return the body of the answer.

        While bytes arrive at least every ``progress_s`` seconds, it may take longer
        than ``deadline``, until ``last_deadline``.
        """
        parts: list[bytes] = []
        while True:
            progress_deadline = min(last_deadline, clock.now() + progress_s)
            event = self.next_event(max(deadline, progress_deadline))
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise MalformedAnswerError("the connection ended within an answer")

    def prepare_for_reuse(self, idle_s: float) -> bool:
        """Prepare for another request; return whether the connection may be kept."""
        if self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE or self.usable_until == 0.0:
            return False
        rest, closed = self.protocol.trailing_data
        if rest or closed:
            return False
        self.protocol.start_next_cycle()
        self.last_used_at = clock.now()
        self.usable_until = self.last_used_at + idle_s
        return True

    def is_reusable(self) -> bool:
        """Return whether an idle connection is open and has no unexpected bytes."""
        try:
            self.socket.setblocking(False)
            self.socket.recv(1, socket.MSG_PEEK)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def has_data(self) -> bool:
        """Return whether bytes have arrived, not only the end of the connection."""
        try:
            self.socket.setblocking(False)
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False
        except OSError:
            self.record_end(ConnectionEnd.RESET)
            return False

    def wait_for_data(self) -> bool:
        """Wait until the connection has bytes or ends; return whether it has any."""
        try:
            trampoline(self.socket.fd, read=True)  # type: ignore[attr-defined]
        except OSError:  # closed meanwhile
            return False
        return self.has_data()

    def interrupt(self) -> None:
        """Shut down the connection, which wakes a greenlet that waits on it."""
        self.usable_until = 0.0
        self.record_end(ConnectionEnd.SHUT_DOWN)
        with suppress(OSError):  # the connection has ended already
            self.socket.shutdown(socket.SHUT_RDWR)

    def record_end(self, end: ConnectionEnd) -> None:
        """Record how the connection ended, unless it had ended before."""
        if self.end is ConnectionEnd.OPEN:
            self.end = end

    def abort(self) -> None:
        """Close the connection; to be called only by the greenlet that uses it."""
        self.interrupt()
        self.socket.close()


def receive_bytes(sock: Any, deadline: float) -> bytes:
    """
    Receive bytes, or raise ``OSError`` if the connection was reset.

    ``TimeoutError`` is raised only if there are no bytes after the deadline: expired
    timers are handled first when the process has not run for a while, and bytes may
    have arrived in that time.

    The green socket's own ``recv`` returns no bytes after a reset, as after an orderly
    close, so an answer without a length would look complete.
    """
    raw = sock.fd
    raw.setblocking(False)
    while True:
        remaining_s = deadline - clock.now()
        try:
            return bytes(raw.recv(READ_BYTES))
        except BlockingIOError:
            if remaining_s <= 0:
                raise TimeoutError from None
            with suppress(TimeoutError):
                trampoline(
                    raw, read=True, timeout=remaining_s, timeout_exc=TimeoutError
                )


def is_connected(sock: Any) -> bool:
    """Return whether a connection attempt has succeeded."""
    poller = select_module.poll()
    poller.register(sock.fileno(), select_module.POLLOUT)
    events = poller.poll(0)
    if not events or events[0][1] & (select_module.POLLERR | select_module.POLLHUP):
        return False
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def framing_of(method: bytes, head: h11.Response) -> Framing:
    """Return what marks the end of the response to a request with this method."""
    if method == b"HEAD" or head.status_code in STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    if header(head.headers, b"transfer-encoding"):
        return Framing.CHUNKS
    if header(head.headers, b"content-length"):
        return Framing.LENGTH
    return Framing.CONNECTION


def header(headers: object, name: bytes) -> bytes:
    """Return the value of a header, or empty bytes; ``name`` is in lower case."""
    for key, value in headers:  # type: ignore[attr-defined]
        if key == name:
            return bytes(value)
    return b""
