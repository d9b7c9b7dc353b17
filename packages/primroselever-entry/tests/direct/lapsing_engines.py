"""Engines on versions of weights of which the older one lapses soon."""

from __future__ import annotations

from dataclasses import replace

import eventlet
from eventlet import patcher

from primroselever_core.catalogue.model import RouteKind, WeightedService
from primroselever_node import clock

from .conftest import EVENTS, PAUSE, STREAM_END, chunk, make_route, refusal, stream_head

LAPSE_S = 0.25  # until the old weights lapse, well below the timeout of the route


def add_engines(entry, left_s: float):
    """Add an engine on version 1 that is preferred, and a loaded one on version 2."""
    old, new = entry.add("a", "engine"), entry.add("b", "engine")
    old_listed, new_listed = old.listed(), replace(new.listed(), weights=(("m", 2),))
    entry.board.backends.apply_listing([old_listed, new_listed])
    entry.board.backends.backends["b"].in_flight = 7
    within_s = entry.flow.limits.weights_within_s
    entry.board.catalogue.publish_weights("m", 1, clock.now() - 60.0)
    entry.board.catalogue.publish_weights("m", 2, clock.now() - within_s + left_s)
    return old, new


def use_kind(entry, kind: RouteKind) -> None:
    """Give all routes a kind, and the engines."""
    configuration = entry.board.catalogue.configuration
    routes = tuple(
        make_route(kind, route.name, services=(WeightedService("engine", 1),))
        for route in configuration.routes
    )
    entry.board.catalogue.configure(
        replace(configuration, revision=2, routes=routes), clock.now()
    )


def pass_time_before_sending(entry, monkeypatch, seconds: float) -> None:
    """Have the clock advance while the first connection is opened."""
    now, acquire = clock.now, entry.flow.pool.acquire_connection
    left_s = [seconds]

    def acquire_late(*args):
        connection = acquire(*args)
        passed_s = left_s.pop() if left_s else 0.0
        if passed_s:
            monkeypatch.setattr(clock, "now", lambda: now() + passed_s)
        return connection

    monkeypatch.setattr(entry.flow.pool, "acquire_connection", acquire_late)


def start_after(engine, wait_s: float, started: list[str]):
    """
    Yield what an engine sends that starts a request after a wait.

    It refuses the request if its time, counted from arrival, passes before.
    """
    arrived_at = clock.now()
    limit = arrived_at + int(engine.header(b"x-left")) / 1000
    starts_at = arrived_at + wait_s
    while clock.now() < min(starts_at, limit):
        yield PAUSE
    if limit <= starts_at:
        yield from refusal()
        return
    started.append(engine.name)
    yield from [stream_head(), *map(chunk, EVENTS), STREAM_END]


def stall_event_loop(delay_s: float, stall_s: float) -> None:
    """Let no greenlet run for a while, after a delay."""
    unpatched_time = patcher.original("time")
    eventlet.spawn_after(delay_s, unpatched_time.sleep, stall_s)
