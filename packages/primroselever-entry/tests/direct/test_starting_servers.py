"""Servers that are cold or in their ramp, as callers and back ends observe it."""

from __future__ import annotations

import pytest

from primroselever_core.catalogue.model import Service
from primroselever_core.dispatch.announcements import start_of
from primroselever_entry.direct.explain import DispatchExplainer
from primroselever_entry.direct.start_watch import describe_start
from primroselever_node import clock

from .conftest import RESET, ok_response

pytestmark = pytest.mark.usefixtures("long_limits")

COLD_S = 3.0
COLD_PER_S = 2.0
OVERAGE, SLACK = 1.5, 5.0
ALLOWED = int(COLD_PER_S * OVERAGE + SLACK)


@pytest.fixture
def starting(entry):
    """Return an entry with the settings, and a server that starts during traffic."""
    section = entry.board.backends
    service = Service("plain", 9, cold_start_s=COLD_S, cold_per_s=COLD_PER_S)
    section.cold_pace.overage, section.cold_pace.slack = OVERAGE, SLACK
    section.cold_pace.configure({"plain": service}, [])
    section.start_pace.enabled = True
    apply_listing(entry)
    backend = entry.add("a")
    apply_listing(entry)
    backend.responses = [ok_response() for _request in range(100)]
    return backend


def apply_listing(entry) -> None:
    section = entry.board.backends
    backends = list(section.backends.values())
    section.cold_pace.apply_listing(backends, clock.now())
    section.start_pace.apply_listing(backends, clock.now())


def known_backend(entry):
    return entry.board.backends.backends["a"]


def answer(*headers: bytes) -> list[bytes]:
    return ok_response(headers=b"".join(headers))


# Guards against the full load for a server that crashes well above a rate.
def test_a_cold_server_gets_no_more_than_its_bound(entry, starting):
    for _request in range(40):
        entry.send()
    assert 0 < len(starting.requests) <= ALLOWED
    answered = entry.send()
    assert answered.startswith(b"HTTP/1.1 503")
    assert b"are starting" in answered


def test_a_server_that_says_it_is_not_cold_is_not_bounded(entry, starting):
    starting.responses = [answer(b"cold-ms: 0\r\n") for _request in range(100)]
    entry.send()
    assert not known_backend(entry).cold.is_cold(clock.now())


@pytest.mark.parametrize("value", [b"soon", b"-1"])
def test_an_invalid_cold_header_changes_nothing(entry, starting, value):
    starting.responses = [answer(b"cold-ms: " + value + b"\r\n")]
    before = known_backend(entry).cold.cold_until
    entry.send()
    assert known_backend(entry).cold.cold_until == before


def test_an_answer_that_says_it_is_cold_again_is_published(entry, starting):
    published = []
    entry.flow.announcements.publish_pace = lambda *news: published.append(news)
    start = start_of(known_backend(entry).listed)
    cold = known_backend(entry).cold
    cold.learn(clock.now(), clock.now(), "test", clock.now())
    starting.responses = [answer(b"cold-ms: 2500\r\n")]
    entry.send()
    assert cold.is_cold(clock.now() + 2.0)
    assert (start, 0) in published
    assert (start, 1) in published


def test_a_failure_begins_a_ramp_and_an_unknown_state(entry, starting):
    backend = known_backend(entry)
    backend.cold.learn(clock.now(), clock.now(), "test", clock.now())
    backend.ramp.end("test", clock.now())
    ended = backend.ramp
    starting.responses = [[RESET]]
    entry.send("/order/x", method="POST", body=b"p")
    assert backend.cold.unknown
    assert backend.ramp is not ended
    assert backend.ramp.cause == "back from an ejection"


def test_explain_and_status_show_phase_pace_and_cause(entry, starting):
    entry.send()
    explained = DispatchExplainer(entry.board, entry.flow).explain({"service": "plain"})
    start = explained["servers"]["a"]["start"]
    assert start["phase"] == "cold"
    assert start["cause"] == "another start"
    assert start["ramp_phase"] == "probing"
    assert start["pace_per_s"] > 0
    assert start == describe_start(known_backend(entry), clock.now()) | {
        "cold_for_s": start["cold_for_s"]
    }


# Guards against an explanation that begins a ramp or counts as a request.
def test_explain_and_status_change_no_state(entry, starting):
    explainer = DispatchExplainer(entry.board, entry.flow)
    before = repr(known_backend(entry).ramp)
    for _call in range(20):
        explainer.explain({"service": "plain"})
        known_backend(entry).available(clock.now())
    # The rank is looked up once and kept.
    before = before.replace("rank_revision=-1", "rank_revision=0")
    assert repr(known_backend(entry).ramp) == before


# Guards against any change for deployments without the settings.
def test_without_settings_a_server_that_starts_gets_all_requests(entry):
    apply_listing(entry)
    backend = entry.add("a")
    apply_listing(entry)
    backend.responses = [ok_response() for _request in range(40)]
    for _request in range(40):
        entry.send()
    assert len(backend.requests) == 40
    assert describe_start(known_backend(entry), clock.now()) is None
