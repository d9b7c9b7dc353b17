"""Orders to the engine that get no answer and may be accepted later."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from primroselever_agent.exceptions import EngineCallError, UnansweredCallError

from .conftest import FakeEngine
from .test_rollout import FIRST_CHUNKS, SECOND_CHUNKS, roll_out

if TYPE_CHECKING:
    from primroselever_core.transfer.manifest import Manifest

    from .conftest import Agent

accept = FakeEngine.load


def order_without_answer(
    agent: Agent, monkeypatch: pytest.MonkeyPatch, error: type[EngineCallError]
) -> list[tuple[Manifest, int]]:
    """Have the order of a second version fail; return the orders that were sent."""
    sent = []

    def lose(_engine: FakeEngine, manifest: Manifest, fencing: int) -> None:
        sent.append((manifest, fencing))
        raise error("no answer")

    monkeypatch.setattr(FakeEngine, "load", lose)
    agent.offer("2", *SECOND_CHUNKS)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*SECOND_CHUNKS)
    agent.rollout.step()
    assert len(sent) == 1
    monkeypatch.setattr(FakeEngine, "load", accept)
    return sent


def switch_again(agent: Agent) -> None:
    agent.rollout.next_switch_at = 0.0
    agent.rollout.step()


# Guards against runs that start on the old weights while the engine may still switch:
# their answers would be of two versions.
def test_an_engine_that_may_still_accept_an_order_does_not_serve(
    agent: Agent, monkeypatch: pytest.MonkeyPatch
) -> None:
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    sent = order_without_answer(agent, monkeypatch, UnansweredCallError)
    assert agent.section.serving is None
    assert "may still accept" in agent.section.problem
    agent.engine.load(*sent[0])
    switch_again(agent)
    assert agent.section.serving == sent[0][0].digest
    assert len(agent.engine.orders) == 2


def test_a_lost_order_is_followed_by_one_that_replaces_it(
    agent: Agent, monkeypatch: pytest.MonkeyPatch
) -> None:
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    manifest, fencing = order_without_answer(agent, monkeypatch, UnansweredCallError)[0]
    switch_again(agent)
    assert agent.section.serving == manifest.digest
    with pytest.raises(EngineCallError):
        agent.engine.load(manifest, fencing)


# Guards against the version of a lost order that is loaded under the runs of the
# version before, which was requested again meanwhile and was still loaded.
def test_the_version_before_is_ordered_again_if_an_order_may_still_be_accepted(
    agent: Agent, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = roll_out(agent, 1, "1", *FIRST_CHUNKS)
    sent = order_without_answer(agent, monkeypatch, UnansweredCallError)
    agent.publish(3, "1")
    switch_again(agent)
    switch_again(agent)
    assert agent.section.serving == first
    assert [version for version, _ in agent.engine.orders] == ["1", "1"]
    with pytest.raises(EngineCallError):
        agent.engine.load(*sent[0])


def test_an_engine_that_refuses_an_order_goes_on_to_serve(
    agent: Agent, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = roll_out(agent, 1, "1", *FIRST_CHUNKS)
    order_without_answer(agent, monkeypatch, EngineCallError)
    assert agent.section.serving == first


def test_a_refusal_does_not_settle_an_earlier_order(
    agent: Agent, monkeypatch: pytest.MonkeyPatch
) -> None:
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    order_without_answer(agent, monkeypatch, UnansweredCallError)

    def refuse(*_: object) -> None:
        raise EngineCallError("chunks are missing")

    monkeypatch.setattr(FakeEngine, "load", refuse)
    switch_again(agent)
    assert agent.section.serving is None
