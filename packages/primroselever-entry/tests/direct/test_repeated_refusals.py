"""
Refusals that a faulty server writes once more, for a request that it runs or has run.

The statuses 503, 429, 421 and 408 tell a caller that its request has not run and never
will, so that the caller, and the entry, may send it again.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from .conftest import RESET, ok_response, read_all, request

CALLS = {"read": ("/read/x", "GET", b""), "order": ("/order/x", "POST", b"ink")}

pytestmark = pytest.mark.usefixtures("long_limits", "long_silence")


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


def set_attempts(entry, max_attempts: int) -> None:
    """Let requests that must not run twice be sent again after a refusal."""
    catalogue = entry.board.catalogue
    routes = tuple(
        replace(route, max_attempts=max_attempts)
        for route in catalogue.configuration.routes
    )
    configuration = replace(catalogue.configuration, revision=2, routes=routes)
    catalogue.configure(configuration, 1.0)


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


# Guards against a refusal that is believed although another response follows it: one of
# the two is a copy, and the request may run. No other server may run an order then.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [503, 429, 421, 408])
@pytest.mark.parametrize("headers", [b"", b"Connection: close\r\n"])
@pytest.mark.parametrize(
    "follows",
    [ok_response()[0], ok_response()[0][:1], refuse(), refuse(503, b"r0")],
    ids=["answer", "first byte", "refusal", "earlier refusal"],
)
def test_a_refusal_before_another_response_is_not_believed(
    entry, call, status, headers, follows
):
    set_attempts(entry, 2)
    first, second = entry.add("a"), entry.add("b")
    entry.board.backends.backends["b"].in_flight = 5
    first.responses = [[refuse(status, headers=headers) + follows]]
    second.responses = [ok_response(b"second")]
    response = send_named(entry, call, b"r1")
    if call == "read":
        assert response.endswith(b"second")
    else:
        assert response.startswith(b"HTTP/1.1 502")
        assert b"retry-after" not in response.lower()
        assert not second.requests


# Guards against a copy of the head alone of a refusal, whose body is then read from the
# response that follows.
@pytest.mark.parametrize(
    "framing", [b"Content-Length: 4", b"Transfer-Encoding: chunked"]
)
def test_a_refusal_without_its_body_is_not_believed(entry, framing):
    entry.add("a").responses = [
        [refuse().replace(b"Content-Length: 4", framing)[:-4] + ok_response()[0]]
    ]
    assert send_named(entry, "order", b"r1").startswith(b"HTTP/1.1 502")


# Guards against the copy of a refusal on another connection: a caller that sends its
# request again with the same identifier would be told that it has not run, although it
# runs now, and another server could run it as well.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [503, 429, 421, 408])
@pytest.mark.parametrize("earlier", [[], [RESET]], ids=["refused", "not answered"])
def test_a_second_refusal_by_one_server_is_not_believed(entry, call, status, earlier):
    backend = entry.add("a")
    backend.responses = [
        earlier or [refuse(status)],
        [refuse(status), *ok_response()],
    ]
    first = send_named(entry, call, b"r1")
    assert first[9:12] == (b"502" if earlier else b"503")
    assert send_named(entry, call, b"r1").startswith(b"HTTP/1.1 502")
    assert len(backend.requests) == entry.flow.pool.opened_count == 2


# Guards against callers that are told nothing certain although another server is there,
# whose refusal can be no copy.
@pytest.mark.parametrize("answers", [False, True])
def test_an_order_that_is_sent_again_goes_to_another_server_first(entry, answers):
    first, second = entry.add("a"), entry.add("b", failure_domain="far")
    first.responses = [[refuse()], ok_response()]
    second.responses = [ok_response() if answers else [refuse()]]
    assert send_named(entry, "order", b"r1").startswith(b"HTTP/1.1 503")
    response = send_named(entry, "order", b"r1")
    assert response[9:12] == (b"200" if answers else b"503")
    assert len(first.requests) == len(second.requests) == 1


# Guards against doubts about identifiers that a caller uses for several requests, of
# which no earlier one was refused.
@pytest.mark.parametrize("call", CALLS)
def test_a_refusal_after_an_answer_is_believed(entry, call):
    entry.add("a").responses = [ok_response(), [refuse()]]
    responses = [send_named(entry, call, b"r1") for _ in range(2)]
    assert [each[9:12] for each in responses] == [b"200", b"503"]


# Guards against requests that are refused because they were sent to all servers before.
@pytest.mark.parametrize("call", CALLS)
def test_a_refused_request_is_sent_to_the_same_server_again(entry, call):
    entry.add("a").responses = [[refuse()], ok_response()]
    responses = [send_named(entry, call, b"r1") for _ in range(2)]
    assert [each[9:12] for each in responses] == [b"503", b"200"]


# Guards against doubts about callers that send different identifiers under overload.
def test_refusals_of_different_requests_are_believed(entry):
    entry.add("a").responses = [[refuse(503, b"r%d" % i)] for i in range(3)]
    for i in range(3):
        response = send_named(entry, "order", b"r%d" % i)
        assert response.startswith(b"HTTP/1.1 503")
    assert entry.flow.pool.opened_count == 1


# Guards against the copy of a refusal that names no request, at a server that never
# names any: the next request on the connection would be taken for refused, or the one
# after it would get its answer.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [503, 429, 421, 408])
@pytest.mark.parametrize("marked", [True, False])
def test_a_connection_with_an_unnamed_refusal_is_not_used_again(
    entry, call, status, marked
):
    refused = refuse(status, b"", marked)

    def answer(body: bytes):
        if entry.flow.pool.opened_count == 1:
            yield refused
        yield ok_response(body)[0].replace(b"x-request: r1\r\n", b"")

    entry.add("a").responses = [[refused], answer(b"second"), answer(b"third")]
    stated = marked or status == 421
    response = send_named(entry, call, b"r1")
    assert response[9:12] == (b"503" if stated else b"502")
    assert send_named(entry, call, b"r2").endswith(b"second")
    assert send_named(entry, call, b"r3").endswith(b"third")
    assert entry.flow.pool.opened_count == 2


# Guards against the copy of a refusal that names no request, on another connection than
# the earlier request.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [503, 429, 421, 408])
def test_an_unnamed_refusal_of_a_server_that_names_requests_is_not_believed(
    entry, call, status
):
    backend = entry.add("a")
    backend.responses = [
        ok_response(headers=b"Connection: close\r\n"),
        [refuse(status, b""), *ok_response(b"ok", b"r2")],
    ]
    assert send_named(entry, call, b"r1").endswith(b"ok")
    assert send_named(entry, call, b"r2").startswith(b"HTTP/1.1 502")
    assert entry.flow.pool.opened_count == 2


# Guards against a caller that is told that its request has not run by the refusal of
# another one, left over on the connection or in front of the answer.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [503, 429, 421, 408])
@pytest.mark.parametrize("copies", [1, 2, 3])
@pytest.mark.parametrize("idle", [False, True])
def test_the_refusal_of_an_earlier_request_reaches_no_other_caller(
    entry, call, status, copies, idle
):
    refused = refuse(status)
    front, late = ([], [copies * refused]) if idle else ([copies * refused], [])
    backend = entry.add("a")
    backend.responses = [[refused, *late], [*front, *ok_response(b"ok", b"r2")]]
    assert send_named(entry, call, b"r1").startswith(b"HTTP/1.1 503")
    response = send_named(entry, call, b"r2")
    assert response.endswith(b"ok") or response.startswith(b"HTTP/1.1 502")
    assert len(backend.requests) == 2
