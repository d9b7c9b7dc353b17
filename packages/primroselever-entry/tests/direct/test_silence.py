"""
Back ends that send nothing for a while and go on, or stay silent.

The limits on silence are shortened to well below PAUSE_S, the pause of a back end.
"""

from __future__ import annotations

from dataclasses import replace

import eventlet
import pytest

from primroselever_core.dispatch.retry_share import RetryLimits
from primroselever_core.runs.fingerprint import fingerprint_of
from primroselever_core.suspects.section import CrashId
from primroselever_node import clock

from .conftest import (
    EVENTS,
    HANG,
    LONG_S,
    PAUSE,
    RESET,
    SHORT_S,
    STREAM_END,
    ask,
    assert_complete,
    chunk,
    events_of,
    ok_response,
    read_all,
    read_until,
    refusal,
    request,
    stream_head,
)

# Longer than the test, however slow the machine is.
EJECTION_S = 60.0
PAUSED_STREAM = [
    stream_head() + chunk(EVENTS[0] + EVENTS[1][:6]),
    PAUSE,
    chunk(EVENTS[1][6:]),
    chunk(EVENTS[2]) + STREAM_END,
]


pytestmark = pytest.mark.usefixtures("long_limits", "short_silence")


# Guards against streams that are cut off because their back end paused and no other
# could take over.
def test_stream_of_the_only_back_end_goes_on_after_a_pause(entry):
    entry.add("a", "engine").responses = [PAUSED_STREAM]
    assert_complete(ask(entry))


# Guards against streams that are cut off because the back end that was to take over
# after a pause refused: it had become full since its last report.
def test_stream_goes_on_after_a_pause_when_the_other_back_end_refuses(entry):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses, second.responses = [PAUSED_STREAM], [refusal()]
    assert_complete(ask(entry))
    assert len(second.requests) == 1


# Guards against streams that are cut off because no retry was left in the budget.
def test_stream_goes_on_after_a_pause_when_no_retry_is_left(entry):
    entry.flow.limits = replace(entry.flow.limits, retries=RetryLimits(0.0, 0.0, 10.0))
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [PAUSED_STREAM]
    assert_complete(ask(entry))
    assert second.requests == []


# Guards against waiting for a back end that is silent for good while another is free.
def test_stream_of_a_back_end_that_stays_silent_is_resumed_elsewhere(entry):
    entry.limit_requests(SHORT_S)
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [[stream_head() + chunk(EVENTS[0]), HANG]]
    second.responses = [
        [stream_head() + chunk(EVENTS[1]), chunk(EVENTS[2]) + STREAM_END]
    ]
    assert_complete(ask(entry))
    eventlet.sleep(0.01)
    assert first.disconnects == 1


# Guards against events that come twice: the silent back end may not go on after another
# one has sent events.
def test_silent_back_end_does_not_go_on_after_another_has_sent_events(entry):
    entry.limit_requests(SHORT_S)
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    forwarded = b""

    def first_parts():
        yield PAUSED_STREAM[0]
        while EVENTS[1] not in forwarded:
            yield PAUSE
        yield from PAUSED_STREAM[2:]

    def second_parts():
        yield stream_head() + chunk(EVENTS[1])
        while EVENTS[1] not in forwarded:
            yield PAUSE
        yield RESET

    first.responses, second.responses = [first_parts()], [second_parts()]
    connection = entry.connect()
    connection.sendall(request("/ask/x", "POST", b"p", ["x-model: m"]))
    with eventlet.Timeout(LONG_S / 4):
        while EVENTS[1] not in forwarded:
            received = connection.recv(4096)
            assert received, forwarded
            forwarded += received
    response = forwarded + read_all(connection)
    assert events_of(response) == b"".join(EVENTS[:2]).replace(b"\n\n", b"\n")
    assert not response.endswith(STREAM_END)


# Guards against a failure that is reported although the only back end still answers.
def test_repeatable_request_is_answered_after_a_pause_of_the_only_back_end(entry):
    entry.add("a").responses = [[PAUSE, *ok_response()]]
    assert entry.send().startswith(b"HTTP/1.1 200")


# Guards against work that goes on at a silent back end after the caller has left.
def test_caller_that_leaves_during_a_silence_ends_the_work(entry):
    backend = entry.add("a", "engine")
    backend.responses = [[stream_head() + chunk(EVENTS[0]), HANG]]
    connection = entry.connect()
    connection.sendall(request("/ask/x", "POST", b"p", ["x-model: m"]))
    eventlet.sleep(0.1)
    connection.close()
    eventlet.sleep(0.02)
    assert backend.disconnects == 1
    assert entry.board.backends.backends["a"].in_flight == 0


# Guards against waiting until the deadline for a back end that is silent for good
# although another one has become free meanwhile.
def test_back_end_that_appears_during_a_silence_takes_over(entry):
    entry.limit_requests(SHORT_S)
    first = entry.add("a", "engine")
    first.responses = [[stream_head() + chunk(EVENTS[0]), HANG]]
    connection = entry.connect()
    connection.sendall(request("/ask/x", "POST", b"p", ["x-model: m"]))
    eventlet.sleep(0.1)
    second = entry.add("b", "engine")
    second.responses = [
        [stream_head() + chunk(EVENTS[1]), chunk(EVENTS[2]) + STREAM_END]
    ]
    assert_complete(read_all(connection))


# Guards against work that a silent back end goes on with for nobody, and against its
# slot being held, once another back end has sent events.
def test_silent_back_end_is_released_once_another_has_sent_events(entry):
    entry.limit_requests(SHORT_S)
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [[stream_head() + chunk(EVENTS[0]), HANG]]
    second.responses = [[stream_head() + chunk(EVENTS[1]), HANG]]
    connection = entry.connect()
    connection.sendall(request("/ask/x", "POST", b"p", ["x-model: m"]))
    read_until(connection, EVENTS[1])
    eventlet.sleep(0.01)
    assert (first.disconnects, second.disconnects) == (1, 0)
    assert entry.board.backends.backends["a"].in_flight == 0


# Guards against an error that is joined to the events of another run as if it completed
# the stream.
@pytest.mark.parametrize("status", [b"404 Unknown", b"500 Failed"])
def test_error_of_the_resuming_back_end_is_not_joined_to_the_stream(entry, status):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [[stream_head() + chunk(EVENTS[0]), RESET]]
    second.responses = [
        [b"HTTP/1.1 %s\r\nx-request: r1\r\nContent-Length: 5\r\n\r\nerror" % status]
    ]
    response = ask(entry)
    assert len(second.requests) == 1
    assert b"error" not in response
    assert not response.endswith(STREAM_END)


# Guards against giving up a silent back end for the error of the one that was to take
# over.
@pytest.mark.parametrize("status", [b"404 Unknown", b"500 Failed"])
def test_stream_goes_on_after_a_pause_when_the_other_back_end_fails(entry, status):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [PAUSED_STREAM]
    second.responses = [
        [b"HTTP/1.1 %s\r\nx-request: r1\r\nContent-Length: 5\r\n\r\nerror" % status]
    ]
    assert_complete(ask(entry))


# Guards against a request that crashes servers and reaches yet another one because the
# last of them was silent before its connection broke.
def test_crash_after_a_silence_quarantines_the_request(entry):
    fingerprint = fingerprint_of("desk.example/ask/x", "inks", b"p")
    entry.board.suspects.record_crash(CrashId("2/x/1"), [fingerprint], clock.now())
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    other = entry.board.backends.backends["b"]
    other.ejected_until = clock.now() + EJECTION_S

    def parts():
        yield stream_head() + chunk(EVENTS[0])
        yield PAUSE
        # Ends the ejection after the silence and right before the connection breaks.
        other.ejected_until = clock.now()
        yield RESET

    first.responses = [parts()]
    second.responses = [
        [stream_head() + chunk(EVENTS[1]), chunk(EVENTS[2]) + STREAM_END]
    ]
    ask(entry)
    assert other.available(clock.now())
    assert len(first.requests) == 1
    assert second.requests == []


# Guards against streams that are cut off because the back end that was to take over is
# silent as well, while the first one has gone on.
def test_silent_back_end_goes_on_while_another_one_has_sent_nothing(entry):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [PAUSED_STREAM]
    second.responses = [[HANG]]
    assert_complete(ask(entry))
    eventlet.sleep(0.01)
    assert second.disconnects == 1
    assert entry.board.backends.backends["b"].in_flight == 7
