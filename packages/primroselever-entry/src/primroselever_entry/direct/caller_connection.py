"""
One HTTP/1.1 connection from a caller, on green sockets and with limits.

If a response cannot be completed, the connection is closed without the last chunk, so
that the caller detects the truncation. While a request is processed, its connection is
watched: when the caller disconnects, the work for its request is cancelled.
"""

from __future__ import annotations

import json
import logging
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import eventlet
import h11
from eventlet import patcher

from primroselever_core.dispatch.buffers import Buffer
from primroselever_core.exceptions import PrimroseleverError
from primroselever_node import clock

from .caller_request import CallerRequest, parse_request
from .caller_writes import write_in_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.catalogue.model import CallerLimits

    from .caller_server import CallerServer

    Headers = list[tuple[bytes, bytes]]

READ_BYTES = 65536
MAX_PIPELINED_BYTES = 262144  # of later requests, read while one is processed
BUFFERS_FULL_RETRY_S = 0.5  # bodies of requests are kept until their answers
# Parts of a body, after which other greenlets run. A read that finds bytes does not
# wait, and the 64 KB of one read may have 10,000 chunks.
PARTS_BEFORE_YIELD = 16
LINGER_S = 0.5  # to read what follows the last request, so that its answer arrives
# A caller that has just connected has sent its request, which arrives within a round
# trip, or 0.2 s later if a packet is lost.
FIRST_REQUEST_S = 0.3
# Values of SO_LINGER.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)

# The unpatched module polls without switching greenlets.
select_module = patcher.original("select")

logger = logging.getLogger(__name__)


class CallerLeftError(PrimroseleverError):
    """The caller closed its connection or stopped reading."""


class BuffersFullError(PrimroseleverError):
    """The bodies of other requests hold all that may be kept."""


class CallerConnection:
    """
    One connection from a caller.

    ``on_caller_left`` is called when the caller disconnects. ``caller_left`` is set
    then, and also when a response is abandoned: nothing more is sent. Once the current
    request has ended, the connection is closed. ``request_started_at`` is when the
    first byte of the current request arrived, and 0 before that. ``reading_body`` is
    set while its body is read, to which the idle timeout applies instead of the header
    timeout. ``busy_at_close`` is set if a request had arrived, at least in part, when
    the server began to close: it is still served. ``unsent`` holds response bytes that
    are sent together with the next part. ``caller_waits_until`` is when the caller of
    the current request stops waiting, None if it did not say so, and ``body_buffer``
    accounts for the body of that request, ``pipelined_buffer`` for later ones.
    ``wants_no_body`` is set for a request whose response has no body, HEAD.
    """

    def __init__(self, server: CallerServer, sock: Any) -> None:
        self.server = server
        self.socket = sock
        self.limits: CallerLimits = server.limits()
        self.protocol = self.new_protocol()
        self.accepted_at = clock.now()
        self.processing = False
        self.caller_left = False
        self.on_caller_left: Callable[[], None] | None = None
        self.request_started_at = 0.0
        self.reading_body = False
        self.busy_at_close = False
        self.request_id = b""
        self.wants_no_body = False
        self.unsent = b""
        self.caller_waits_until: float | None = None
        self.body_buffer = Buffer(server.request_buffers)
        self.pipelined_buffer = Buffer(server.request_buffers)

    def new_protocol(self) -> h11.Connection:
        """Return a parser without state, for the size limit in force."""
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )

    def serve(self) -> None:
        """Process requests until the connection ends."""
        try:
            while True:
                request = self.read_request()
                if request is None:
                    break
                self.process_request(request)
                self.body_buffer.resize(0)
                if not self.prepare_next_request():
                    self.end_after_answer()
                    break
        except CallerLeftError:
            pass
        except OSError as exc:
            logger.info("connection to a caller broke", extra={"error": str(exc)})
        except Exception:
            logger.exception(
                "unexpected error on a connection to a caller",
                extra={"request": self.request_id.decode("latin-1")},
            )
        finally:
            self.body_buffer.resize(0)
            self.pipelined_buffer.resize(0)
            self.server.connections.discard(self)
            self.socket.close()

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return whether one may follow."""
        if self.caller_left:
            return False
        if self.server.closing and not self.next_request_has_started():
            return False
        if self.protocol.our_state is not h11.DONE:
            return False
        if self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    def end_after_answer(self) -> None:
        """End the connection, so that input behind the request loses no answer."""
        self.busy_at_close = False
        if not self.caller_left:
            self.linger_before_close()

    def next_request_has_started(self) -> bool:
        """Return whether bytes of a pipelined request were read."""
        return bool(self.protocol.trailing_data[0])

    def read_request(self) -> CallerRequest | None:
        """Return the next request, or None if the connection is to be closed."""
        self.limits = self.server.limits()
        has_started = self.next_request_has_started()
        self.request_started_at = clock.now() if has_started else 0.0
        self.wants_no_body = False
        try:
            head = self.next_event(clock.now())
            if not isinstance(head, h11.Request):
                return None
            self.wants_no_body = head.method == b"HEAD"
            if head_size(head) > self.limits.header_bytes:
                self.refuse_request(431, "the head is too large")
                return None
            header_names = {name for name, _value in head.headers}
            if {b"content-length", b"transfer-encoding"} <= header_names:
                # Prevents request smuggling: parsers may disagree on where it ends.
                self.refuse_request(400, "a body has either a length or chunks")
                return None
            body = self.read_body()
        except h11.RemoteProtocolError as exc:
            self.refuse_request(exc.error_status_hint, str(exc))
            return None
        except TimeoutError:
            if self.request_started_at:
                self.refuse_request(408, "the request did not come in time")
            return None
        except BuffersFullError as exc:
            self.server.count_slow_caller("request buffers full")
            self.refuse_request(503, str(exc), BUFFERS_FULL_RETRY_S)
            return None
        if body is None:
            self.refuse_request(413, "the body is too large")
            return None
        request = parse_request(
            bytes(head.method),
            bytes(head.target),
            list(head.headers),
            body,
            self.request_started_at,
            self.server.names,
        )
        if isinstance(request, str):
            self.refuse_request(400, request)
            return None
        self.request_id = request.request_id
        self.caller_waits_until = request.deadline
        return request

    def next_event(self, idle_since: float) -> Any:
        """
        Return the next h11 event; raise ``TimeoutError`` after the time limit.

        The idle timeout counts from ``idle_since``. If a configuration prolongs it, the
        longer one applies at once, since callers rely on it.
        """
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
            deadline = self.receive_deadline(idle_since)
            try:
                data = self.receive_bytes(deadline)
            except TimeoutError:
                if self.receive_deadline(idle_since) > deadline:
                    continue
                raise
            if data and not self.request_started_at:
                self.request_started_at = clock.now()
                self.apply_current_limits()
            self.protocol.receive_data(data)

    def apply_current_limits(self) -> None:
        """Apply the limits in force when a request begins, before it is parsed."""
        previous_header_bytes = self.limits.header_bytes
        self.limits = self.server.limits()
        if self.limits.header_bytes != previous_header_bytes:
            self.protocol = self.new_protocol()

    def receive_deadline(self, idle_since: float) -> float:
        """Return until when the next bytes must arrive."""
        if self.request_started_at and not self.reading_body:
            return self.request_started_at + self.limits.header_timeout_s
        current_limits = self.server.limits()
        return idle_since + max(
            self.limits.idle_timeout_s, current_limits.idle_timeout_s
        )

    def receive_bytes(self, deadline: float) -> bytes:
        """
        Return received bytes, or raise ``TimeoutError`` after the deadline.

        Bytes that arrived while this process did not run count as received in time.
        """
        remaining_s = deadline - clock.now()
        if remaining_s > 0:
            try:
                self.socket.settimeout(remaining_s)
                return bytes(self.socket.recv(READ_BYTES))
            except TimeoutError:
                pass  # whether bytes have arrived is checked below
        if not is_readable(self.socket):
            raise TimeoutError
        return bytes(self.socket.recv(READ_BYTES))

    def read_body(self) -> bytes | None:
        """
        Return the body, or None if it is larger than allowed.

        Raise ``BuffersFullError`` if the bodies of all requests together are too large.
        """
        parts: list[bytes] = []
        size = part_count = 0
        while True:
            part_count += 1
            if part_count % PARTS_BEFORE_YIELD == 0:
                eventlet.sleep(0)
            event = self.next_body_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.body_bytes:
                    return None
                self.pipelined_buffer.resize(0)  # the body may have been a part of it
                if not self.body_buffer.resize(size):
                    raise BuffersFullError("the buffers of all requests are full")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise CallerLeftError

    def next_body_event(self) -> Any:
        """Return the next body event, waiting with the idle timeout."""
        self.reading_body = True
        try:
            return self.next_event(clock.now())
        finally:
            self.reading_body = False

    def process_request(self, request: CallerRequest) -> None:
        """Process a request while the connection is watched for a disconnect."""
        self.processing = True
        self.server.in_flight += 1
        self.socket.settimeout(None)
        self.may_read_ahead()
        watcher = eventlet.spawn(self.watch_caller)
        try:
            self.server.handle(request, self)
        finally:
            self.processing = False
            self.server.in_flight -= 1
            self.on_caller_left = None
            watcher.kill()

    def watch_caller(self) -> None:
        """
        Detect that the caller disconnects, and buffer pipelined requests.

        No more is read once these, with what was left by earlier requests, or the
        bodies of all requests reach their limit.
        """
        while self.may_read_ahead():
            try:
                data = self.socket.recv(READ_BYTES)
            except TimeoutError:
                continue
            except OSError:
                data = b""
            if not data:
                self.mark_caller_left()
                return
            self.protocol.receive_data(data)

    def may_read_ahead(self) -> bool:
        """Account for pipelined requests; return whether more of them may be read."""
        size = len(self.protocol.trailing_data[0])
        return self.pipelined_buffer.resize(size) and size < MAX_PIPELINED_BYTES

    def mark_caller_left(self) -> None:
        """Record that the caller disconnected and call ``on_caller_left``."""
        self.caller_left = True
        if self.on_caller_left is not None:
            self.on_caller_left()

    def write(self, data: bytes | None) -> None:
        """Send bytes; raise ``CallerLeftError`` if the caller is gone."""
        if self.caller_left:
            raise CallerLeftError
        if not data:
            return
        try:
            write_in_time(self.socket, data, self.caller_waits_until)
        except TimeoutError as exc:
            self.caller_left = True
            self.server.count_slow_caller("response not read")
            logger.info(
                "closed the connection of a caller that does not read its response",
                extra={"request": self.request_id.decode("latin-1")},
            )
            raise CallerLeftError from exc
        except OSError as exc:
            self.caller_left = True
            raise CallerLeftError from exc
        finally:
            self.socket.settimeout(None)

    def send_head(self, status: int, headers: Headers) -> None:
        """Start a response; its head is sent together with the first body bytes."""
        ends = self.server.closing or self.server.is_leaving()
        if ends and not self.next_request_has_started():
            headers = [*headers, (b"Connection", b"close")]
        if not any(name.lower() == b"content-length" for name, _value in headers):
            self.set_linger(RESET_AT_CLOSE)
        event = h11.Response(status_code=status, headers=headers)
        self.unsent += self.protocol.send(event) or b""

    def send_data(self, data: bytes) -> None:
        """Send a part of the body, together with the head if that is still unsent."""
        self.flush_with(self.protocol.send(h11.Data(data=data)))

    def finish_response(self) -> None:
        """Complete a response."""
        self.flush_with(self.protocol.send(h11.EndOfMessage()))
        self.set_linger(CLOSE_IN_ORDER)

    def flush_with(self, data: bytes | None) -> None:
        """Send the unsent bytes followed by ``data`` in one write."""
        unsent, self.unsent = self.unsent, b""
        self.write(unsent + (data or b""))

    def response_started(self) -> bool:
        """Return whether any part of the current response was generated."""
        return self.protocol.our_state is not h11.SEND_RESPONSE

    def answer_at_end(self) -> None:
        """Answer a request that the end of the process cuts off, if still possible."""
        if not self.processing or self.caller_left or self.response_started():
            return
        try:
            # 502 promises nothing: the request may run on at a back end.
            self.send_problem(502, "the process ends")
        except CallerLeftError:
            return
        self.mark_caller_left()

    def abandon_response(self) -> None:
        """Have the connection closed without the last chunk of the response."""
        self.caller_left = True
        self.set_linger(RESET_AT_CLOSE)

    def set_linger(self, value: bytes) -> None:
        """
        Set how the connection of a caller before HTTP/1.1 ends.

        Such a caller gets no chunks, so that an orderly end completes a response
        without a length. Until that is complete any end is a reset, also that of a
        process that is killed.
        """
        if self.protocol.their_http_version == b"1.1":
            return
        with suppress(OSError):  # the caller closed it first
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    @property
    def comes_late(self) -> bool:
        """Return whether the current request began to arrive after the close."""
        return self.server.closing and not self.busy_at_close

    def is_idle(self) -> bool:
        """Return whether no byte of a request has arrived, not even an unread one."""
        if self.processing or self.request_started_at:
            return False
        return not is_readable(self.socket)

    def close_when_idle(self) -> None:
        """Shut down an idle connection, a new one after the time for its request."""
        if self not in self.server.connections or not self.is_idle():
            return
        remaining_s = self.accepted_at + FIRST_REQUEST_S - clock.now()
        if remaining_s > 0:
            eventlet.spawn_after(remaining_s, self.close_when_idle)
            return
        self.busy_at_close = False
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # the caller closed it first

    def send_problem(
        self, status: int, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Send a problem response that the entry generates itself."""
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
        if not self.wants_no_body:
            self.unsent += self.protocol.send(h11.Data(data=body)) or b""
        self.finish_response()

    def refuse_request(
        self, status: int, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Refuse a request that was not read to its end, and end the connection."""
        logger.info("refused a request", extra={"status": status, "reason": detail})
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = json.dumps({"status": status, "detail": detail}).encode()
        headers = [
            (b"Content-Type", b"application/problem+json"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
        response = h11.Response(status_code=status, headers=headers)
        data = self.protocol.send(response) or b""
        if not self.wants_no_body:
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.write(data)
        self.linger_before_close()

    def linger_before_close(self) -> None:
        """
        Read and discard input for ``LINGER_S`` before the connection is closed.

        Input that is unread, or arrives after a close, resets the connection, and the
        caller could lose the response.
        """
        deadline = clock.now() + LINGER_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (remaining_s := deadline - clock.now()) > 0:
                self.socket.settimeout(remaining_s)
                if not self.socket.recv(READ_BYTES):
                    return
                eventlet.sleep(0)  # a read that finds bytes does not wait
        except OSError:
            return  # the caller is gone, so the response needs no protection


def is_readable(sock: Any) -> bool:
    """Return whether a socket has input, or a connection to accept."""
    poller = select_module.poll()
    poller.register(sock.fileno(), select_module.POLLIN)
    return bool(poller.poll(0))


def head_size(head: h11.Request) -> int:
    """Return the size in bytes of a request head with the usual separators."""
    size = len(head.method) + len(head.target) + len("  HTTP/1.1") + 4
    return size + sum(len(name) + len(value) + 4 for name, value in head.headers)
