"""
One HTTP/1.1 connection to a back end or to the platform, in h11 on green sockets.

A connection carries one request at a time. It is kept only while both sides agree
where the answer ended: bytes behind an answer, a broken answer or ``Connection:
close`` end it.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import h11
from eventlet.hubs import trampoline

from primroselever_core.exceptions import PrimroseleverError

from .. import clock

if TYPE_CHECKING:
    from primroselever_core.catalogue.model import Address

    Headers = list[tuple[bytes, bytes]]

READ_BYTES = 65536
MAX_HEAD_BYTES = 65536  # head of an answer; back ends send a few hundred bytes
UNACKNOWLEDGED_MS = 3000  # a peer that acknowledges nothing for so long is cut off
STALE_ANSWERS_SKIPPED = 2  # extra answers to earlier requests before ours is due


class ConnectError(PrimroseleverError):
    """No connection could be opened, so that nothing was sent."""


class BrokenExchangeError(PrimroseleverError):
    """The connection failed after the request may have arrived."""


class SilentError(BrokenExchangeError):
    """Nothing came before the deadline."""


class DamagedAnswerError(BrokenExchangeError):
    """What came is no answer to the request in the protocol."""


class HttpConnection:
    """An open connection to ``address`` that may be reused until ``usable_until``."""

    def __init__(self, address: Address, deadline: float) -> None:
        self.address = address
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.usable_until = float("inf")
        self.used_at = clock.now()
        self.stale_answers = 0
        self.sent_head: h11.Request | None = None
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.socket.settimeout(max(0.001, deadline - clock.now()))
            self.socket.connect(address)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )
        except OSError as exc:
            self.socket.close()
            raise ConnectError(f"no connection to {address[0]}:{address[1]}") from exc

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        deadline: float,
    ) -> None:
        """Write a whole request in one piece."""
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
            raise SilentError("the request could not be written in time") from exc
        except OSError as exc:
            # The answer may have come before the body was read, so that is
            # looked at first.
            self.usable_until = 0.0
            if not self.readable_answer():
                raise BrokenExchangeError("the connection broke while writing") from exc

    def readable_answer(self) -> bool:
        """Return whether bytes of an answer lie ready on a broken connection."""
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
                raise DamagedAnswerError(str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            left = deadline - clock.now()
            if left <= 0:
                raise SilentError("no answer in time")
            try:
                data = receive(self.socket, left)
            except TimeoutError as exc:
                raise SilentError("no answer in time") from exc
            except OSError as exc:
                raise BrokenExchangeError("the connection was reset") from exc
            try:
                self.protocol.receive_data(data)
            except h11.RemoteProtocolError as exc:
                raise DamagedAnswerError(str(exc)) from exc

    def read_head(
        self, deadline: float, request_id: bytes, id_header: bytes
    ) -> h11.Response:
        """
        Return the head of the answer to this request.

        An extra answer to an earlier request may lie before it; it is told by the
        request's identifier, which back ends repeat, and passed over.
        """
        while True:
            event = self.next_event(deadline)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise DamagedAnswerError("the connection ended before an answer")
            if not request_id:
                return event
            named = header(event.headers, id_header)
            if named in (b"", request_id):
                return event
            self.skip_stale_answer(deadline)

    def skip_stale_answer(self, deadline: float) -> None:
        """Read an answer to an earlier request to its end and begin anew behind it."""
        self.stale_answers += 1
        self.usable_until = 0.0
        if self.stale_answers > STALE_ANSWERS_SKIPPED or self.sent_head is None:
            raise DamagedAnswerError("answers of other requests came")
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

    def read_body(self, deadline: float) -> bytes:
        """Return the rest of the answer."""
        parts: list[bytes] = []
        while True:
            event = self.next_event(deadline)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise DamagedAnswerError("the connection ended within an answer")

    def finish(self, idle_s: float) -> bool:
        """Make ready for another request; return whether the connection may be kept."""
        if self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE or self.usable_until == 0.0:
            return False
        rest, closed = self.protocol.trailing_data
        if rest or closed:
            return False
        self.protocol.start_next_cycle()
        self.used_at = clock.now()
        self.usable_until = self.used_at + idle_s
        return True

    def idle_and_silent(self) -> bool:
        """Return whether an idle connection has neither ended nor got stray bytes."""
        try:
            self.socket.setblocking(False)
            self.socket.recv(1, socket.MSG_PEEK)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def interrupt(self) -> None:
        """End the connection for whoever waits on it in another greenlet."""
        self.usable_until = 0.0
        with suppress(OSError):  # it has ended already
            self.socket.shutdown(socket.SHUT_RDWR)

    def abort(self) -> None:
        """End the connection; only for whoever uses it."""
        self.interrupt()
        self.socket.close()


def receive(sock: Any, timeout_s: float) -> bytes:
    """
    Receive bytes, or raise ``OSError`` when the connection was reset.

    The green socket's own ``recv`` returns nothing after a reset, as if the other side
    had ended in order, and an answer without a length would look whole.
    """
    raw = sock.fd
    raw.setblocking(False)
    while True:
        try:
            return bytes(raw.recv(READ_BYTES))
        except BlockingIOError:
            trampoline(raw, read=True, timeout=timeout_s, timeout_exc=TimeoutError)


def header(headers: object, name: bytes) -> bytes:
    """Return the value of a header, given in lower case, or nothing."""
    for key, value in headers:  # type: ignore[attr-defined]
        if key == name:
            return bytes(value)
    return b""
