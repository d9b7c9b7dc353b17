"""
Back ends whose VM is silent or slow to report while a request runs there.

Missing reports and a lapsed entry of the list concern new requests only. The work that
runs is neither started again elsewhere nor cut off.
"""

from __future__ import annotations

import pytest

from primroselever_core.dispatch.backend import EngineReport
from primroselever_entry.direct import sending
from primroselever_node import clock

from .conftest import (
    EVENTS,
    PAUSE,
    STREAM_END,
    ask,
    assert_complete,
    chunk,
    ok_response,
    stream_head,
)

pytestmark = pytest.mark.usefixtures("long_limits")


@pytest.fixture(autouse=True)
def patience(monkeypatch) -> None:
    # The server itself is silent for PAUSE_S only, however slow the machine is.
    monkeypatch.setattr(sending, "MIN_SILENCE_LIMIT_S", 5.0)


def report(received_at: float, version: int = 1, switching: bool = False):
    return EngineReport(received_at, 1, "m", version, switching, 1, 0, 1.0)


def lapse(entry) -> None:
    """Apply a list that lacks the first server, as after missed heartbeats."""
    entry.backends = entry.backends[1:]
    entry.apply_listing()
    entry.flow.pool.close_removed_servers(entry.board.backends.backends.keys())


def stop_reports(entry) -> None:
    address = entry.backends[0].address
    entry.board.backends.apply_report(address, report(clock.now() - 60.0))


def report_a_switch(entry) -> None:
    address = entry.backends[0].address
    entry.board.backends.apply_report(address, report(clock.now(), switching=True))


CHANGES = [lapse, stop_reports, report_a_switch]


def add_pair(entry, service: str):
    first, second = entry.add("a", service), entry.add("b", service)
    entry.board.backends.backends["b"].in_flight = 7
    return first, second


# Guards against running work that is given up, or started again on another server, when
# the server's VM stops reporting, its lease lapses or it is about to switch weights.
@pytest.mark.parametrize("change", CHANGES)
def test_a_stream_of_a_vm_that_stops_reporting_runs_to_its_end(entry, change):
    first, second = add_pair(entry, "engine")

    def parts():
        yield stream_head() + chunk(EVENTS[0])
        change(entry)
        yield PAUSE
        yield from [*map(chunk, EVENTS[1:]), STREAM_END]

    first.responses = [parts()]
    assert_complete(ask(entry))
    assert second.requests == []


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize(
    ("path", "method", "body"), [("/read/x", "GET", b""), ("/order/x", "POST", b"ink")]
)
def test_a_plain_request_at_a_vm_that_stops_reporting_is_answered(
    entry, change, path, method, body
):
    first, second = add_pair(entry, "plain")

    def parts():
        change(entry)
        yield PAUSE
        yield from ok_response()

    first.responses = [parts()]
    assert entry.send(path, method=method, body=body).endswith(b"ok")
    assert second.requests == []
