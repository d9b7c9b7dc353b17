"""Time limits of requests at the simulated engine."""

from __future__ import annotations

import socket

import pytest

from bench.standins.base import Reply, Request
from soak import backends, engines
from soak.backends import CrashedError
from soak.engines import EVENT_INTERVAL_S, Load, ModelServer
from soak.ledger import Ledger


class Clock:
    """A clock that only moves while something sleeps."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def time(self) -> float:
        return self.now

    def sleep(self, duration_s: float) -> None:
        self.now += duration_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (backends, engines):
        monkeypatch.setattr(module, "time", clock)
        monkeypatch.setattr(module, "eventlet", clock)
    return clock


@pytest.fixture
def engine(clock: Clock) -> ModelServer:
    """Return an engine that holds version 1."""
    return ModelServer(Ledger(), ("127.0.0.1", 0), "a")


def send_stream(engine: ModelServer, remaining_ms: int, last_event: int = 3) -> Reply:
    headers = {
        "Expect-Instance": engine.server_id,
        "Request-Id": "r1",
        "Deadline-Ms": str(remaining_ms),
    }
    return engine.answer(Request("POST", f"/stream/x/{last_event}", {}, headers, b""))


def test_a_request_is_refused_if_its_time_passes_in_the_queue(
    engine: ModelServer, clock: Clock
) -> None:
    """The stand-in began requests that a real engine refuses at their time limit."""
    engine.queue_held_until = clock.now + 2.0
    reply = send_stream(engine, 500)
    assert reply.status.startswith("503")
    assert ("Not-Run", "1") in reply.headers
    assert clock.now == pytest.approx(100.5, abs=0.02)
    assert not engine.ledger.runs
    assert engine.running == 0


def test_the_time_limit_counts_from_the_arrival_at_a_silent_engine(
    engine: ModelServer, clock: Clock
) -> None:
    """A request that arrived in a silence began after its time limit."""
    engine.silent_until = clock.now + 1.0
    assert send_stream(engine, 900).status.startswith("503")
    assert not engine.ledger.runs


def test_a_request_waits_in_the_queue_and_begins_with_its_first_event(
    engine: ModelServer, clock: Clock
) -> None:
    """The check would count from the arrival of a request instead of its beginning."""
    engine.queue_held_until = clock.now + 2.0
    reply = send_stream(engine, 6000)
    (run,) = engine.ledger.runs["r1"]
    assert run.begun_at == 0.0
    assert len(list(reply.body)) == 3
    assert run.begun_at == pytest.approx(102.0 + EVENT_INTERVAL_S, abs=0.02)
    assert run.version == 1


def test_a_run_is_ended_at_its_time_limit(engine: ModelServer, clock: Clock) -> None:
    """A run went on for longer than a real engine lets it."""
    events = iter(send_stream(engine, 100, last_event=30).body)
    with pytest.raises(CrashedError):
        for _ in range(30):
            next(events)
    assert clock.now == pytest.approx(100.1)
    assert engine.ledger.runs["r1"][0].begun_at
    assert engine.running == 0


def test_a_queued_request_does_not_run_on_other_weights(
    engine: ModelServer, clock: Clock
) -> None:
    """A switch of the weights would wait for the queue, or serve it on others."""
    engine.queue_held_until = clock.now + 2.0
    engine.loading = Load(2, {})
    assert send_stream(engine, 6000).status.startswith("503")
    assert clock.now == 100.0
    assert not engine.ledger.runs


def test_a_request_is_dropped_from_the_queue_if_its_connection_is_closed(
    engine: ModelServer, clock: Clock
) -> None:
    """Requests that an entry had cancelled in time began once the queue moved."""
    engine.queue_held_until = clock.now + 2.0
    near_side, far_side = socket.socketpair()
    near_side.close()
    headers = {"Expect-Instance": engine.server_id, "Request-Id": "r1"}
    request = Request("POST", "/stream/x/3", {}, headers, b"", far_side)
    with far_side, pytest.raises(CrashedError):
        engine.answer(request)
    assert clock.now == 100.0
    assert not engine.ledger.runs
    assert engine.running == 0
