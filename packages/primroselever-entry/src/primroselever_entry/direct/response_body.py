"""What is kept and what is forwarded of a response's body while it arrives."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from functools import singledispatch
from typing import TYPE_CHECKING

from primroselever_core.catalogue.model import RouteKind
from primroselever_core.dispatch.buffers import Buffer
from primroselever_node.direct.responses import (
    AnswerTooLargeError,
    BrokenExchangeError,
    Framing,
    ResponseEnd,
    header,
)

from .event_stream import EventBuffer, WrongEventsError

if TYPE_CHECKING:
    from primroselever_core.dispatch.buffers import BufferAccount, BufferLimits
    from primroselever_node.direct.responses import ResponseHead

    from .request_state import RequestState


class BuffersFullError(BrokenExchangeError):
    """Other responses hold all that may be buffered."""


@dataclass(slots=True)
class ResponseBody:
    """The body of one response; ``buffer`` accounts for what is kept of it."""

    state: RequestState
    limits: BufferLimits
    buffer: Buffer


@dataclass(slots=True)
class StreamBody(ResponseBody):
    """
    The body of a stream.

    Complete events are forwarded if another back end may resume the stream, and
    otherwise all bytes. ``events`` holds the incomplete event. ``follows_run`` is set
    if bytes of another run were forwarded, and ``is_joined`` once an event was found to
    continue it. ``ahead`` holds parts that arrived after a silence and are not added
    yet, and ``events_ahead`` the events after them.
    """

    follows_run: bool = False
    is_joined: bool = False
    events: EventBuffer = field(default_factory=EventBuffer)
    ahead: deque[bytes | ResponseEnd] = field(default_factory=deque)
    events_ahead: EventBuffer = field(default_factory=EventBuffer)

    def add_ahead(self, part: bytes | ResponseEnd) -> None:
        """Keep a part that arrived after a silence."""
        if not self.ahead:
            partial_event = bytearray(self.events.partial_event)
            self.events_ahead = replace(self.events, partial_event=partial_event)
        self.ahead.append(part)
        if isinstance(part, bytes):
            self.events_ahead.feed(part)
            size = self.buffer.held_bytes + len(part)
            if size > self.limits.event_bytes or not self.buffer.resize(size):
                raise BuffersFullError("too much was received ahead")

    def count_ahead_bytes(self) -> int:
        """Return the size of the parts that are not added yet."""
        return sum(len(part) for part in self.ahead if isinstance(part, bytes))

    def is_progress_ahead(self) -> bool:
        """Return whether a complete event or the end is among the parts ahead."""
        if not self.ahead:
            return False
        completes = self.events_ahead.release_count > self.events.release_count
        return completes or isinstance(self.ahead[-1], ResponseEnd)


@dataclass(slots=True)
class PlainBody(ResponseBody):
    """
    The body of a plain answer or of an error.

    It is kept up to a limit, so that another back end can still be tried, and then
    forwarded as it arrives.
    """

    kept: bytearray = field(default_factory=bytearray)


def open_body(
    state: RequestState,
    head: ResponseHead,
    limits: BufferLimits,
    account: BufferAccount,
) -> StreamBody | PlainBody:
    """Return the empty body of a response to a request."""
    if state.route.kind is RouteKind.STREAMING and head.status_code == 200:
        return StreamBody(
            state, limits, Buffer(account), follows_run=state.head_forwarded
        )
    return PlainBody(state, limits, Buffer(account))


@singledispatch
def accept_part(body: ResponseBody, data: bytes) -> bytes:
    """Add received bytes; return those to be forwarded now."""
    raise NotImplementedError


@accept_part.register(StreamBody)
def _(body: StreamBody, data: bytes) -> bytes:
    """Return complete events, or all bytes if the stream may not be resumed."""
    events = body.events.feed(data)
    partial_bytes = len(body.events.partial_event)
    if partial_bytes > body.limits.event_bytes:
        raise AnswerTooLargeError("an event is too large")
    if not body.buffer.resize(partial_bytes + body.count_ahead_bytes()):
        raise BuffersFullError("the buffers of all responses are full")
    state = body.state
    if not state.route.resumable:
        return data
    if body.follows_run and not body.is_joined:
        events = join_events(body, events)
    if body.events.completed:
        # After comments alone, a silent back end may still resume.
        state.released_bytes += len(events)
        state.event_forwarded = True
    for event in body.events.completed:
        state.event_ids.add(event.identifier)
    return events


def join_events(body: StreamBody, events: bytes) -> bytes:
    """
    Return what may follow the events of another run, nothing before the first event.

    What precedes it, such as comments or a byte order mark, belongs to the beginning of
    a stream. Raise ``WrongEventsError`` if the event is not the next one: the caller
    would get events twice, or miss some.
    """
    if not body.events.completed:
        return b""
    first = body.events.completed[0]
    state = body.state
    if state.event_forwarded and not state.event_ids.follows(first.identifier):
        raise WrongEventsError("the events do not go on after the last one")
    body.is_joined = True
    return events[first.start :]


@accept_part.register(PlainBody)
def _(body: PlainBody, data: bytes) -> bytes:
    """Return nothing up to the limit, and then what was kept and all that follows."""
    state = body.state
    size = len(body.kept) + len(data)
    if (
        not state.plain_part_forwarded
        and size <= body.limits.answer_bytes
        and body.buffer.resize(size)
    ):
        body.kept += data
        return b""
    state.plain_part_forwarded = True
    state.released_bytes += size
    released = bytes(body.kept) + data
    body.kept.clear()
    body.buffer.resize(0)
    return released


@singledispatch
def check_end(body: ResponseBody, head: ResponseHead) -> None:
    """Raise an error if the body has ended where it cannot be complete."""


@check_end.register(StreamBody)
def _(body: StreamBody, head: ResponseHead) -> None:
    """
    Raise an error inside an event, or before any event if that may be too early.

    That is so if the connection ended, or if the stream is to be resumed: an empty
    answer does not show that the last event had been sent before.
    """
    if body.events.is_inside_event():
        raise BrokenExchangeError("the stream ended inside an event")
    if body.events.released_any:
        return
    if head.framing is Framing.CONNECTION:
        raise BrokenExchangeError("the stream ended before its first event")
    if body.follows_run:
        raise WrongEventsError("the stream ended without going on")


@singledispatch
def unsent_bytes(body: ResponseBody) -> bytes:
    """Return what is still to be forwarded of a complete body."""
    raise NotImplementedError


@unsent_bytes.register(StreamBody)
def _(body: StreamBody) -> bytes:
    """Return the comments and blank lines after the last event."""
    return bytes(body.events.partial_event) if body.state.route.resumable else b""


@unsent_bytes.register(PlainBody)
def _(body: PlainBody) -> bytes:
    """Return what was kept."""
    return bytes(body.kept)


@singledispatch
def caller_length(body: ResponseBody, head: ResponseHead) -> bytes:
    """Return the length of the response to the caller, or empty bytes without one."""
    raise NotImplementedError


@caller_length.register(StreamBody)
def _(body: StreamBody, head: ResponseHead) -> bytes:
    """Return no length, since another back end may resume the stream."""
    return header(head.headers, b"content-length") if is_bodiless(head) else b""


@caller_length.register(PlainBody)
def _(body: PlainBody, head: ResponseHead) -> bytes:
    """Return the length of what was kept whole, whatever its framing was."""
    if not is_bodiless(head) and not body.state.plain_part_forwarded:
        return str(len(body.kept)).encode()
    if is_bodiless(head) or head.framing is Framing.LENGTH:
        return header(head.headers, b"content-length")
    return b""


def content_format(head: ResponseHead) -> tuple[bytes, bytes]:
    """Return the media type without parameters, and the encoding, of a body."""
    media_type = header(head.headers, b"content-type").partition(b";")[0]
    encoding = header(head.headers, b"content-encoding")
    return media_type.strip().lower(), encoding.strip().lower()


def is_bodiless(head: ResponseHead) -> bool:
    """Return whether the response has no body, as one to HEAD, whatever its length."""
    return head.framing is Framing.NO_BODY
