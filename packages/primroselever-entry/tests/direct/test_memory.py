"""Requests that an engine's memory cannot hold, as callers and back ends observe it."""

from __future__ import annotations

import pytest

from primroselever_core.dispatch.backend import EngineReport
from primroselever_entry.direct.explain import DispatchExplainer
from primroselever_node import clock

from .conftest import EVENTS, STREAM_END, chunk, request, stream_head

pytestmark = pytest.mark.usefixtures("long_limits")

TOTAL = 100


def add_engine(entry, name, used, server_memory=True):
    engine = entry.add(name, "engine")
    engine.responses = [
        [stream_head(), *map(chunk, EVENTS), STREAM_END] for _ in range(3)
    ]
    report = EngineReport(
        clock.now(), 1, "m", 1, False, 0, 0, 1.0, memory_used=used, memory_total=TOTAL
    )
    entry.board.backends.apply_report(engine.address, report)
    entry.board.backends.server_memory = server_memory
    return engine


def ask(entry, tokens):
    connection = entry.connect()
    headers = ["x-model: m", f"x-tokens: {tokens},1"]
    connection.sendall(request("/ask/x", "POST", b"p", headers))
    response = b""
    while part := connection.recv(65536):
        response += part
    return response


def test_a_request_goes_to_an_engine_that_can_hold_it(entry):
    """Fails if an engine crashes by a request while another one has memory left."""
    full, other = add_engine(entry, "a", 60), add_engine(entry, "b", 20)
    for _ in range(3):
        assert ask(entry, 70).startswith(b"HTTP/1.1 200")
    assert (len(full.requests), len(other.requests)) == (0, 3)
    assert not entry.board.backends.backends["b"].memory.own
    explained = DispatchExplainer(entry.board, entry.flow).explain(
        {"service": "engine"}
    )
    memory = explained["servers"]["a"]["memory"]
    assert (memory["used_tokens"], memory["total_tokens"]) == (60, TOTAL)


@pytest.mark.parametrize(("tokens", "cause"), [(70, "full"), (TOTAL, "too_large")])
def test_a_request_that_no_engine_can_hold_is_refused_at_once(
    entry, caplog, tokens, cause
):
    """Fails if a caller waits for a refusal, or is told that it may have run."""
    engine = add_engine(entry, "a", 60)
    caplog.set_level("INFO")
    started_at = clock.now()
    response = ask(entry, tokens)
    assert clock.now() - started_at < 0.2
    assert response.startswith(b"HTTP/1.1 503")
    assert b"memory" in response
    assert b"Retry-After" in response
    assert not engine.requests
    refusals = [each for each in caplog.records if "server memory" in each.getMessage()]
    assert len(refusals) == 1
    assert refusals[0].cause == cause


def test_without_the_setting_a_full_engine_is_used(entry):
    """Fails if deployments without the setting refuse requests."""
    engine = add_engine(entry, "a", TOTAL, server_memory=False)
    assert ask(entry, 70).startswith(b"HTTP/1.1 200")
    assert len(engine.requests) == 1
