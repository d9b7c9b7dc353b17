"""Chunks in the engine that change between their hand-over and the order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_agent.transfer.engine_switch import HANDED_VALID_S

from .test_rollout import FIRST_CHUNKS, SECOND_CHUNKS, roll_out

if TYPE_CHECKING:
    import pytest

    from .conftest import Agent, FakeClock


def corrupt(agent: Agent, digest: str) -> None:
    agent.engine.handed[digest][1] = b"XXXX"


# Guards against tokens that are generated with corrupted weights: the chunks are handed
# over while others are still read, and while runs end.
def test_chunks_that_were_handed_over_long_before_the_order_are_handed_over_again(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    manifest = agent.offer("2", *SECOND_CHUNKS)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*SECOND_CHUNKS)
    agent.runs.count = 1

    def sleep(_seconds: float) -> None:
        corrupt(agent, manifest.digest)
        fake_clock.now += HANDED_VALID_S
        agent.runs.count = 0

    monkeypatch.setattr("eventlet.sleep", sleep)
    agent.rollout.step()
    assert agent.section.serving == manifest.digest
    assert tuple(agent.engine.loaded.values()) == SECOND_CHUNKS


def test_chunks_that_were_handed_over_just_before_the_order_are_not_handed_over_again(
    agent: Agent, monkeypatch: pytest.MonkeyPatch
) -> None:
    puts = []
    put_chunk = type(agent.engine).put_chunk

    def count_and_put(engine: object, digest: str, index: int, data: bytes) -> None:
        puts.append(index)
        put_chunk(engine, digest, index, data)

    monkeypatch.setattr(type(agent.engine), "put_chunk", count_and_put)
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    assert puts == [0, 1, 2]


def test_a_plan_that_expires_during_the_hand_over_is_not_executed(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = roll_out(agent, 1, "1", *FIRST_CHUNKS)
    agent.offer("2", *SECOND_CHUNKS)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*SECOND_CHUNKS)

    def hand_over_slowly(_manifest: object) -> None:
        fake_clock.now += 30.0

    monkeypatch.setattr(agent.engine_switch, "hand_over_again", hand_over_slowly)
    agent.rollout.step()
    assert [version for version, _ in agent.engine.orders] == ["1"]
    assert agent.section.serving == first


# Guards against an engine that restarts between the hand-over and the order, and loads
# what another process, or nobody, handed over since.
def test_an_engine_that_restarts_before_the_order_is_handed_all_chunks_again(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    manifest = agent.offer("1", *FIRST_CHUNKS)
    agent.publish(1, "1")
    agent.rollout.step()
    agent.hold(*FIRST_CHUNKS)
    for index in range(3):
        agent.rollout.hand_over_chunk(manifest, index)
    agent.engine.handed.clear()
    agent.engine.put_chunk(manifest.digest, 1, FIRST_CHUNKS[1])
    for _ in range(2):
        agent.rollout.next_switch_at = 0.0
        agent.rollout.step()
    assert agent.section.serving == manifest.digest
    assert dict(sorted(agent.engine.loaded.items())) == dict(enumerate(FIRST_CHUNKS))
