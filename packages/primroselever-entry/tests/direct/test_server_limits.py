"""Servers that name the requests a second that they take from all entries together."""

from __future__ import annotations

import pytest

from primroselever_core.dispatch.announcements import ServerStart
from primroselever_node import clock

from .conftest import EVENTS, RESET, STREAM_END, chunk, ok_response, stream_head

pytestmark = pytest.mark.usefixtures("long_limits")

RATE = 1.5
LIMITED = b"x-server-limit: 1.5\r\n"


def allowed_requests(rate: float, window_s: float) -> float:
    return 1.5 * rate * window_s + 5


def answer_limited(backend, path: str) -> None:
    answer = ok_response(headers=LIMITED)
    if path == "/ask/x":
        answer = [stream_head(headers=LIMITED), *map(chunk, EVENTS), STREAM_END]
    backend.responses = [list(answer) for _request in range(200)]


def send(entry, path: str) -> bytes:
    method = "GET" if path == "/read/x" else "POST"
    return entry.send(path, method=method, headers=["x-model: m"])


# Guards against limits that are not read: a server in need got as much as the others.
@pytest.mark.parametrize("path", ["/read/x", "/order/x", "/ask/x"])
def test_a_server_gets_no_more_requests_than_the_limit_that_it_named(entry, path):
    backend = entry.add("a", "engine" if path == "/ask/x" else "plain")
    answer_limited(backend, path)
    for _request in range(100):
        send(entry, path)
    assert len(backend.requests) <= allowed_requests(RATE, 1.0)


def limit_of(entry, name="a"):
    return entry.board.backends.backends[name].announced.limit


@pytest.mark.parametrize("path", ["/read/x", "/ask/x"])
def test_requests_beyond_the_limit_go_to_other_servers(entry, path):
    service = "engine" if path == "/ask/x" else "plain"
    limited, other = entry.add("a", service), entry.add("b", service)
    answer_limited(limited, path)
    send(entry, path)
    while not limited.requests:
        send(entry, path)
    other.responses = [
        [stream_head(), *map(chunk, EVENTS), STREAM_END]
        if path == "/ask/x"
        else ok_response()
        for _request in range(50)
    ]
    before = len(limited.requests)
    for _request in range(30):
        assert send(entry, path).startswith(b"HTTP/1.1 200")
    assert len(limited.requests) - before <= allowed_requests(RATE, 0.5)


def test_callers_of_a_service_at_its_limit_learn_when_a_start_is_free(entry):
    answer_limited(entry.add("a"), "/read/x")
    send(entry, "/read/x")
    sent_at = clock.now()
    response = send(entry, "/read/x")
    assert clock.now() - sent_at < 0.1
    assert response.startswith(b"HTTP/1.1 503")
    assert b"all back ends are at the limits that they named" in response
    retry_after_s = float(response.partition(b"Retry-After: ")[2].split(b"\r")[0])
    free_in_s = limit_of(entry).own_start_at - sent_at
    assert free_in_s - 0.1 <= retry_after_s <= free_in_s + 0.6


def test_retries_count_for_the_limit(entry):
    # The first server fails each request, which is then sent to the limited one.
    failing, limited = entry.add("b"), entry.add("a")
    answer_limited(limited, "/read/x")
    failing.responses = [[RESET]] * 200
    for _request in range(40):
        entry.board.backends.backends["b"].ejected_until = 0.0
        send(entry, "/read/x")
    assert len(limited.requests) <= allowed_requests(RATE, 1.0)


def test_each_request_to_a_limited_server_is_published(entry):
    answer_limited(entry.add("a"), "/read/x")
    send(entry, "/read/x")
    limit_of(entry).own_start_at = 0.0
    send(entry, "/read/x")
    start = ServerStart("a", entry.backends[0].address, 1)
    assert entry.published_limits == [(start, 0), (start, 1)]


def test_another_start_of_a_server_begins_without_a_limit(entry):
    backend = entry.add("a")
    answer_limited(backend, "/read/x")
    send(entry, "/read/x")
    backend.born_ms += 1
    entry.apply_listing()
    assert limit_of(entry).rate is None


def test_an_answer_without_a_limit_lifts_it(entry):
    backend = entry.add("a")
    backend.responses = [ok_response(headers=LIMITED), ok_response(), ok_response()]
    send(entry, "/read/x")
    limit_of(entry).own_start_at = 0.0
    for _request in range(2):
        assert send(entry, "/read/x").startswith(b"HTTP/1.1 200")
