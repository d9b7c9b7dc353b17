"""Reads of weights and states that fail, and what the log says of them."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from primroselever_agent.exceptions import EngineCallError
from primroselever_agent.transfer.peers import Peers
from primroselever_core.identifiers import GroupName, VmId
from primroselever_core.transfer.sources import (
    Read,
    Refused,
    Silent,
    Source,
    SourceKind,
)
from primroselever_node.exceptions import WeightSourceError, WeightSourceStatusError
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError

if TYPE_CHECKING:
    from .conftest import Agent


@pytest.mark.parametrize(
    ("error", "event_type"),
    [
        (WeightSourceError("the store did not respond"), Silent),
        (WeightSourceStatusError("the store returned status 500"), Refused),
    ],
)
def test_a_failed_read_from_a_source_is_logged(
    agent: Agent, caplog: pytest.LogCaptureFixture, error: Exception, event_type: type
) -> None:
    """The planner turns to another source, so nothing else shows the error."""
    manifest = agent.offer("1", b"0123456789")

    def fail(*_args: object) -> bytes:
        raise error

    source: Any = SimpleNamespace(fetch_chunk=fail)
    agent.fetcher.sources = {"store": source}
    read = Read(0, Source(SourceKind.STORE), 0.0, "owner")

    event = agent.fetcher.perform_read(manifest, read)

    assert isinstance(event, event_type)
    assert str(error) in caplog.text


@pytest.mark.parametrize("error_type", [NeverSentError, LostReplyError])
def test_a_failed_call_to_a_peer_is_logged(
    agent: Agent, caplog: pytest.LogCaptureFixture, error_type: type[Exception]
) -> None:
    def fail(*_args: object, **_options: object) -> None:
        raise error_type("the peer is cut off")

    pool: Any = SimpleNamespace(call=fail, close_idle_connections=lambda _: None)
    peers = Peers(agent.board, GroupName("alerts"), pool)

    assert peers.fetch_state(VmId("vm")) is None
    assert "the peer is cut off" in caplog.text


def test_the_first_failed_read_of_the_engine_is_logged(
    agent: Agent, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only the second one in a row stops admission and is logged as a decision."""
    agent.section.serving = agent.offer("1", b"0123456789").digest

    def fail(*_args: object) -> None:
        raise EngineCallError("the engine's link is down")

    monkeypatch.setattr(type(agent.engine), "state", fail)
    agent.engine_switch.check_engine()

    assert agent.section.serving is not None
    assert "the engine's link is down" in caplog.text
