"""
Reading of HTTP/1.1 responses, without I/O.

The reader yields the head and the parts of a response, and then exactly one end; a
response that does not come to its end raises ``BrokenExchangeError``. Which end of a
connection completes which response is decided here only, see
docs/decisions/responses.md.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import h11

from primroselever_core.exceptions import PrimroseleverError

Headers = list[tuple[bytes, bytes]]

MAX_HEAD_BYTES = 65536  # response heads of back ends have a few hundred bytes
MAX_INFORMATIONAL_RESPONSES = 16
# Responses to earlier requests that may precede the one to the current request.
MAX_FOREIGN_RESPONSES = 2
MAX_FOREIGN_BYTES = 1 << 20
MAX_KNOWN_IDS = 64  # of the latest requests on a connection; later copies are unlikely
STATUSES_WITHOUT_BODY = (204, 304)


class BrokenExchangeError(PrimroseleverError):
    """The exchange failed, and the server may have received the request."""


class MalformedAnswerError(BrokenExchangeError):
    """The received bytes are not a valid answer to the request."""


class AnswerTooLargeError(BrokenExchangeError):
    """The answer is larger than the limit in bytes for its kind."""


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


class ResponseEnd(StrEnum):
    """The end of a complete response."""

    FRAMED = "its framing ended"
    CLOSED = "the server closed the connection, and nothing else marks the end"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a response; header names are in lower case."""

    status_code: int
    headers: Headers
    framing: Framing


class ResponseReader:
    """
    Reads the responses to the requests on one connection, one after the other.

    ``connection_end`` is how the connection ended; the first end that is recorded
    holds. ``body_bytes`` counts what was read of the current body. ``repeats_ids`` is
    set once the server has repeated the identifier of a request on this connection, and
    ``answered_ids`` holds the hashes of the latest identifiers that it repeated.
    """

    def __init__(self) -> None:
        self.protocol = new_protocol()
        self.connection_end = ConnectionEnd.OPEN
        self.request: h11.Request | None = None
        self.head: ResponseHead | None = None
        self.body_bytes = 0
        self.informational_count = 0
        self.foreign_count = 0
        self.foreign_bytes = 0
        self.skipping = False
        self.repeats_ids = False
        self.answered_ids: deque[int] = deque(maxlen=MAX_KNOWN_IDS)

    def start_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> bytes:
        """Return the bytes of a request whose response is to be read."""
        self.request = h11.Request(method=method, target=target, headers=headers)
        self.head = None
        self.body_bytes = 0
        data = self.protocol.send(self.request) or b""
        if body:
            data += self.protocol.send(h11.Data(data=body)) or b""
        return data + (self.protocol.send(h11.EndOfMessage()) or b"")

    def receive_data(self, data: bytes) -> None:
        """Add received bytes, which are not empty."""
        self.pass_to_protocol(data)

    def record_end(self, end: ConnectionEnd) -> None:
        """Record how the connection ended, unless it had ended before."""
        if self.connection_end is ConnectionEnd.OPEN:
            self.connection_end = end

    def receive_end(self) -> None:
        """
        Handle that no more bytes follow.

        Only a server that closes the connection can complete a response with it. A
        reset or an own shutdown may look the same to a read, but was recorded.
        """
        self.record_end(ConnectionEnd.CLOSED)
        if self.connection_end is not ConnectionEnd.CLOSED:
            raise BrokenExchangeError(f"the connection was {self.connection_end}")
        self.pass_to_protocol(b"")

    def pass_to_protocol(self, data: bytes) -> None:
        """Pass bytes to the parser; empty bytes are the end of the connection."""
        try:
            self.protocol.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise MalformedAnswerError(str(exc)) from exc

    def next_event(self) -> Any:
        """Return the next event of the parser, None if it needs more bytes."""
        try:
            event = self.protocol.next_event()
        except h11.RemoteProtocolError as exc:
            raise MalformedAnswerError(str(exc)) from exc
        return None if event is h11.NEED_DATA else event

    def next_head(self, request_id: bytes, id_header: bytes) -> ResponseHead | None:
        """
        Return the head of the response to this request, None if bytes are missing.

        An extra response to an earlier request may precede it. Back ends repeat the
        request identifier in ``id_header``; responses with another one are skipped.
        """
        while (event := self.next_event()) is not None:
            if self.skipping:
                self.skip(event)
            elif isinstance(event, h11.InformationalResponse):
                self.informational_count += 1
                if self.informational_count > MAX_INFORMATIONAL_RESPONSES:
                    raise MalformedAnswerError("too many informational responses")
            elif not isinstance(event, h11.Response):
                raise MalformedAnswerError("the connection ended before an answer")
            else:
                head = self.read_head(event)
                if self.answers_request(head, request_id, id_header):
                    self.head = head
                    return head
                self.start_skipping(head)
        return None

    def answers_request(
        self, head: ResponseHead, request_id: bytes, id_header: bytes
    ) -> bool:
        """
        Return whether a response is to the current request.

        A response without an identifier is taken from a server that sends none. Once
        the server has sent one on this connection, such a response may be a late copy
        of an earlier one, so ``MalformedAnswerError`` is raised.
        """
        if not request_id:
            return True
        answered_id = header(head.headers, id_header)
        if not answered_id:
            if self.repeats_ids:
                raise MalformedAnswerError("an answer names no request")
            return True
        if answered_id != request_id:
            return False
        self.repeats_ids = True
        self.answered_ids.append(hash(request_id))
        return True

    def has_answered(self, request_id: bytes) -> bool:
        """
        Return whether a late copy of an answer could be taken for that to a request.

        This is so if an earlier request with the same identifier, such as one that was
        refused and is sent again, was answered on this connection.
        """
        return hash(request_id) in self.answered_ids

    def read_head(self, event: h11.Response) -> ResponseHead:
        """Return the head in an event of the parser."""
        assert self.request is not None
        headers = list(event.headers)
        if self.request.method == b"HEAD" or event.status_code in STATUSES_WITHOUT_BODY:
            framing = Framing.NO_BODY
        elif header(headers, b"transfer-encoding"):
            framing = Framing.CHUNKS
        elif header(headers, b"content-length"):
            framing = Framing.LENGTH
        else:
            framing = Framing.CONNECTION
        return ResponseHead(event.status_code, headers, framing)

    def start_skipping(self, head: ResponseHead) -> None:
        """Start to skip a response to another request."""
        self.foreign_count += 1
        if self.foreign_count > MAX_FOREIGN_RESPONSES:
            raise MalformedAnswerError("answers of other requests came")
        if head.framing is Framing.CONNECTION:
            raise MalformedAnswerError("only an answer of another request came")
        self.skipping = True

    def skip(self, event: Any) -> None:
        """Skip a part of a response to another request, or its end."""
        if isinstance(event, h11.Data):
            self.foreign_bytes += len(event.data)
            if self.foreign_bytes > MAX_FOREIGN_BYTES:
                raise AnswerTooLargeError("an answer of another request is too large")
            return
        if not isinstance(event, h11.EndOfMessage):
            raise MalformedAnswerError("the connection ended within an answer")
        self.skipping = False
        rest, closed = self.protocol.trailing_data
        assert self.request is not None
        self.protocol = new_protocol()
        # The parser needs the request only to know how its response is framed.
        self.protocol.send(
            h11.Request(
                method=self.request.method,
                target=self.request.target,
                headers=[("Host", "-")],
            )
        )
        self.protocol.send(h11.EndOfMessage())
        if rest:
            self.pass_to_protocol(rest)
        if closed:
            self.pass_to_protocol(b"")

    def next_part(self) -> bytes | ResponseEnd | None:
        """Return the next part of the body or its end, None if bytes are missing."""
        event = self.next_event()
        if event is None:
            return None
        if isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise MalformedAnswerError("the connection ended within an answer")
        if self.head is not None and self.head.framing is Framing.CONNECTION:
            return ResponseEnd.CLOSED
        return ResponseEnd.FRAMED

    def has_extra_bytes(self) -> bool:
        """Return whether bytes were received after a complete response."""
        return bool(self.protocol.trailing_data[0])

    def prepare_for_reuse(self) -> bool:
        """Prepare for another request; return whether the connection may be kept."""
        states = (self.protocol.our_state, self.protocol.their_state)
        if states != (h11.DONE, h11.DONE) or self.foreign_count:
            return False
        if self.connection_end is not ConnectionEnd.OPEN:
            return False
        if self.has_extra_bytes() or self.protocol.trailing_data[1]:
            return False
        self.protocol.start_next_cycle()
        self.informational_count = 0
        return True


def new_protocol() -> h11.Connection:
    """Return a parser for the responses on a connection."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def header(headers: Any, name: bytes) -> bytes:
    """Return the value of a header, or empty bytes; ``name`` is in lower case."""
    for key, value in headers:
        if key == name:
            return bytes(value)
    return b""
