"""
The callers' port: HTTP/1.1 on green sockets, within limits on each caller.

An answer that cannot be finished ends with its connection and without its last chunk,
so that it never looks whole. While a request is answered its connection is watched:
a caller who leaves ends the work done for it.
"""

from __future__ import annotations

import json
import logging
import socket
from typing import TYPE_CHECKING, Any

import eventlet
import h11

from primroselever_core.exceptions import PrimroseleverError
from primroselever_node import clock
from primroselever_node.listen import listen

from .caller_request import CallerRequest, read_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.catalogue.model import Address, CallerLimits

    from .header_names import HeaderNames

    Headers = list[tuple[bytes, bytes]]
    Handle = Callable[[CallerRequest, "CallerConnection"], None]

READ_BYTES = 65536
PIPELINED_BYTES = 262144  # of later requests, read while one is answered
UNACKNOWLEDGED_MS = 5000  # callers give up after some seconds
LINGER_S = 0.5  # for the unread rest of a refused body, so that the refusal arrives
WRITE_S = 10.0  # a caller that reads nothing for so long has gone

logger = logging.getLogger(__name__)


class CallerLeftError(PrimroseleverError):
    """The caller closed its connection, or reads no more."""


class CallerConnection:
    """One connection of a caller; ``on_leave`` is called when the caller leaves."""

    def __init__(self, server: CallerServer, sock: Any) -> None:
        self.server = server
        self.socket = sock
        self.limits: CallerLimits = server.limits()
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )
        self.answering = False
        self.left = False
        self.on_leave: Callable[[], None] | None = None
        self.started_at = 0.0
        self.request_id = b""
        self.held = b""

    def serve(self) -> None:
        """Answer requests until the connection ends."""
        try:
            while True:
                request = self.read_request()
                if request is None:
                    break
                self.answer(request)
                if not self.ready_for_next():
                    break
        except CallerLeftError:
            pass
        except OSError as exc:
            logger.info("a caller's connection broke", extra={"error": str(exc)})
        except Exception:
            logger.exception("a caller's connection failed")
        finally:
            self.server.connections.discard(self)
            self.socket.close()

    def ready_for_next(self) -> bool:
        """Return whether another request may follow."""
        if self.left or self.server.closing:
            return False
        if self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    def read_request(self) -> CallerRequest | None:
        """Return the next request, None when there will be none."""
        self.limits = self.server.limits()
        buffered = bool(self.protocol.trailing_data[0])
        self.started_at = clock.now() if buffered else 0.0
        idle_deadline = clock.now() + self.limits.idle_timeout_s
        try:
            head = self.next_event(idle_deadline)
            if not isinstance(head, h11.Request):
                return None
            if head_bytes(head) > self.limits.header_bytes:
                self.refuse(431, "the head is too large")
                return None
            names = {name for name, _value in head.headers}
            if {b"content-length", b"transfer-encoding"} <= names:
                # Two readers could differ on where such a request ends.
                self.refuse(400, "a body has either a length or chunks")
                return None
            body = self.read_body()
        except h11.RemoteProtocolError as exc:
            self.refuse(exc.error_status_hint, str(exc))
            return None
        except TimeoutError:
            if self.started_at:
                self.refuse(408, "the request did not come in time")
            return None
        if body is None:
            self.refuse(413, "the body is too large")
            return None
        request = read_request(
            bytes(head.method),
            bytes(head.target),
            list(head.headers),
            body,
            self.started_at,
            self.server.names,
        )
        if isinstance(request, str):
            self.refuse(400, request)
            return None
        self.request_id = request.request_id
        return request

    def next_event(self, idle_deadline: float) -> Any:
        """Return the next event, or raise ``TimeoutError`` past the limits."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                self.write(
                    self.protocol.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )
            deadline = idle_deadline
            if self.started_at:
                deadline = self.started_at + self.limits.header_timeout_s
            left = deadline - clock.now()
            if left <= 0:
                raise TimeoutError
            self.socket.settimeout(left)
            data = self.socket.recv(READ_BYTES)
            if data and not self.started_at:
                self.started_at = clock.now()
            self.protocol.receive_data(data)

    def read_body(self) -> bytes | None:
        """Return the body, None when it is larger than allowed."""
        parts: list[bytes] = []
        size = 0
        while True:
            # A body may take as long as a silent connection may; headers are quicker.
            event = self.next_body_event(clock.now() + self.limits.idle_timeout_s)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.body_bytes:
                    return None
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise CallerLeftError

    def next_body_event(self, deadline: float) -> Any:
        """Return the next event of a body."""
        started_at, self.started_at = self.started_at, 0.0
        try:
            return self.next_event(deadline)
        finally:
            self.started_at = started_at

    def answer(self, request: CallerRequest) -> None:
        """Let a request be answered while the caller is watched."""
        self.answering = True
        self.server.in_flight += 1
        self.socket.settimeout(None)
        watcher = eventlet.spawn(self.watch)
        try:
            self.server.handle(request, self)
        finally:
            self.answering = False
            self.server.in_flight -= 1
            self.on_leave = None
            watcher.kill()

    def watch(self) -> None:
        """Notice that the caller leaves, and keep what it sends ahead."""
        ahead = 0
        while ahead < PIPELINED_BYTES:
            try:
                data = self.socket.recv(READ_BYTES)
            except TimeoutError:
                continue
            except OSError:
                data = b""
            if not data:
                self.caller_left()
                return
            ahead += len(data)
            self.protocol.receive_data(data)

    def caller_left(self) -> None:
        """Take in that nobody waits for the answer any more."""
        self.left = True
        if self.on_leave is not None:
            self.on_leave()

    def write(self, data: bytes | None) -> None:
        """Send bytes, or raise ``CallerLeftError``."""
        if self.left:
            raise CallerLeftError
        if not data:
            return
        try:
            self.socket.settimeout(WRITE_S)
            self.socket.sendall(data)
        except OSError as exc:
            self.left = True
            raise CallerLeftError from exc
        finally:
            self.socket.settimeout(None)

    def send_head(self, status: int, headers: Headers) -> None:
        """Begin an answer; the head leaves with the first bytes behind it."""
        if self.server.closing or self.server.leaving():
            headers = [*headers, (b"Connection", b"close")]
        event = h11.Response(status_code=status, headers=headers)
        self.held += self.protocol.send(event) or b""

    def send_data(self, data: bytes) -> None:
        """Send a part of the body, in one piece with the head if that is due."""
        self.write_held(self.protocol.send(h11.Data(data=data)))

    def finish(self) -> None:
        """End an answer as a whole one."""
        self.write_held(self.protocol.send(h11.EndOfMessage()))

    def write_held(self, data: bytes | None) -> None:
        """Send bytes behind a head that was held back for them."""
        held, self.held = self.held, b""
        self.write(held + (data or b""))

    def cut(self) -> None:
        """End an answer that is not whole, so that it looks so."""
        self.left = True

    def abort_idle(self) -> None:
        """End a connection that waits for a request."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # the caller ended it first

    def problem(
        self, status: int, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Answer with a failure of the entry's own."""
        body = json.dumps({"status": status, "detail": detail}).encode()
        headers = [
            (b"Content-Type", b"application/problem+json"),
            (b"Content-Length", str(len(body)).encode()),
        ]
        if self.request_id:
            headers.append((self.server.names.request_id, self.request_id))
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
        self.send_head(status, headers)
        self.held += self.protocol.send(h11.Data(data=body)) or b""
        self.finish()

    def refuse(self, status: int, detail: str) -> None:
        """Answer what cannot be read as a request, then end the connection."""
        logger.info("a request is refused", extra={"status": status, "reason": detail})
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = json.dumps({"status": status, "detail": detail}).encode()
        headers = [
            (b"Content-Type", b"application/problem+json"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        response = h11.Response(status_code=status, headers=headers)
        data = self.protocol.send(response) or b""
        data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.write(data)
        self.linger()

    def linger(self) -> None:
        """Read on for a moment: closing over unread bytes would reset the answer."""
        deadline = clock.now() + LINGER_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (left := deadline - clock.now()) > 0:
                self.socket.settimeout(left)
                if not self.socket.recv(READ_BYTES):
                    return
        except OSError:
            return  # the caller has gone, and with it who would read the answer


def head_bytes(head: h11.Request) -> int:
    """Return the size of a head on the wire, with the usual separators."""
    size = len(head.method) + len(head.target) + len("  HTTP/1.1") + 4
    return size + sum(len(name) + len(value) + 4 for name, value in head.headers)


class CallerServer:
    """Accepts callers and lets ``handle`` answer their requests."""

    def __init__(
        self,
        address: Address,
        names: HeaderNames,
        limits: Callable[[], CallerLimits],
        handle: Handle,
        leaving: Callable[[], bool],
    ) -> None:
        self.names = names
        self.limits = limits
        self.handle = handle
        self.leaving = leaving
        self.socket = listen(*address)
        self.connections: set[CallerConnection] = set()
        self.in_flight = 0
        self.closing = False

    def start(self) -> None:
        """Accept in a greenlet of its own."""
        eventlet.spawn(self.run)

    def run(self) -> None:
        """Accept connections until the process ends."""
        while True:
            try:
                sock, _address = self.socket.accept()
            except OSError as exc:
                logger.warning("a caller was not accepted", extra={"error": str(exc)})
                eventlet.sleep(0.05)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )
            connection = CallerConnection(self, sock)
            self.connections.add(connection)
            eventlet.spawn(connection.serve)

    def close_idle(self) -> None:
        """End the connections on which no request is answered; others end after it."""
        self.closing = True
        for connection in list(self.connections):
            if not connection.answering and not connection.started_at:
                connection.abort_idle()
