"""Buffering of event streams up to the last complete event."""

from __future__ import annotations

from hypothesis import given, strategies

from primroselever_entry.direct.event_stream import EventBuffer

STREAM = b"id: 1\ndata: a\n\nid: 2\nweight-versions: 3\ndata: b\n\nid: 3\ndata: c\n\n"


def test_incomplete_event_is_held_back():
    buffer = EventBuffer()
    assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert buffer.last_event_id == b"1"
    assert buffer.partial_event == b"id: 2\nda"
    assert buffer.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert buffer.last_event_id == b"2"


@given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=8))
def test_output_does_not_depend_on_how_the_input_is_split(cuts):
    buffer = EventBuffer()
    edges = [0, *sorted(cuts), len(STREAM)]
    out = b"".join(
        buffer.feed(STREAM[start:end])
        for start, end in zip(edges, edges[1:], strict=False)
    )
    assert out == STREAM
    assert buffer.last_event_id == b"3"
    assert buffer.partial_event == b""
