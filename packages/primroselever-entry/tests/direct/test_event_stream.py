"""Buffering of event streams up to the last complete event."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from primroselever_entry.direct.event_stream import EventBuffer

LINE_ENDS = [b"\n", b"\r\n", b"\r"]
STREAM = b"id: 1\ndata: a\n\nid: 2\nweight-versions: 3\ndata: b\n\nid: 3\ndata: c\n\n"


def test_incomplete_event_is_held_back():
    buffer = EventBuffer()
    assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert buffer.last_event_id == b"1"
    assert buffer.partial_event == b"id: 2\nda"
    assert buffer.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert buffer.last_event_id == b"2"


@given(
    strategies.lists(strategies.integers(0, 2 * len(STREAM)), max_size=8),
    strategies.sampled_from(LINE_ENDS),
)
def test_output_does_not_depend_on_how_the_input_is_split(cuts, line_end):
    stream = STREAM.replace(b"\n", line_end)
    buffer = EventBuffer()
    edges = [0, *sorted(cuts), len(stream)]
    out = b"".join(
        buffer.feed(stream[start:end])
        for start, end in zip(edges, edges[1:], strict=False)
    )
    # The LF of a last CR LF may come after its event was released.
    assert out + buffer.partial_event == stream
    assert buffer.partial_event in (b"", b"\n")
    assert buffer.last_event_id == b"3"
    assert not buffer.is_inside_event()


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_event_is_released_at_its_blank_line(line_end):
    buffer = EventBuffer()
    first, second = (
        event.replace(b"\n", line_end) for event in (b"id: 1\n\n", b"id: 2\ndata: b\n")
    )
    assert buffer.feed(first + second) == first
    assert buffer.is_inside_event()
    assert buffer.feed(line_end) == second + line_end
    assert not buffer.is_inside_event()


# Guards against a CR LF whose halves arrive in two reads, and which is taken for a
# blank line.
def test_a_line_end_that_arrives_in_two_parts_does_not_end_an_event():
    buffer = EventBuffer()
    assert buffer.feed(b"id: 1\r") == b""
    assert buffer.feed(b"\ndata: a\r") == b""
    assert buffer.feed(b"\n\r\n") == b"id: 1\r\ndata: a\r\n\r\n"


@pytest.mark.parametrize(
    ("rest", "inside"),
    [
        (b"", False),
        (b"\n", False),
        (b"\r\n", False),
        (b": a comment\n", False),
        (b": a comment\r\n\r", False),
        (b": a com", True),
        (b"d", True),
        (b"data: b\n", True),
        (b"data: b\r\n", True),
        (b"id\n", True),
        (b": a comment\ndata: b\n", True),
        (b"data: b\n: a comment\n", True),
    ],
)
def test_position_after_a_complete_event(rest, inside):
    buffer = EventBuffer()
    buffer.feed(b"id: 1\ndata: a\n\n" + rest)
    assert buffer.is_inside_event() is inside


def test_byte_order_mark_does_not_hide_the_first_identifier():
    buffer = EventBuffer()
    assert buffer.feed(b"\xef\xbb\xbf") == b""
    assert not buffer.is_inside_event()
    assert buffer.feed(b"id: 1\n\n") == b"\xef\xbb\xbfid: 1\n\n"
    assert buffer.last_event_id == b"1"


@pytest.mark.parametrize(
    ("line", "identifier"),
    [
        (b"id: 7", b"7"),
        (b"id:7", b"7"),
        (b"id:", b""),
        (b"ident: 7", b"1"),
        (b"id: \x007", b"1"),
    ],
)
def test_identifier_of_the_last_event(line, identifier):
    buffer = EventBuffer()
    buffer.feed(b"id: 1\n\ndata: a\n" + line + b"\n\n")
    assert buffer.last_event_id == identifier
