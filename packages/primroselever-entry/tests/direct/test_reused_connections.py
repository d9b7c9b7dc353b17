"""
Late copies of an answer on a connection that carries the next request already.

A back end sends an answer a second time, after the entry has used the connection for
another caller's request. That caller must get its own answer or a failure.
"""

from __future__ import annotations

import eventlet
import pytest

from .conftest import (
    EVENTS,
    PAUSE,
    STREAM_END,
    ask,
    assert_complete,
    chunk,
    ok_response,
    read_all,
    refusal,
    request,
    stream_head,
)

FIRST, SECOND = b"first", b"second"
CALLS = {"read": ("/read/x", "GET", b""), "order": ("/order/x", "POST", b"ink")}

pytestmark = pytest.mark.usefixtures("long_limits", "long_silence")


def send_in_turn(entry, path: str, method: str, body: bytes) -> bytes:
    """Return the response to the second of two callers' requests in a row."""
    for request_id in (b"r1", b"r2"):
        connection = entry.connect()
        connection.sendall(
            request(path, method, body).replace(
                b"x-request: r1", b"x-request: %s" % request_id
            )
        )
        response = read_all(connection)
    return response


# Guards against a caller who gets the answer of the caller before: the copy arrives
# when the next request was already written to the connection.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("copies", [1, 2, 3])
def test_late_copies_of_an_answer_reach_no_other_caller(entry, call, copies):
    backend = entry.add("a")
    backend.responses = [
        ok_response(FIRST),
        [b"".join(copies * ok_response(FIRST)), *ok_response(SECOND, b"r2")],
        ok_response(SECOND, b"r2"),
    ]
    response = send_in_turn(entry, *CALLS[call])
    assert FIRST not in response
    assert response.endswith(SECOND) or response.startswith(b"HTTP/1.1 502")


# Guards against a copy that names no request: it cannot be told from the answer by its
# identifier, but this server names the request in its answers.
@pytest.mark.parametrize("call", CALLS)
def test_a_late_copy_without_an_identifier_reaches_no_other_caller(entry, call):
    backend = entry.add("a")
    copy = ok_response(FIRST)[0].replace(b"x-request: r1\r\n", b"")
    backend.responses = [
        ok_response(FIRST),
        [copy, *ok_response(SECOND, b"r2")],
        ok_response(SECOND, b"r2"),
    ]
    response = send_in_turn(entry, *CALLS[call])
    assert FIRST not in response
    assert response.endswith(SECOND) or response.startswith(b"HTTP/1.1 502")


# Guards against a copy that arrives while the connection is idle and is read as the
# answer to the next request.
@pytest.mark.parametrize("call", CALLS)
def test_a_copy_on_an_idle_connection_ends_the_connection(entry, call):
    backend = entry.add("a")
    backend.responses = [
        [*ok_response(FIRST), PAUSE, *ok_response(FIRST)],
        ok_response(SECOND, b"r2"),
    ]
    path, method, body = CALLS[call]
    connection = entry.connect()
    connection.sendall(request(path, method, body))
    assert read_all(connection).endswith(FIRST)
    eventlet.sleep(0.2)
    connection = entry.connect()
    connection.sendall(
        request(path, method, body).replace(b"x-request: r1", b"x-request: r2")
    )
    assert read_all(connection).endswith(SECOND)


# Guards against a copy with the identifier of the request that now uses the connection,
# such as a retry: that would get another answer, or be refused although it runs.
@pytest.mark.parametrize("earlier", [ok_response(FIRST), refusal()])
@pytest.mark.parametrize("call", CALLS)
def test_a_late_copy_with_the_same_identifier_reaches_no_caller(entry, call, earlier):
    def answer():
        if entry.flow.pool.opened_count == 1:  # the connection of the earlier request
            yield from earlier
        yield from ok_response(SECOND)

    path, method, body = CALLS[call]
    entry.add("a").responses = [earlier, answer()]
    entry.send(path, method=method, body=body)
    entry.board.backends.backends["a"].marked_full_until = 0.0  # after a refusal
    assert entry.send(path, method=method, body=body).endswith(SECOND)


# Guards against a copy within a stream that is read as a part of it.
def test_a_copy_between_two_chunks_of_a_stream_ends_the_attempt(entry):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    start, *rest = map(chunk, EVENTS)
    first.responses = [[stream_head() + start, *ok_response(FIRST), *rest, STREAM_END]]
    second.responses = [[stream_head(), *rest, STREAM_END]]
    assert_complete(ask(entry))
    assert len(second.requests) == 1


# Guards against refusing the answers of servers that never name the request.
def test_answers_of_a_server_that_sends_no_identifiers_are_forwarded(entry):
    backend = entry.add("a")
    plain = [part.replace(b"x-request: r1\r\n", b"") for part in ok_response(SECOND)]
    backend.responses = [plain, plain]
    assert send_in_turn(entry, *CALLS["read"]).endswith(SECOND)
