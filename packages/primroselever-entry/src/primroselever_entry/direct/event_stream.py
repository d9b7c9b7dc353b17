"""
Buffering of event streams, so that another back end can resume after a complete event.

The format is WHATWG server-sent events: lines end with LF, CR or CR LF, a blank line
ends an event, and a line that starts with a colon is a comment. A resumed stream sends
the ``id`` of the last event that was received.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from primroselever_node.direct.responses import BrokenExchangeError

if TYPE_CHECKING:
    from collections.abc import Iterator

# A CR at the end of what has arrived counts as a line end. If an LF follows, it becomes
# an empty line before the next event, which has no meaning.
LINE_END = re.compile(rb"\r\n|\n|\r")
# Any two line ends in a row contain one of these, and each of these is or begins two.
EVENT_ENDS = (b"\n\n", b"\n\r", b"\r\r")
# Lines without a blank one between them.
BLOCK = re.compile(rb"[^\r\n]+(?:(?:\r\n|[\r\n])[^\r\n]+)*")
ID_LINE = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n\0]*)(?=[\r\n]|\Z)")
# Only a block with one of these is an event. One of other lines, such as ``retry``, has
# no content for the caller.
EVENT_FIELD = re.compile(rb"(?:\A|[\r\n])(?:data|event|id)(?=[:\r\n]|\Z)")
RETRY_FIELD = re.compile(rb"(?:\A|[\r\n])retry(?=[:\r\n]|\Z)")
OTHER_FIELD = re.compile(rb"[\w.-]*:")  # callers ignore it, or it is a comment
MAX_NUMBER_DIGITS = 18  # longer identifiers are not compared as numbers
COMMENT_START = b":"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"  # may precede the first line of a stream


class WrongEventsError(BrokenExchangeError):
    """What a server sent is no part of the stream, although the exchange is sound."""


@dataclass(frozen=True, slots=True)
class Event:
    """
    A complete event among released bytes.

    ``identifier`` is None if it has none, and ``start`` its place in these bytes.
    """

    identifier: bytes | None
    start: int


@dataclass(slots=True)
class EventIds:
    """
    The identifiers of a stream, to check that another run goes on after the last one.

    Numbers are taken for consecutive until two events in a row are not. Of identifiers
    that are no numbers, only the repetition of the first or last one is noticed.
    ``ends_with_id`` is set if the last event has the identifier ``last_id``: after an
    event without one, a server cannot be told where to go on.
    """

    first_id: bytes = b""
    last_id: bytes = b""
    ends_with_id: bool = False
    are_consecutive: bool = True

    def add(self, identifier: bytes | None) -> None:
        """Add the identifier of the next event, None if it has none."""
        self.ends_with_id = bool(identifier)
        if not identifier:
            return
        if self.last_id and self.are_consecutive:
            self.are_consecutive = self.follows(identifier)
        self.first_id = self.first_id or identifier
        self.last_id = identifier

    def follows(self, identifier: bytes | None) -> bool:
        """Return whether an identifier can be that of the event after the last one."""
        if not identifier:
            return False
        number, last_number = parse_number(identifier), parse_number(self.last_id)
        if last_number is None:
            return identifier not in (self.first_id, self.last_id)
        if number is None:
            return False
        is_next = number == last_number + 1
        return is_next or (number > last_number and not self.are_consecutive)


@dataclass(slots=True)
class EventBuffer:
    r"""
    Buffers the bytes that one back end sends and releases complete events only.

    ``partial_event`` is what has come of the next event, and ``last_event_id`` that of
    the last complete event, empty before the first one. ``completed`` are the events
    that the last call of ``feed`` completed. ``released_any`` is set once an event was
    complete; comments alone are none. ``release_count`` counts the calls of ``feed``
    that completed an event, which shows whether a stream makes progress.

        >>> buffer = EventBuffer()
        >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2\n")
        b'id: 1\ndata: a\n\n'
        >>> buffer.is_inside_event()
        True
    """

    partial_event: bytearray = field(default_factory=bytearray)
    last_event_id: bytes = b""
    completed: list[Event] = field(default_factory=list)
    released_any: bool = False
    release_count: int = 0

    def feed(self, data: bytes) -> bytes:
        """
        Add bytes; return those of all events that are now complete.

        Raise ``WrongEventsError`` if one of them is a text that is no event.
        """
        self.completed = []
        searched_from = max(0, len(self.partial_event) - 1)
        self.partial_event += data
        end = self.find_last_event_end(searched_from)
        if not end:
            return b""
        complete = bytes(self.partial_event[:end])
        del self.partial_event[:end]
        lines = self.without_byte_order_mark(complete)
        self.completed = list(find_events(lines, len(complete) - len(lines)))
        if self.completed:
            self.released_any = True
            self.release_count += 1
        for event in self.completed:
            if event.identifier is not None:
                self.last_event_id = event.identifier
        return complete

    def find_last_event_end(self, start: int) -> int:
        """Return the end of the last complete event after ``start``, 0 if none ends."""
        buffer = self.partial_event
        end = max(buffer.rfind(pair, start) for pair in EVENT_ENDS) + 2
        if end == 1:
            return 0
        is_cr_lf = buffer[end - 1 : end + 1] == b"\r\n"
        return end + 1 if is_cr_lf else end

    def without_byte_order_mark(self, data: bytes) -> bytes:
        """Return bytes without the mark that may begin the stream."""
        return data if self.released_any else data.removeprefix(BYTE_ORDER_MARK)

    def is_inside_event(self) -> bool:
        """
        Return whether an event has started and is not complete.

        Blank lines and complete comments between two events are not part of one.
        """
        data = self.without_byte_order_mark(bytes(self.partial_event))
        unfinished_line = LINE_END.split(data)[-1]
        return bool(unfinished_line) or has_fields(data)


def find_events(data: bytes, offset: int) -> Iterator[Event]:
    """
    Yield the events in complete blocks, whose places count from an offset.

    Raise ``WrongEventsError`` if a block is a text, such as that of an error.
    """
    for match in BLOCK.finditer(data):
        block = match[0]
        if EVENT_FIELD.search(block):
            ids = ID_LINE.findall(block)
            identifier = ids[-1].strip() if ids else None
            yield Event(identifier, offset + match.start())
        elif is_text(block):
            raise WrongEventsError("a text that is no event is in the stream")


def is_text(block: bytes) -> bool:
    """Return whether a block that is no event has lines that are no fields."""
    if RETRY_FIELD.search(block):
        return False
    return not all(map(OTHER_FIELD.match, LINE_END.split(block)))


def parse_number(identifier: bytes) -> int | None:
    """Return the number that an identifier is, None if it is none."""
    is_number = identifier.isdigit() and len(identifier) <= MAX_NUMBER_DIGITS
    return int(identifier) if is_number else None


def has_fields(data: bytes) -> bool:
    """Return whether any line is neither blank nor a comment."""
    return any(
        line and not line.startswith(COMMENT_START) for line in LINE_END.split(data)
    )
