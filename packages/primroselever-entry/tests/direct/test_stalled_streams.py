"""
Streams that stall although bytes still arrive, and streams that are slow but sound.

The limits on silence are shortened to well below PAUSE_S, the pause of a back end.
"""

from __future__ import annotations

import eventlet
import pytest

from primroselever_entry.direct import sending

from .conftest import (
    EVENTS,
    FLOOD,
    HANG,
    PAUSE,
    STREAM_END,
    ask,
    assert_complete,
    chunk,
    ok_response,
    stream_head,
)

pytestmark = pytest.mark.usefixtures("long_limits")

DRIP_S = 0.02
SILENCE_S = 0.08  # several drips
ROUTE_TIMEOUT_S = 0.6


@pytest.fixture(autouse=True)
def silence(monkeypatch) -> None:
    monkeypatch.setattr(sending, "MAX_STREAM_SILENCE_S", SILENCE_S)
    monkeypatch.setattr(sending, "MAX_SILENCE_FACTOR", 0.1)


def drip(first: bytes, part: bytes):
    """Yield a part of a stream, and then a small one at each interval without end."""
    yield first
    while True:
        eventlet.sleep(DRIP_S)
        yield chunk(part)


# Guards against a stalled back end that keeps its caller until the deadline because it
# sends a byte of the next event, or a comment, now and then.
@pytest.mark.parametrize("part", [b"x", b": still here\n\n", b": x"])
@pytest.mark.parametrize("events", [0, 1])
def test_a_stalled_stream_that_sends_a_byte_at_times_is_resumed_elsewhere(
    entry, part, events
):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    head = stream_head()
    sent = b"".join(map(chunk, EVENTS[:events]))
    first.responses = [drip(head + sent, part)]
    second.responses = [[head + b"".join(map(chunk, EVENTS[events:])) + STREAM_END]]
    with eventlet.Timeout(ROUTE_TIMEOUT_S / 2):
        assert_complete(ask(entry))
    assert len(second.requests) == 1


# Guards against a stalled stream without another back end that outlasts its route.
def test_a_stalled_stream_of_the_only_back_end_ends_at_the_timeout(entry):
    entry.limit_requests(ROUTE_TIMEOUT_S)
    entry.add("a", "engine").responses = [drip(stream_head() + chunk(EVENTS[0]), b"x")]
    with eventlet.Timeout(ROUTE_TIMEOUT_S + 0.5):
        assert not ask(entry).endswith(STREAM_END)


# Guards against cutting off a sound stream whose events arrive slowly, each in many
# small parts and with pauses just below the limit.
def test_a_slow_but_sound_stream_is_not_sent_elsewhere(entry):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7

    def parts():
        yield stream_head()
        for event in EVENTS:
            for start in range(0, len(event), 5):
                eventlet.sleep(DRIP_S / 2)
                yield chunk(event[start : start + 5])
        yield STREAM_END

    first.responses = [parts()]
    assert_complete(ask(entry))
    assert second.requests == []


# Guards against a comment that counts as the first event: the time for the first event
# of a sound stream would end early, and the measured one would be wrong.
@pytest.mark.parametrize("comment", [b": working\n\n", b":"])
def test_a_comment_is_not_the_first_event(entry, monkeypatch, comment):
    monkeypatch.setattr(sending, "MAX_SILENCE_FACTOR", 100.0)
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    recorded = []
    monkeypatch.setattr(entry.flow.instruments, "record_first_event", recorded.append)

    def parts():
        yield stream_head() + chunk(comment)
        yield PAUSE
        assert recorded == []
        yield chunk(b"\n\n" + EVENTS[0]) + b"".join(map(chunk, EVENTS[1:]))
        yield STREAM_END

    first.responses = [parts()]
    assert_complete(ask(entry))
    assert second.requests == []
    assert len(recorded) == 1


# Guards against work that is given up since another back end sent a comment: the silent
# one goes on before the other one has sent an event.
def test_a_comment_does_not_replace_a_silent_attempt(entry):
    entry.limit_requests(ROUTE_TIMEOUT_S)
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    commented = eventlet.Event()

    def silent_parts():
        yield stream_head() + chunk(EVENTS[0])
        commented.wait()
        yield from [*map(chunk, EVENTS[1:]), STREAM_END]

    def comment_parts():
        yield stream_head() + chunk(b": working\n\n")
        commented.send()
        yield HANG

    first.responses, second.responses = [silent_parts()], [comment_parts()]
    assert_complete(ask(entry))
    assert second.disconnects == 1


# Guards against a stalled back end that ends the attempt which replaces it by a byte of
# an event or of the head, or by a comment.
@pytest.mark.parametrize("events", [0, 1, None])
@pytest.mark.parametrize("part", [b"x", b": still here\n\n"])
def test_a_byte_of_a_stalled_stream_does_not_end_the_next_attempt(entry, events, part):
    entry.limit_requests(ROUTE_TIMEOUT_S)
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    head, asked, dripped = stream_head(), eventlet.Event(), eventlet.Event()

    def stalled_parts():
        yield (
            head[:20]
            if events is None
            else head + b"".join(map(chunk, EVENTS[:events]))
        )
        asked.wait()
        yield head[20:30] if events is None else chunk(part)
        dripped.send()
        yield HANG

    def parts():
        asked.send()
        dripped.wait()
        yield PAUSE  # the entry has received the byte
        yield head + b"".join(map(chunk, EVENTS[events or 0 :])) + STREAM_END

    first.responses, second.responses = [stalled_parts()], [parts()]
    assert_complete(ask(entry))
    assert second.disconnects == 0


# Guards against comments of a stalled back end that are kept without bound, and against
# a greenlet that reads them again and again, while another one answers.
def test_what_a_stalled_stream_sends_meanwhile_is_bounded(entry):
    entry.limit_requests(ROUTE_TIMEOUT_S)
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    asked, held = eventlet.Event(), []
    first.flood_block = chunk(b": " + b"x" * 60_000 + b"\n\n")

    def stalled_parts():
        yield stream_head() + chunk(EVENTS[0])
        asked.wait()
        yield FLOOD

    def parts():
        asked.send()
        while first.flood_bytes < 2 * entry.flow.limits.buffers.event_bytes:
            eventlet.sleep(0.001)
            held.append(entry.flow.buffers.held_bytes)
            if len(held) > 50:
                break
        yield stream_head() + b"".join(map(chunk, EVENTS[1:])) + STREAM_END

    first.responses, second.responses = [stalled_parts()], [parts()]
    assert_complete(ask(entry))
    assert max(held) <= entry.flow.limits.buffers.event_bytes
    assert entry.flow.buffers.held_bytes == 0


# Guards against a plain answer, or a head, that drips without end.
@pytest.mark.parametrize("start", [b"HTTP/1.1 200 OK\r\nx-a: ", *ok_response(b"12")])
def test_a_plain_answer_that_drips_ends_at_the_timeout(entry, start):
    def parts():
        yield start.replace(b"Length: 2", b"Length: 999")
        while True:
            yield b"x"

    entry.limit_requests(ROUTE_TIMEOUT_S)
    backend = entry.add("a")
    backend.responses = [parts()]
    with eventlet.Timeout(ROUTE_TIMEOUT_S + 2.0):
        response = entry.send("/order/x", method="POST", body=b"ink")
    assert response.startswith(b"HTTP/1.1 504")
    assert len(backend.requests) == 1
