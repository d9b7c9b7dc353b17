"""The way of one request, from what callers and back ends see."""

from __future__ import annotations

from dataclasses import replace

import eventlet
import pytest

from primroselever_core.catalogue.model import RouteKind
from primroselever_entry.direct.flow import RESEND_MARGIN_S
from primroselever_node import clock

from .conftest import (
    CLOSE,
    HANG,
    RESET,
    chunk,
    make_route,
    ok,
    refused,
    request,
    stream_head,
)

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]


def test_an_answer_is_passed_on_with_its_seal(entry):
    entry.add("a").answers = [ok(b"stock: 7")]
    answer = entry.ask()
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"x-seal: s" in answer
    assert answer.endswith(b"\r\n\r\nstock: 7")


def test_a_back_end_is_told_workspace_identity_and_what_is_left(entry):
    backend = entry.add("a")
    backend.answers = [ok()]
    entry.ask("/order/x", method="POST", body=b"ink", headers=["X-Workspace: forged"])
    assert backend.header(b"X-Workspace") == b"inks"
    assert backend.header(b"X-Expect") == b"a"
    assert 0 < int(backend.header(b"x-left")) <= 600
    assert backend.header(b"x-key") is None
    assert backend.requests[0].endswith(b"ink")


def test_an_unknown_key_and_an_unknown_path_are_told(entry):
    entry.add("a")
    assert entry.ask("/nowhere/x").startswith(b"HTTP/1.1 404")
    connection = entry.connect()
    connection.sendall(request().replace(b"key k1", b"key k2"))
    assert connection.recv(100).startswith(b"HTTP/1.1 401")


def test_an_anonymous_route_needs_no_key(entry):
    backend = entry.add("a")
    backend.answers = [ok()]
    connection = entry.connect()
    connection.sendall(request("/open/x").replace(b"x-key: key k1\r\n", b""))
    assert connection.recv(100).startswith(b"HTTP/1.1 200")
    assert backend.header(b"X-Workspace") is None


def test_without_a_configuration_nobody_is_told_that_a_route_is_missing(entry):
    entry.board.catalogue.configuration = None
    answer = entry.ask("/nowhere/x")
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in answer


def test_a_refused_request_goes_to_another_back_end(entry):
    first, second = entry.add("a"), entry.add("b")
    first.answers, second.answers = [refused()], [refused()]
    first.answers.append(ok())
    second.answers.append(ok())
    answer = entry.ask()
    assert answer.startswith(b"HTTP/1.1 503")
    assert len(first.requests) == len(second.requests) == 1


def test_an_idempotent_request_is_repeated_after_a_reset(entry):
    first, second = entry.add("a"), entry.add("b")
    first.answers, second.answers = [[RESET]], [[RESET]]
    for backend in (first, second):
        backend.answers.append(ok())
    entry.board.backends.backends["b"].in_flight = 5
    second.answers = [ok()]
    assert entry.ask().startswith(b"HTTP/1.1 200")
    assert (len(first.requests), len(second.requests)) == (1, 1)


@pytest.mark.parametrize("end", [[RESET], [CLOSE], [HANG]])
def test_what_must_run_once_is_never_sent_twice(entry, end):
    first, second = entry.add("a"), entry.add("b")
    first.answers, second.answers = [end], [end]
    answer = entry.ask("/order/x", method="POST", body=b"ink")
    assert answer[9:12] in (b"502", b"504")
    assert len(first.requests) + len(second.requests) == 1


def test_what_must_run_once_and_was_refused_has_not_run(entry):
    backend = entry.add("a")
    backend.answers = [refused()]
    answer = entry.ask("/order/x", method="POST", body=b"ink")
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in answer


def test_a_request_ends_at_its_routes_timeout(entry):
    backend = entry.add("a")
    backend.answers = [[HANG]]
    with eventlet.Timeout(1.2):
        answer = entry.ask("/order/x", method="POST", body=b"ink")
    assert answer.startswith(b"HTTP/1.1 504")
    eventlet.sleep(0.01)
    assert backend.left == 1


def test_a_back_end_stops_when_the_caller_leaves(entry):
    backend = entry.add("a")
    backend.answers = [[HANG]]
    connection = entry.connect()
    connection.sendall(request(close=False))
    eventlet.sleep(0.05)
    connection.close()
    eventlet.sleep(0.05)
    assert backend.left == 1


def test_events_are_passed_on_as_they_come(entry):
    backend = entry.add("a", "engine")
    backend.answers = [[stream_head() + chunk(EVENTS[0]), HANG]]
    connection = entry.connect()
    connection.sendall(request("/ask/x", "POST", b"p", ["x-model: m"]))
    with eventlet.Timeout(0.3):
        data = b""
        while EVENTS[0] not in data:
            data += connection.recv(65536)


def test_a_broken_stream_goes_on_elsewhere_after_its_last_whole_event(entry):
    first, second = entry.add("a", "engine"), entry.add("b", "engine")
    entry.board.backends.backends["b"].in_flight = 7
    first.answers = [[stream_head() + chunk(EVENTS[0] + EVENTS[1][:6]), RESET]]
    second.answers = [
        [stream_head() + chunk(EVENTS[1]), chunk(EVENTS[2]) + b"0\r\n\r\n"]
    ]
    answer = entry.ask("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert answer.count(b"HTTP/1.1") == 1
    body = answer.partition(b"\r\n\r\n")[2]
    data = b"".join(part for part in body.split(b"\r\n") if b"data" in part)
    assert data == b"".join(EVENTS)
    assert body.endswith(b"0\r\n\r\n")
    assert second.header(b"x-after") == b"1"


def test_a_stream_that_cannot_go_on_looks_cut(entry):
    only = entry.add("a", "engine")
    only.answers = [[stream_head() + chunk(EVENTS[0]), RESET]]
    answer = entry.ask("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert EVENTS[0] in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_an_engine_without_weights_is_not_asked(entry):
    backend = entry.add("a", "engine")
    answer = entry.ask("/ask/x", method="POST", body=b"p", headers=["x-model: other"])
    assert answer.startswith(b"HTTP/1.1 503")
    assert backend.requests == []


def test_past_the_bound_only_the_named_version_is_expected(entry):
    backend = entry.add("a", "engine")
    entry.board.catalogue.name_weights("m", 1, -100.0)
    backend.answers = [[stream_head() + chunk(EVENTS[0]) + b"0\r\n\r\n"]]
    entry.ask("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert backend.header(b"X-Weights") == b"1"


def test_old_weights_get_nothing_that_a_queue_could_hold_past_their_bound(entry):
    backend = entry.add("a", "engine")
    entry.board.catalogue.name_weights("m", 2, clock.now() - 8.0 + 1.1)
    answer = entry.ask("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert answer.startswith(b"HTTP/1.1 503")
    assert backend.requests == []


def test_an_engine_that_holds_newer_weights_than_must_be_is_asked_for_them(entry):
    backend = entry.add("a", "engine")
    entry.board.catalogue.name_weights("m", 1, -100.0)
    entry.board.backends.follow([replace(backend.listed(), weights=(("m", 2),))])
    backend.answers = [[stream_head() + chunk(EVENTS[0]) + b"0\r\n\r\n"]]
    entry.ask("/ask/x", method="POST", body=b"p", headers=["x-model: m"])
    assert backend.header(b"X-Weights") == b"2"


def test_a_failure_of_the_back_end_is_passed_on_as_it_is(entry):
    backend = entry.add("a")
    backend.answers = [
        [
            b"HTTP/1.1 500 Oops\r\nx-request: r1\r\nx-seal: s\r\n"
            b"Content-Length: 4\r\n\r\noops"
        ]
    ]
    answer = entry.ask("/order/x", method="POST", body=b"ink")
    assert answer.startswith(b"HTTP/1.1 500")
    assert answer.endswith(b"oops")


def test_callers_of_different_patience_all_count_as_first_attempts(entry):
    backend = entry.add("a", "engine")
    ask = {"method": "POST", "body": b"p"}
    done = [stream_head() + chunk(EVENTS[0]) + b"0\r\n\r\n"]
    for left in (6000, 5200, 5900, 5100):
        backend.answers = [done]
        headers = ["x-model: m", f"x-left: {left}"]
        assert b" 200 " in entry.ask("/ask/x", headers=headers, **ask)


def test_who_comes_again_much_later_counts_as_late(entry):
    backend = entry.add("a", "engine")
    route = entry.board.catalogue.routes.match("desk.example", "/ask/x")
    entry.flow.longest_deadlines_s[route.name] = 6.0
    entry.board.backends.backends["a"].in_flight = 8
    headers = ["x-model: m"]
    answer = entry.ask("/ask/x", method="POST", body=b"p", headers=headers)
    assert answer.startswith(b"HTTP/1.1 503")
    assert backend.requests == []


def test_under_overload_no_kind_is_refused_for_its_objective_alone(entry):
    """Sustained overload with kinds of different objectives on one service."""
    configuration = entry.board.catalogue.configuration
    short = make_route(RouteKind.STREAMING, "quick", objective_s=0.3)
    entry.board.catalogue.configure(
        replace(configuration, revision=2, routes=(*configuration.routes, short)), 2.0
    )
    backend = entry.add("a", "engine")
    entry.board.backends.backends["a"].in_flight = 8
    for path in ("/ask/x", "/quick/x"):
        answer = entry.ask(path, method="POST", body=b"p", headers=["x-model: m"])
        assert answer.startswith(b"HTTP/1.1 503")
    assert backend.requests == []


def test_what_is_sent_again_keeps_farther_off_the_bound_of_old_weights(entry):
    """Under overload a resumed stream may wait long before it begins."""
    flow = entry.flow
    entry.board.catalogue.name_weights("m", 2, 10.0)
    near_the_bound = 10.0 + flow.limits.weights_within_s - 1.5
    assert flow.min_version("m", near_the_bound) == 0
    assert flow.min_version("m", near_the_bound, RESEND_MARGIN_S) == 2


def answers_of(entry, path="/read/x", tries=1, **request_parts) -> list[bytes]:
    """Ask several times; before each time all back ends have started anew."""
    answers = []
    for _try in range(tries):
        entry.starts += 1
        entry.board.backends.follow(
            replace(one.listed(), born_ms=entry.starts) for one in entry.backends
        )
        answers.append(entry.ask(path, **request_parts))
    return answers


def breaking_back_ends(entry, count=5):
    backends = [entry.add(name) for name in "abcdefgh"[:count]]
    for backend in backends:
        backend.answers = [[RESET]] * 10
    return backends


def test_a_request_whose_runs_crash_servers_reaches_no_fourth(entry):
    backends = breaking_back_ends(entry)
    answers = answers_of(entry, tries=5)
    assert sum(len(backend.requests) for backend in backends) == 3
    assert answers[-1].startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in answers[-1]


def test_a_crashing_order_is_known_by_path_caller_and_body(entry):
    backends = breaking_back_ends(entry)
    answers_of(entry, "/order/x", tries=5, method="POST", body=b"bad")
    assert sum(len(backend.requests) for backend in backends) == 3
    for backend in backends:
        backend.answers = [ok()]
    answer = answers_of(entry, "/order/x", method="POST", body=b"good")[0]
    assert answer.startswith(b"HTTP/1.1 200")


def test_one_server_that_breaks_often_says_nothing_about_a_request(entry):
    backend = breaking_back_ends(entry, 1)[0]
    for _try in range(5):
        entry.ask()
        entry.board.backends.backends["a"].ejected_until = 0.0
    backend.answers = [ok()]
    assert entry.ask().startswith(b"HTTP/1.1 200")


def test_an_answer_clears_a_request_of_earlier_crashes(entry):
    backends = breaking_back_ends(entry, 2)
    answers_of(entry)
    for end in (ok(), [RESET], ok()):
        for backend in backends:
            backend.answers = [end] * 2
        answer = answers_of(entry)[0]
    assert answer.startswith(b"HTTP/1.1 200")


def test_a_peers_word_about_a_request_counts(entry):
    backends = breaking_back_ends(entry)
    answers_of(entry)
    told = list(entry.board.suspects.records.values())
    assert [len(one.crashes) for one in told] == [2]
    entry.board.suspects.merge(replace(told[0], crashes={"3/x/1"}), 0.0)
    answers_of(entry, tries=3)
    assert sum(len(backend.requests) for backend in backends) == 2


@pytest.mark.parametrize("end", [[RESET], [CLOSE], [b"no answer at all\r\n\r\n"]])
def test_nobody_is_told_that_a_request_did_not_run_which_may_have_run(entry, end):
    entry.add("a").answers = [end]
    answer = entry.ask()
    assert answer.startswith(b"HTTP/1.1 502")
    assert b"Retry-After" in answer
