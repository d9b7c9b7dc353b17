from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from primroselever_agent.exceptions import EngineCallError
from primroselever_agent.transfer.engine_switch import FAILED_READS_TO_STOP
from primroselever_core.transfer.sources import ORIGIN, Corrupt, Held, Read

from .conftest import FakeEngine

if TYPE_CHECKING:
    from .conftest import Agent, FakeClock

FIRST_CHUNKS = (b"aaaa", b"bbbb", b"cccc")
SECOND_CHUNKS = (b"aaaa", b"dddd", b"eeee")


def roll_out(agent: Agent, revision: int, version: str, *bodies: bytes) -> str:
    """Roll a version out to the engine and return its digest."""
    manifest = agent.offer(version, *bodies)
    agent.publish(revision, version)
    agent.rollout.step()
    agent.hold(*bodies)
    agent.rollout.next_switch_at = 0.0
    agent.rollout.step()
    assert agent.section.serving == manifest.digest
    return manifest.digest


def test_an_incomplete_version_is_not_loaded(agent: Agent) -> None:
    agent.offer("1", *FIRST_CHUNKS)
    agent.publish(1, "1")
    agent.rollout.step()
    agent.hold(*FIRST_CHUNKS[:2])
    agent.section.planner.chunks.clear()
    agent.rollout.step()
    assert not agent.engine.orders
    assert agent.section.serving is None
    assert list(agent.section.planner.chunks) == [2]


@pytest.mark.parametrize("data", [b"bbbX", b"bb", b"bbbbb", b""])
def test_damaged_and_truncated_chunks_are_rejected(agent: Agent, data: bytes) -> None:
    manifest = agent.offer("1", *FIRST_CHUNKS)
    agent.section.wanted = manifest
    read = Read(1, ORIGIN, 0.0, "owned")
    assert isinstance(agent.fetcher.store_chunk(manifest, read, data), Corrupt)
    assert isinstance(agent.fetcher.store_chunk(manifest, read, b"bbbb"), Held)


def test_serving_stops_when_another_process_changes_the_engine(agent: Agent) -> None:
    agent.engine.honours_fencing = False
    digest = roll_out(agent, 1, "1", *FIRST_CHUNKS)
    agent.engine.digest = "another digest"
    agent.engine_switch.check_engine()
    assert agent.section.serving is None
    agent.rollout.next_switch_at = 0.0
    agent.rollout.step()
    assert agent.section.serving == digest == agent.engine.digest


def test_an_engine_overwritten_during_a_switch_does_not_serve(agent: Agent) -> None:
    agent.engine.honours_fencing = False
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    agent.engine.overwritten_digest = "another digest"
    agent.offer("2", *SECOND_CHUNKS)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*SECOND_CHUNKS)
    agent.rollout.step()
    assert agent.section.serving is None


def test_a_plan_that_expires_during_a_pause_is_not_executed(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    digest = roll_out(agent, 1, "1", *FIRST_CHUNKS)
    agent.offer("2", *SECOND_CHUNKS)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*SECOND_CHUNKS)
    orders = len(agent.engine.orders)

    def pause(_plan: object) -> None:
        fake_clock.now += 30.0

    monkeypatch.setattr(agent.engine_switch, "drain_runs", pause)
    agent.rollout.step()
    assert len(agent.engine.orders) == orders
    assert agent.section.serving == digest


def test_a_newer_revision_stops_a_switch_while_runs_are_drained(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    agent.offer("2", *SECOND_CHUNKS)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*SECOND_CHUNKS)
    agent.runs.count = 1

    def sleep(_seconds: float) -> None:
        fake_clock.now += 1.0
        agent.publish(3, "1")

    monkeypatch.setattr("eventlet.sleep", sleep)
    agent.rollout.step()
    assert [version for version, _ in agent.engine.orders] == ["1"]
    assert agent.section.serving is not None
    assert "revision 3" in agent.section.problem


def test_a_version_that_changes_during_transfer_keeps_equal_chunks(
    agent: Agent,
) -> None:
    agent.offer("1", *FIRST_CHUNKS)
    agent.publish(1, "1")
    agent.rollout.step()
    agent.hold(*FIRST_CHUNKS[:2])
    agent.section.planner.manifest_doubted = True
    changed = agent.offer("1", b"aaaa", b"bbbb", b"ffff")
    agent.rollout.step()
    assert agent.section.wanted == changed
    assert list(agent.section.planner.chunks) == [2]


def test_a_rollback_needs_no_source(agent: Agent) -> None:
    first = roll_out(agent, 1, "1", *FIRST_CHUNKS)
    roll_out(agent, 2, "2", *SECOND_CHUNKS)
    agent.finder.manifests.clear()
    agent.publish(3, "1")
    agent.rollout.next_switch_at = 0.0
    agent.rollout.step()
    agent.rollout.step()
    assert agent.section.serving == first
    fencing = [number for _, number in agent.engine.orders]
    assert fencing == sorted(set(fencing))


def test_a_version_above_the_memory_limit_is_not_transferred(agent: Agent) -> None:
    digest = roll_out(agent, 1, "1", *FIRST_CHUNKS)
    agent.offer("2", *(bytes([n]) * 10 for n in range(5)))
    agent.publish(2, "2")
    agent.rollout.step()
    assert agent.section.serving == digest
    assert "chunk_memory_bytes" in agent.section.problem
    assert agent.section.store.held_bytes <= 40


def test_chunks_of_the_old_version_are_dropped_at_their_deadline(
    agent: Agent, fake_clock: FakeClock
) -> None:
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    roll_out(agent, 2, "2", *SECOND_CHUNKS)
    assert agent.section.store.held_bytes == 20
    fake_clock.now += 121.0
    agent.rollout.step()
    assert agent.section.store.held_bytes == 12


def test_an_unavailable_version_is_searched_for_at_a_limited_rate(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    searches = []
    monkeypatch.setattr(
        type(agent.finder), "find", lambda *arguments: searches.append(arguments)
    )
    agent.publish(1, "1")
    for _ in range(100):
        fake_clock.now += 0.05
        agent.rollout.step()
    assert 1 <= len(searches) <= 6


def test_a_link_share_below_one_byte_per_second_is_still_a_limit(agent: Agent) -> None:
    agent.rollout.cross_domain_bytes_per_s = 2
    agent.rollout.set_cross_domain_budget(vm_count=3)
    assert agent.fetcher.cross_domain_budget is not None

    agent.rollout.cross_domain_bytes_per_s = 0
    agent.rollout.set_cross_domain_budget(vm_count=3)
    assert agent.fetcher.cross_domain_budget is None


def test_one_failed_state_read_is_tolerated_after_serving_resumes(
    agent: Agent, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(_engine: FakeEngine) -> None:
        raise EngineCallError("no answer")

    digest = roll_out(agent, 1, "1", *FIRST_CHUNKS)
    monkeypatch.setattr(FakeEngine, "state", fail)
    for _ in range(FAILED_READS_TO_STOP):
        agent.engine_switch.check_engine()
    assert agent.section.serving is None

    agent.section.serving = digest
    agent.engine_switch.check_engine()
    assert agent.section.serving == digest


def test_the_problem_is_cleared_when_the_served_version_is_requested_again(
    agent: Agent,
) -> None:
    roll_out(agent, 1, "1", *FIRST_CHUNKS)
    agent.offer("2", b"x" * (agent.section.store.limit_bytes + 1))
    agent.publish(2, "2")
    agent.rollout.step()
    assert "raise chunk_memory_bytes" in agent.section.problem

    agent.publish(3, "1")
    agent.rollout.step()
    assert agent.section.problem == ""
