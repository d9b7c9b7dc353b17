"""
Requests that wait at an engine while its weights lapse.

Several entries may send requests to the same engine at the same moment. They then wait
longer than predicted, and would start after the deadline of the old weights.
"""

from __future__ import annotations

from dataclasses import replace
from math import inf

import eventlet
import pytest

from primroselever_core.catalogue.model import RouteKind
from primroselever_core.catalogue.published_weights import OLD_WEIGHTS_MARGIN_S
from primroselever_core.dispatch import choose
from primroselever_entry.direct import sending, weight_bounds
from primroselever_entry.direct.weight_bounds import (
    CANCEL_MARGIN_S,
    absence_proven_at,
    weights_lapse_at,
)
from primroselever_node import clock
from primroselever_node.direct import connection_pool
from primroselever_node.direct.exchange import ConnectError, ExchangeTimeoutError

from .conftest import (
    EVENTS,
    HANG,
    PAUSE,
    RESET,
    STREAM_END,
    ask,
    assert_complete,
    chunk,
    make_route,
    ok_response,
    refusal,
    stream_head,
)
from .lapsing_engines import (
    LAPSE_S,
    add_engines,
    pass_time_before_sending,
    stall_event_loop,
    start_after,
    use_kind,
)


@pytest.fixture
def engines(entry, monkeypatch):
    """Return one engine on version 1, which lapses soon, and one on version 2."""
    monkeypatch.setattr(weight_bounds, "LEAST_MARGIN_S", CANCEL_MARGIN_S)
    # As with a prediction that is too short.
    monkeypatch.setattr(choose, "starts_in_time", lambda *_: True)
    monkeypatch.setattr(choose, "send_deadline", lambda *_: inf)
    return add_engines(entry, CANCEL_MARGIN_S + LAPSE_S)


# Guards against requests that start on old weights after their deadline.
@pytest.mark.parametrize("head", [b"", stream_head()])
def test_a_request_that_has_not_started_is_sent_to_newer_weights(entry, engines, head):
    old, new = engines
    old.responses = [[head, HANG] if head else [HANG]]
    new.responses = [[stream_head(), *map(chunk, EVENTS), STREAM_END]]
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests)) == (1, 1)
    backend = entry.board.backends.backends["a"]
    assert (old.disconnects, backend.in_flight) == (1, 0)
    assert backend.available(clock.now())


# Guards against requests that start after the deadline of old weights because the rest
# of them is written, or sent by the system, after the weights have lapsed.
@pytest.mark.parametrize("kind", [RouteKind.STREAMING, RouteKind.IDEMPOTENT])
def test_a_request_that_is_not_written_before_the_lapse_is_discarded(
    entry, engines, monkeypatch, kind
):
    old, new = engines
    use_kind(entry, kind)
    connection_class = connection_pool.HttpConnection
    send, discard = connection_class.send, connection_class.discard_request
    discarded = []

    def send_slowly(connection, *args):
        if connection.address == old.address:
            eventlet.sleep(max(0.0, args[-1] - clock.now()))
            raise ExchangeTimeoutError("the request could not be written in time")
        send(connection, *args)

    def record_and_discard(connection):
        discarded.append(connection.address)
        discard(connection)

    monkeypatch.setattr(connection_class, "send", send_slowly)
    monkeypatch.setattr(connection_class, "discard_request", record_and_discard)
    events = [stream_head(), *map(chunk, EVENTS), STREAM_END]
    new.responses = [events if kind is RouteKind.STREAMING else ok_response()]
    assert ask(entry).startswith(b"HTTP/1.1 200")
    assert discarded == [old.address]


# Guards against requests that start after the deadline of weights that were the newest
# when they were sent.
def test_a_request_on_the_newest_weights_is_cancelled_when_they_lapse(
    entry, monkeypatch
):
    monkeypatch.setattr(weight_bounds, "LEAST_MARGIN_S", CANCEL_MARGIN_S)
    entry.flow.limits = replace(
        entry.flow.limits, weights_within_s=CANCEL_MARGIN_S + LAPSE_S
    )
    old, new = add_engines(entry, inf)
    published_weights = entry.board.catalogue.weights["m"]
    del published_weights.history[1:]

    def hang():
        published_weights.append(2, clock.now())
        yield HANG

    old.responses = [hang()]
    new.responses = [[stream_head(), *map(chunk, EVENTS), STREAM_END]]
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests), old.disconnects) == (1, 1, 1)
    assert entry.board.backends.backends["a"].available(clock.now())


# Guards against requests that start after the deadline of old weights while another
# back end is tried: the limit was not watched meanwhile.
def test_a_silent_attempt_is_cancelled_when_its_weights_lapse(
    entry, engines, monkeypatch
):
    old, new = engines
    monkeypatch.setattr(sending, "MAX_STREAM_SILENCE_S", 0.04)
    monkeypatch.setattr(sending, "MAX_SILENCE_FACTOR", 0.1)
    disconnects = []

    def answer_late():
        yield stream_head()
        yield from [PAUSE, PAUSE, PAUSE]
        disconnects.append(old.disconnects)
        yield from [*map(chunk, EVENTS), STREAM_END]

    configuration = entry.board.catalogue.configuration
    routes = tuple(
        replace(route, timeout_s=1.0) if route.kind is RouteKind.STREAMING else route
        for route in configuration.routes
    )
    entry.board.catalogue.configure(
        replace(configuration, revision=2, routes=routes), clock.now()
    )
    old.responses, new.responses = [[HANG]], [answer_late()]
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests)) == (1, 1)
    assert disconnects == [1]


# Guards against streams that are cut off because their weights lapse while they run.
def test_a_stream_that_has_started_runs_to_its_end(entry, engines):
    old, new = engines
    lapses_at = clock.now() + LAPSE_S

    def parts():
        yield stream_head() + chunk(EVENTS[0])
        while clock.now() < lapses_at:
            yield PAUSE
        yield from [*map(chunk, EVENTS[1:]), STREAM_END]

    old.responses = [parts()]
    assert_complete(ask(entry))
    assert new.requests == []


# Guards against a request that runs twice: it may have started before the cancellation.
def test_a_stream_that_may_not_be_resumed_is_not_sent_again(entry, engines):
    old, new = engines
    configuration = entry.board.catalogue.configuration
    routes = tuple(
        make_route(route.kind, route.name, resumable=False, objective_s=0.4)
        for route in configuration.routes
    )
    entry.board.catalogue.configure(
        replace(configuration, revision=2, routes=routes), clock.now()
    )
    old.responses = [[HANG]]
    assert ask(entry).startswith(b"HTTP/1.1 502")
    assert (len(old.requests), new.requests) == (1, [])


# Guards against requests that start on old weights after their deadline: the engine is
# chosen while they may, and the connection is opened after that, or the process is
# paused in between.
@pytest.mark.parametrize("passed_s", [0.0, 0.3])
def test_a_request_is_not_sent_to_weights_that_lapsed_since_the_choice(
    entry, monkeypatch, passed_s
):
    old, new = add_engines(entry, OLD_WEIGHTS_MARGIN_S + LAPSE_S)
    events = [stream_head(), *map(chunk, EVENTS), STREAM_END]
    old.responses, new.responses = [events], [events]
    pass_time_before_sending(entry, monkeypatch, passed_s)
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests)) == ((0, 1) if passed_s else (1, 0))
    assert entry.board.backends.backends["a"].in_flight == 0


# Guards against requests on the weights of an engine that restarted on an older version
# while the connection was opened.
def test_a_request_is_not_sent_to_an_engine_that_went_back_to_old_weights(
    entry, monkeypatch
):
    old, new = add_engines(entry, -1.0)
    backends = entry.board.backends
    ahead = replace(old.listed(), weights=(("m", 2),))
    backends.apply_listing([ahead, backends.backends["b"].listed])
    new.responses = [[stream_head(), *map(chunk, EVENTS), STREAM_END]]
    acquire = entry.flow.pool.acquire_connection

    def acquire_while_restarting(*args):
        backends.apply_listing([old.listed(), backends.backends["b"].listed])
        return acquire(*args)

    monkeypatch.setattr(entry.flow.pool, "acquire_connection", acquire_while_restarting)
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests)) == (0, 1)


# Guards against requests that wait in a congested link until the engine's weights have
# lapsed: a connection that is kept shows nothing about the link.
@pytest.mark.parametrize(("left_s", "reached"), [(1.0, False), (3.0, True)])
def test_shortly_before_the_lapse_a_new_connection_shows_that_the_link_is_free(
    entry, monkeypatch, left_s, reached
):
    old, new = add_engines(entry, OLD_WEIGHTS_MARGIN_S + left_s)
    events = [stream_head(), *map(chunk, EVENTS), STREAM_END]
    old.responses, new.responses = [events], [events]
    connect = connection_pool.HttpConnection
    kept = connect(old.address, clock.now() + 1.0)
    kept.usable_until = clock.now() + 10.0
    entry.flow.pool.idle["a"].append(kept)

    def connect_late(address, deadline):
        if address == old.address:
            raise ConnectError("no connection within 0.25 s")
        return connect(address, deadline)

    monkeypatch.setattr(connection_pool, "HttpConnection", connect_late)
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests)) == ((1, 0) if reached else (0, 1))


# Guards against a margin that does not know of late first events.
def test_late_first_events_of_streams_are_recorded(entry):
    first = entry.add("a", "engine")
    events = entry.board.backends.backends["a"].first_events
    waiting = []

    def answer_late():
        yield PAUSE
        waiting.append((len(events.due_at), events.delay_s(clock.now()) > 0.0))
        yield from [stream_head(), *map(chunk, EVENTS), STREAM_END]

    first.responses = [answer_late()]
    assert_complete(ask(entry))
    assert waiting == [(1, True)]
    assert (events.due_at, events.late_by_s > 0.0) == ({}, True)


def test_first_events_that_never_come_are_recorded(entry):
    entry.add("a", "engine").responses = [[HANG]]
    assert ask(entry).startswith(b"HTTP/1.1 504")
    events = entry.board.backends.backends["a"].first_events
    assert (events.due_at, events.late_by_s > 0.2) == ({}, True)


# Guards against requests that an engine starts after the lapse of its weights because
# the event loop of the entry runs late, so that nothing cancels them in time.
def test_no_request_starts_on_lapsed_weights_while_the_event_loop_is_late(
    entry, engines
):
    old, new = engines
    started: list[str] = []
    old.responses = [start_after(old, LAPSE_S + 0.1, started)]
    new.responses = [start_after(new, 0.0, started)]
    stall_event_loop(LAPSE_S - 0.1, 0.3)
    assert_complete(ask(entry))
    assert started == ["b"]


# Guards against engines that were told to work for as long as the caller waits: nothing
# but the entry then keeps a request from starting on lapsed weights.
@pytest.mark.parametrize("kind", [RouteKind.STREAMING, RouteKind.IDEMPOTENT])
def test_the_engine_is_given_the_time_until_its_weights_lapse(entry, engines, kind):
    old, _new = engines
    use_kind(entry, kind)
    events = [stream_head(), *map(chunk, EVENTS), STREAM_END]
    old.responses = [events if kind is RouteKind.STREAMING else ok_response()]
    assert ask(entry).startswith(b"HTTP/1.1 200")
    assert int(old.header(b"x-left")) <= LAPSE_S * 1000
    assert old.header(b"x-weights") == b"1"


# Guards against answers on the newest weights that are cut although nothing newer can
# have been published long ago.
@pytest.mark.parametrize(("proof_age_s", "is_limited"), [(0.0, False), (7.6, True)])
def test_on_the_newest_weights_the_time_is_that_since_the_latest_proof(
    entry, proof_age_s, is_limited
):
    engine = entry.add("a", "engine")
    catalogue = entry.board.catalogue
    catalogue.unproven_s = 7.8
    catalogue.publish_weights("m", 1, clock.now() - 60.0)
    catalogue.freshness.record_proof(clock.now() - proof_age_s)
    engine.responses = [[stream_head(), *map(chunk, EVENTS), STREAM_END]]
    assert_complete(ask(entry))
    assert (int(engine.header(b"x-left")) <= 100) == is_limited


# Guards against more time on the newest weights for an entry that forgot its proofs, as
# its VM was suspended.
@pytest.mark.parametrize("proof_age_s", [0.0, 4.9, 7.0])
def test_a_forgotten_proof_gives_no_more_time_on_the_newest_weights(entry, proof_age_s):
    catalogue = entry.board.catalogue
    catalogue.unproven_s = 5.0
    now = clock.now()
    catalogue.freshness.record_own_proof(now - proof_age_s)
    proven_at = absence_proven_at(entry.flow, now)
    catalogue.freshness.forget_proofs()
    assert absence_proven_at(entry.flow, now) <= proven_at


# Guards against an engine that counts as crashed, and a request that counts as crashing
# it, because it ended a stream when its weights lapsed.
def test_a_stream_that_the_engine_ends_at_the_lapse_is_resumed(entry, engines):
    old, new = engines
    lapses_at = clock.now() + LAPSE_S

    def end_at_lapse():
        yield stream_head() + chunk(EVENTS[0])
        while clock.now() < lapses_at:
            yield PAUSE
        yield RESET

    old.responses = [end_at_lapse()]
    new.responses = [[stream_head(), *map(chunk, EVENTS[1:]), STREAM_END]]
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests)) == (1, 1)
    assert new.header(b"x-after") == b"1"
    assert entry.board.backends.backends["a"].available(clock.now())
    assert not entry.board.suspects.records


# Guards against an engine that counts as crashed since it ended a stream when its time
# was over, which is up to 1 ms before the lapse: it is told whole milliseconds.
def test_an_engine_that_ends_as_it_was_told_has_not_crashed(
    entry, engines, monkeypatch
):
    old, new = engines
    sender_class = sending.AttemptSender
    backend_headers, handle_break = (
        sender_class.backend_headers,
        sender_class.handle_break,
    )
    told_until = []

    def send_at_half_a_millisecond(sender):
        if sender.backend.listed.server_id != old.name:
            return backend_headers(sender)
        lapses_at = weights_lapse_at(entry.flow, "m", 1, clock.now())
        sent_at = lapses_at - 0.1005
        with monkeypatch.context() as frozen:
            frozen.setattr(clock, "now", lambda: sent_at)
            headers = backend_headers(sender)
        told_until.append(sent_at + int(dict(headers)[b"x-left"]) / 1000)
        return headers

    def break_at_the_end(sender, exc):
        with monkeypatch.context() as frozen:
            frozen.setattr(clock, "now", lambda: told_until[0])
            return handle_break(sender, exc)

    monkeypatch.setattr(sender_class, "backend_headers", send_at_half_a_millisecond)
    monkeypatch.setattr(sender_class, "handle_break", break_at_the_end)
    old.responses = [[stream_head() + chunk(EVENTS[0]), RESET]]
    new.responses = [[stream_head(), *map(chunk, EVENTS[1:]), STREAM_END]]
    assert_complete(ask(entry))
    assert len(told_until) == 1
    assert entry.board.backends.backends["a"].available(clock.now())
    assert not entry.board.suspects.records


# Guards against requests to engines that are full for others because their weights
# lapsed while a request waited.
def test_an_engine_that_refuses_a_request_at_the_lapse_is_not_full(entry, engines):
    old, new = engines
    started: list[str] = []
    old.responses = [start_after(old, 10.0, started)]
    new.responses = [start_after(new, 0.0, started)]
    assert_complete(ask(entry))
    assert started == ["b"]
    assert entry.board.backends.backends["a"].marked_full_until <= clock.now()


# Guards against requests without a limit: the loaded version became unknown while the
# connection was opened.
def test_a_request_is_not_sent_to_an_engine_of_unknown_weights(entry, monkeypatch):
    old, new = add_engines(entry, inf)
    backends = entry.board.backends
    unknown = replace(old.listed(), weights=())
    new.responses = [[stream_head(), *map(chunk, EVENTS), STREAM_END]]
    acquire = entry.flow.pool.acquire_connection

    def acquire_while_unloading(*args):
        backends.apply_listing([unknown, backends.backends["b"].listed])
        return acquire(*args)

    monkeypatch.setattr(entry.flow.pool, "acquire_connection", acquire_while_unloading)
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests)) == (0, 1)


# Guards against resent requests that start on lapsed weights, from a late place in the
# queue of the second engine, and against refusing those that it may start.
def test_a_resent_request_has_the_time_until_the_weights_of_its_engine_lapse(
    entry, engines
):
    old, new = engines
    within_s = entry.flow.limits.weights_within_s
    entry.board.catalogue.publish_weights("m", 3, clock.now() - within_s + 0.55)
    started: list[str] = []
    old.responses = [[RESET]]
    new.responses = [start_after(new, 10.0, started)]
    response = ask(entry)
    assert int(new.header(b"x-left")) <= 550 - CANCEL_MARGIN_S * 1000
    assert response.startswith(b"HTTP/1.1 502")
    assert started == []


# Guards against 502 for requests that have not run and could be sent again: the entry
# cancelled them at the moment at which the engine refused them.
def test_the_refusal_of_the_engine_at_the_lapse_is_waited_for(entry, engines):
    old, new = engines
    configuration = entry.board.catalogue.configuration
    routes = tuple(
        make_route(route.kind, route.name, resumable=False, objective_s=0.4)
        for route in configuration.routes
    )
    entry.board.catalogue.configure(
        replace(configuration, revision=2, routes=routes), clock.now()
    )

    def refuse_after_the_limit():
        limit = clock.now() + int(old.header(b"x-left")) / 1000
        eventlet.sleep(limit + 0.02 - clock.now())
        yield from refusal()

    old.responses = [refuse_after_the_limit()]
    new.responses = [[stream_head(), *map(chunk, EVENTS), STREAM_END]]
    assert_complete(ask(entry))
    assert (len(old.requests), len(new.requests)) == (1, 1)
