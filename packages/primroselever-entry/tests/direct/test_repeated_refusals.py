"""
Refusals that a faulty server writes once more, for a request that it runs or has run.

The statuses 503, 429, 421 and 408 tell a caller that its request has not run and never
will, so that the caller, and the entry, may send it again.
"""

from __future__ import annotations

import pytest

from .conftest import RESET, ok_response, read_all, request

CALLS = {"read": ("/read/x", "GET", b""), "order": ("/order/x", "POST", b"ink")}


def refuse(
    status: int = 503,
    request_id: bytes = b"r1",
    marked: bool = True,
    headers: bytes = b"",
) -> bytes:
    """Return a refusal, without an identifier if ``request_id`` is empty."""
    lines = [b"HTTP/1.1 %d No" % status, b"Content-Length: 4"]
    if request_id:
        lines.append(b"x-request: " + request_id)
    if marked:
        lines.append(b"x-not-run: 1")
    return b"\r\n".join([*lines, headers + b"\r\nfull"])


def send_named(entry, call: str, request_id: bytes) -> bytes:
    """Return the response to a request, which has no identifier if that is empty."""
    header = b"x-request: %s\r\n" % request_id if request_id else b""
    data = request(*CALLS[call]).replace(b"x-request: r1\r\n", header)
    for backend in entry.board.backends.backends.values():
        # After a refusal it would get no request for some time.
        backend.marked_full_until = backend.mismatched_until = 0.0
        backend.ejected_until = 0.0
    connection = entry.connect()
    connection.sendall(data)
    return read_all(connection)


# Guards against callers without an identifier that get the answer of another request:
# a copy cannot be told from the answer unless the entry names the request itself.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    "copy", [refuse(), refuse(421), ok_response(b"first")[0]], ids=[503, 421, 200]
)
def test_a_request_without_an_identifier_gets_no_other_answer(entry, call, copy):
    backend = entry.add("a")

    def answer():
        request_id = backend.header(b"x-request") or b""
        yield copy
        yield from ok_response(b"second", request_id)

    backend.responses = [[copy], answer()]
    send_named(entry, call, b"r1")
    assert send_named(entry, call, b"").endswith(b"second")
    assert entry.flow.pool.opened_count == 1


# Guards against a refusal with 408 that is forwarded: its caller would be told that the
# request has not run although another server may have run it, and a request that has
# not run would not be sent to a server that can answer it.
@pytest.mark.parametrize(
    ("earlier", "status"), [([RESET], b"502"), ([refuse(408)], b"503")]
)
@pytest.mark.parametrize("answers", [False, True])
def test_a_refusal_with_408_is_a_refusal_like_others(entry, earlier, status, answers):
    first, second = entry.add("a"), entry.add("b")
    entry.board.backends.backends["b"].in_flight = 5
    first.responses = [earlier]
    second.responses = [ok_response() if answers else [refuse(408)]]
    response = send_named(entry, "read", b"r1")
    assert response[9:12] == (b"200" if answers else status)
    assert len(first.requests) == len(second.requests) == 1
