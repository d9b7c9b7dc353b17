"""The processing of one request as callers and back ends observe it."""

from __future__ import annotations

from dataclasses import replace

import eventlet
import pytest

from primroselever_core.catalogue.model import RouteKind
from primroselever_node import clock

from .conftest import (
    CLOSE,
    EVENTS,
    HANG,
    RESET,
    SHORT_S,
    chunk,
    make_route,
    ok_response,
    read_until,
    refusal,
    request,
    stream_head,
)

pytestmark = pytest.mark.usefixtures("long_limits", "long_silence")


def test_response_is_forwarded_with_its_seal(entry):
    entry.add("a").responses = [ok_response(b"stock: 7")]
    response = entry.send()
    assert response.startswith(b"HTTP/1.1 200")
    assert b"x-seal: s" in response
    assert response.endswith(b"\r\n\r\nstock: 7")


def test_back_end_receives_workspace_identity_and_remaining_time(entry):
    entry.limit_requests(SHORT_S)
    backend = entry.add("a")
    backend.responses = [ok_response()]
    entry.send("/order/x", method="POST", body=b"ink", headers=["X-Workspace: forged"])
    assert backend.header(b"X-Workspace") == b"inks"
    assert backend.header(b"X-Expect") == b"a"
    assert 0 < int(backend.header(b"x-left")) <= 600
    assert backend.header(b"x-key") is None
    assert backend.requests[0].endswith(b"ink")


def test_unknown_path_and_unknown_key_are_refused(entry):
    entry.add("a")
    assert entry.send("/nowhere/x").startswith(b"HTTP/1.1 404")
    connection = entry.connect()
    connection.sendall(request().replace(b"key k1", b"key k2"))
    assert connection.recv(100).startswith(b"HTTP/1.1 401")


def test_anonymous_route_needs_no_key(entry):
    backend = entry.add("a")
    backend.responses = [ok_response()]
    connection = entry.connect()
    connection.sendall(request("/open/x").replace(b"x-key: key k1\r\n", b""))
    assert connection.recv(100).startswith(b"HTTP/1.1 200")
    assert backend.header(b"X-Workspace") is None


def test_unknown_path_without_configuration_is_answered_with_503(entry):
    entry.board.catalogue.configuration = None
    response = entry.send("/nowhere/x")
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in response


def test_refused_request_is_sent_to_another_back_end(entry):
    first, second = entry.add("a"), entry.add("b")
    first.responses, second.responses = [refusal()], [refusal()]
    first.responses.append(ok_response())
    second.responses.append(ok_response())
    response = entry.send()
    assert response.startswith(b"HTTP/1.1 503")
    assert len(first.requests) == len(second.requests) == 1


def test_idempotent_request_is_retried_after_a_reset(entry):
    first, second = entry.add("a"), entry.add("b")
    first.responses, second.responses = [[RESET]], [[RESET]]
    for backend in (first, second):
        backend.responses.append(ok_response())
    entry.board.backends.backends["b"].in_flight = 5
    second.responses = [ok_response()]
    assert entry.send().startswith(b"HTTP/1.1 200")
    assert (len(first.requests), len(second.requests)) == (1, 1)


@pytest.mark.parametrize("end", [[RESET], [CLOSE], [HANG]])
def test_non_idempotent_request_is_never_sent_twice(entry, end):
    if end == [HANG]:
        entry.limit_requests(SHORT_S)
    first, second = entry.add("a"), entry.add("b")
    first.responses, second.responses = [end], [end]
    response = entry.send("/order/x", method="POST", body=b"ink")
    assert response[9:12] in (b"502", b"504")
    assert len(first.requests) + len(second.requests) == 1


def test_refused_non_idempotent_request_is_answered_with_503(entry):
    backend = entry.add("a")
    backend.responses = [refusal()]
    response = entry.send("/order/x", method="POST", body=b"ink")
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in response


def test_request_ends_at_the_timeout_of_its_route(entry):
    entry.limit_requests(SHORT_S)
    backend = entry.add("a")
    backend.responses = [[HANG]]
    with eventlet.Timeout(1.2):
        response = entry.send("/order/x", method="POST", body=b"ink")
    assert response.startswith(b"HTTP/1.1 504")
    eventlet.sleep(0.01)
    assert backend.disconnects == 1


def test_caller_disconnect_cancels_the_back_end_request(entry):
    backend = entry.add("a")
    backend.responses = [[HANG]]
    connection = entry.connect()
    connection.sendall(request(close=False))
    eventlet.sleep(0.05)
    connection.close()
    eventlet.sleep(0.05)
    assert backend.disconnects == 1


def test_answers_and_first_events_are_samples_of_the_pace(entry):
    """Fails if a measured server keeps the pace of one that was not measured."""
    entry.board.backends.set_measured_pace(True)
    plain, engine = entry.add("a"), entry.add("b", "engine")
    plain.responses = [ok_response(), ok_response()]
    engine.responses = [[stream_head() + chunk(EVENTS[0]), HANG]]
    for _ in range(2):
        entry.send()
    measured = entry.board.backends.backends["a"].measured
    assert 0 < measured.value(clock.now()) < 1.0
    assert not measured.unanswered
    connection = entry.connect()
    connection.sendall(request("/ask/x", "POST", b"p", ["x-model: m"]))
    read_until(connection, EVENTS[0])
    assert len(entry.board.backends.backends["b"].measured.samples) == 1


def test_failures_at_once_are_no_samples_of_the_pace(entry):
    """Fails if a server that fails at once looks fast."""
    entry.board.backends.set_measured_pace(True)
    backend = entry.add("a")
    backend.responses = [[RESET]]
    entry.send("/order/x", method="POST", body=b"ink")
    measured = entry.board.backends.backends["a"].measured
    assert not measured.samples
    assert not measured.unanswered


def test_rejections_are_no_samples_of_the_pace(entry):
    """Fails if a server that rejects requests at once looks fast."""
    entry.board.backends.set_measured_pace(True)
    backend = entry.add("a")
    head = b"HTTP/1.1 404 Not Found\r\nx-request: r1\r\n"
    backend.responses = [[head + b"Content-Length: 0\r\n\r\n"]]
    assert entry.send().startswith(b"HTTP/1.1 404")
    measured = entry.board.backends.backends["a"].measured
    assert not measured.samples
    assert not measured.unanswered


@pytest.mark.parametrize("enabled", [False, True])
def test_plain_requests_are_published_only_with_the_setting(entry, enabled):
    """Fails if deployments without the setting send additional datagrams."""
    entry.board.backends.set_measured_pace(enabled)
    published = []
    entry.flow.publish_sent = lambda *sent: published.append(sent)
    entry.add("a").responses = [ok_response()]
    entry.send()
    assert len(published) == enabled
    assert bool(entry.board.backends.backends["a"].measured.samples) == enabled


def test_events_are_forwarded_as_they_arrive(entry):
    backend = entry.add("a", "engine")
    backend.responses = [[stream_head() + chunk(EVENTS[0]), HANG]]
    connection = entry.connect()
    connection.sendall(request("/ask/x", "POST", b"p", ["x-model: m"]))
    read_until(connection, EVENTS[0], within_s=0.3)


def test_broken_stream_resumes_on_another_back_end_after_last_complete_event(entry):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.responses = [[stream_head() + chunk(EVENTS[0] + EVENTS[1][:6]), RESET]]
    second.responses = [
        [stream_head() + chunk(EVENTS[1]), chunk(EVENTS[2]) + b"0\r\n\r\n"]
    ]
    response = entry.send("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert response.count(b"HTTP/1.1") == 1
    body = response.partition(b"\r\n\r\n")[2]
    data = b"".join(part for part in body.split(b"\r\n") if b"data" in part)
    assert data == b"".join(EVENTS)
    assert body.endswith(b"0\r\n\r\n")
    assert second.header(b"x-after") == b"1"


def test_stream_that_cannot_resume_is_visibly_truncated(entry):
    backend = entry.add("a", "engine")
    backend.responses = [[stream_head() + chunk(EVENTS[0]), RESET]]
    response = entry.send("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert EVENTS[0] in response
    assert not response.endswith(b"0\r\n\r\n")


def test_engine_without_the_weights_gets_no_request(entry):
    backend = entry.add("a", "engine")
    response = entry.send(
        "/ask/x", method="POST", body=b"p", headers=["x-model: other"]
    )
    assert response.startswith(b"HTTP/1.1 503")
    assert backend.requests == []


def test_after_the_bound_the_published_version_is_expected(entry):
    backend = entry.add("a", "engine")
    entry.board.catalogue.publish_weights("m", 1, -100.0)
    backend.responses = [[stream_head() + chunk(EVENTS[0]) + b"0\r\n\r\n"]]
    entry.send("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert backend.header(b"X-Weights") == b"1"


def test_old_weights_get_no_request_shortly_before_their_bound(entry):
    backend = entry.add("a", "engine")
    entry.board.catalogue.publish_weights("m", 2, clock.now() - 8.0 + 1.1)
    response = entry.send("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert response.startswith(b"HTTP/1.1 503")
    assert backend.requests == []


def test_engine_with_newer_weights_than_required_is_expected_to_use_them(entry):
    backend = entry.add("a", "engine")
    entry.board.catalogue.publish_weights("m", 1, -100.0)
    entry.board.backends.apply_listing([replace(backend.listed(), weights=(("m", 2),))])
    backend.responses = [[stream_head() + chunk(EVENTS[0]) + b"0\r\n\r\n"]]
    entry.send("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert backend.header(b"X-Weights") == b"2"


def test_error_response_of_a_back_end_is_forwarded_unchanged(entry):
    backend = entry.add("a")
    backend.responses = [
        [
            b"HTTP/1.1 500 Oops\r\nx-request: r1\r\nx-seal: s\r\n"
            b"Content-Length: 4\r\n\r\noops"
        ]
    ]
    response = entry.send("/order/x", method="POST", body=b"ink")
    assert response.startswith(b"HTTP/1.1 500")
    assert response.endswith(b"oops")


def test_callers_with_different_deadlines_count_as_first_attempts(entry):
    backend = entry.add("a", "engine")
    request_parts = {"method": "POST", "body": b"p"}
    complete_response = [stream_head() + chunk(EVENTS[0]) + b"0\r\n\r\n"]
    for remaining_ms in (6000, 5200, 5900, 5100):
        backend.responses = [complete_response]
        headers = ["x-model: m", f"x-left: {remaining_ms}"]
        assert b" 200 " in entry.send("/ask/x", headers=headers, **request_parts)


def test_retry_with_little_time_left_counts_as_late(entry):
    backend = entry.add("a", "engine")
    route = entry.board.catalogue.routes.match("desk.example", "/ask/x")
    entry.flow.longest_remaining_s[route.name] = 6.0
    entry.board.backends.backends["a"].in_flight = 8
    headers = ["x-model: m", "x-left: 2000"]
    response = entry.send("/ask/x", method="POST", body=b"p", headers=headers)
    assert response.startswith(b"HTTP/1.1 503")
    assert backend.requests == []


def test_overload_refuses_all_routes_whatever_their_objective(entry):
    """Routes with different objectives share a service under sustained overload."""
    configuration = entry.board.catalogue.configuration
    short_route = make_route(RouteKind.STREAMING, "quick", objective_s=0.3)
    entry.board.catalogue.configure(
        replace(configuration, revision=2, routes=(*configuration.routes, short_route)),
        2.0,
    )
    backend = entry.add("a", "engine")
    entry.board.backends.backends["a"].in_flight = 8
    for path in ("/ask/x", "/quick/x"):
        response = entry.send(path, method="POST", body=b"p", headers=["x-model: m"])
        assert response.startswith(b"HTTP/1.1 503")
    assert backend.requests == []


def send_repeatedly(entry, path="/read/x", attempts=1, **request_parts) -> list[bytes]:
    """Send a request several times; all back ends restart before each one."""
    responses = []
    for _attempt in range(attempts):
        entry.start_count += 1
        entry.board.backends.apply_listing(
            replace(backend.listed(), born_ms=entry.start_count)
            for backend in entry.backends
        )
        responses.append(entry.send(path, **request_parts))
    return responses


def add_failing_backends(entry, count=5):
    backends = [entry.add(name) for name in "abcdefgh"[:count]]
    for backend in backends:
        backend.responses = [[RESET]] * 10
    return backends


def test_request_that_crashed_three_servers_is_not_sent_to_a_fourth(entry):
    backends = add_failing_backends(entry)
    responses = send_repeatedly(entry, attempts=5)
    assert sum(len(backend.requests) for backend in backends) == 3
    assert responses[-1].startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in responses[-1]


def test_crashing_request_is_recognized_by_path_workspace_and_body(entry):
    backends = add_failing_backends(entry)
    send_repeatedly(entry, "/order/x", attempts=5, method="POST", body=b"bad")
    assert sum(len(backend.requests) for backend in backends) == 3
    for backend in backends:
        backend.responses = [ok_response()]
    response = send_repeatedly(entry, "/order/x", method="POST", body=b"good")[0]
    assert response.startswith(b"HTTP/1.1 200")


def test_repeated_failures_of_one_server_do_not_quarantine_a_request(entry):
    backend = add_failing_backends(entry, 1)[0]
    for _attempt in range(5):
        entry.send()
        entry.board.backends.backends["a"].ejected_until = 0.0
    backend.responses = [ok_response()]
    assert entry.send().startswith(b"HTTP/1.1 200")


def test_answer_clears_a_request_of_earlier_crashes(entry):
    backends = add_failing_backends(entry, 2)
    send_repeatedly(entry)
    for end in (ok_response(), [RESET], ok_response()):
        for backend in backends:
            backend.responses = [end] * 2
        response = send_repeatedly(entry)[0]
    assert response.startswith(b"HTTP/1.1 200")


def test_crashes_reported_by_a_peer_count(entry):
    backends = add_failing_backends(entry)
    send_repeatedly(entry)
    records = list(entry.board.suspects.records.values())
    assert [len(record.crashes) for record in records] == [2]
    entry.board.suspects.merge(replace(records[0], crashes={"3/x/1"}), 0.0)
    send_repeatedly(entry, attempts=3)
    assert sum(len(backend.requests) for backend in backends) == 2


@pytest.mark.parametrize("end", [[RESET], [CLOSE], [b"no answer at all\r\n\r\n"]])
def test_request_that_may_have_run_is_answered_with_502(entry, end):
    entry.add("a").responses = [end]
    response = entry.send()
    assert response.startswith(b"HTTP/1.1 502")
    assert b"Retry-After" in response
