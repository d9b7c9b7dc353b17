"""
An HTTP/1.1 connection to a back end or to the platform, on green sockets.

A connection carries one request at a time. It is kept only if the end of the answer
is unambiguous: extra bytes after an answer, an incomplete or malformed answer, or
``Connection: close`` end the connection.
"""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet import patcher
from eventlet.hubs import trampoline

from primroselever_core.exceptions import PrimroseleverError

from .. import clock
from .responses import (
    AnswerTooLargeError,
    BrokenExchangeError,
    ConnectionEnd,
    ResponseEnd,
    ResponseReader,
)

if TYPE_CHECKING:
    from primroselever_core.catalogue.model import Address

    from .responses import Headers, ResponseHead

READ_BYTES = 65536
TCP_USER_TIMEOUT_MS = 3000  # for peers that stop acknowledging sent bytes
# Reads after a deadline, for what arrived while the process did not run. A peer that
# sends faster than it is read would otherwise never reach its deadline.
MAX_LATE_READS = 16
STEPS_BEFORE_YIELD = 16  # parts of a body, or STEP_BYTES of a large one
STEP_BYTES = 4096

# The unpatched module polls without switching greenlets.
select_module = patcher.original("select")


# A linger time of 0 s: the system sends a reset instead of the bytes that are left.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class ConnectError(PrimroseleverError):
    """No connection could be opened, so nothing was sent."""


class ExchangeTimeoutError(BrokenExchangeError):
    """
    The request was not written, or not answered, before the deadline.

    ``noticed_late_s`` is how many seconds after the deadline the process noticed it.
    More than some milliseconds mean that the process itself did not run meanwhile.
    """

    def __init__(self, message: str, noticed_late_s: float = 0.0) -> None:
        super().__init__(message)
        self.noticed_late_s = noticed_late_s


class HttpConnection:
    """
    An open connection to ``address`` that may be reused until ``usable_until``.

    The time is 0.0 for a connection that must be closed after its answer.
    """

    def __init__(self, address: Address, deadline: float) -> None:
        self.address = address
        self.reader = ResponseReader()
        self.usable_until = float("inf")
        self.last_used_at = clock.now()
        self.late_read_count = 0
        self.steps_until_yield = STEPS_BEFORE_YIELD
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.connect(deadline)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        # The other errors are of a host or port that no address has.
        except (OSError, OverflowError, TypeError, ValueError) as exc:
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
        data = self.reader.start_request(method, target, headers, body)
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
            self.reader.record_end(ConnectionEnd.RESET)
            if not self.receive_pending_answer():
                raise BrokenExchangeError("the connection broke while writing") from exc

    def receive_pending_answer(self) -> bool:
        """Receive what a broken connection still holds; return whether there is any."""
        try:
            self.socket.setblocking(False)
            data = self.socket.recv(READ_BYTES)
        except OSError:
            return False
        if data:
            self.reader.receive_data(data)
        return bool(data)

    def read_head(
        self, deadline: float, request_id: bytes, id_header: bytes
    ) -> ResponseHead:
        """
        Return the head of the answer, or raise ``BrokenExchangeError``.

        Answers whose ``id_header`` names another request are skipped.
        """
        while True:
            head = self.reader.next_head(request_id, id_header)
            if head is not None:
                return head
            self.receive(deadline)

    def read_part(self, deadline: float) -> bytes | ResponseEnd:
        """Return the next part of the answer's body or its end, or raise an error."""
        while True:
            self.yield_to_others()
            part = self.reader.next_part()
            if part is not None:
                return part
            self.receive(deadline)

    def yield_to_others(self) -> None:
        """Let other greenlets run at times: a read that finds bytes does not wait."""
        self.steps_until_yield -= 1
        if self.steps_until_yield <= 0:
            self.steps_until_yield = STEPS_BEFORE_YIELD
            eventlet.sleep(0)

    def receive(self, deadline: float) -> None:
        """Receive bytes, or the end of the connection, before the deadline."""
        try:
            self.count_late_read(deadline)
            data = receive_bytes(self.socket, deadline)
        except TimeoutError as exc:
            late_s = clock.now() - deadline
            raise ExchangeTimeoutError("no answer in time", late_s) from exc
        except OSError as exc:
            self.reader.record_end(ConnectionEnd.RESET)
            raise BrokenExchangeError("the connection was reset") from exc
        if data:
            self.steps_until_yield -= len(data) // STEP_BYTES
            self.reader.receive_data(data)
        else:
            self.reader.receive_end()

    def count_late_read(self, deadline: float) -> None:
        """Raise ``TimeoutError`` after too many reads in a row after the deadline."""
        self.late_read_count = self.late_read_count + 1 if clock.now() > deadline else 0
        if self.late_read_count > MAX_LATE_READS:
            raise TimeoutError

    def read_body(
        self,
        deadline: float,
        max_bytes: int,
        last_deadline: float = 0.0,
        progress_s: float = 0.0,
    ) -> bytes:
        """
        Return the body of the answer, which may have ``max_bytes``.

        While bytes arrive at least every ``progress_s`` seconds, it may take longer
        than ``deadline``, until ``last_deadline``.
        """
        parts: list[bytes] = []
        while True:
            progress_deadline = min(last_deadline, clock.now() + progress_s)
            part = self.read_part(max(deadline, progress_deadline))
            if isinstance(part, ResponseEnd):
                return b"".join(parts)
            if self.reader.body_bytes > max_bytes:
                raise AnswerTooLargeError(f"the body has more than {max_bytes} bytes")
            parts.append(part)

    def prepare_for_reuse(self, idle_s: float) -> bool:
        """Prepare for another request; return whether the connection may be kept."""
        if self.usable_until == 0.0 or not self.reader.prepare_for_reuse():
            return False
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
            self.reader.record_end(ConnectionEnd.RESET)
            return False

    def has_extra_bytes(self) -> bool:
        """Return whether bytes have arrived after a complete answer."""
        return self.reader.has_extra_bytes() or self.has_data()

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
        self.reader.record_end(ConnectionEnd.SHUT_DOWN)
        with suppress(OSError):  # the connection has ended already
            self.socket.shutdown(socket.SHUT_RDWR)

    def abort(self) -> None:
        """Close the connection; to be called only by the greenlet that uses it."""
        self.interrupt()
        self.socket.close()

    def discard_request(self) -> None:
        """
        Close the connection, and drop what was not transmitted of the request.

        Bytes that the system still holds would otherwise be sent after the close, and
        the request would arrive complete.
        """
        with suppress(OSError):  # the connection has ended already
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.abort()


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
