from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from primroselever_agent.exceptions import OrderError
from primroselever_agent.transfer.engine_switch import MAX_SILENT_READS
from primroselever_core.transfer.sources import ORIGIN, Corrupt, Held, Read

from .conftest import FakeEngine

if TYPE_CHECKING:
    from .conftest import Agent, FakeClock

ONE = (b"aaaa", b"bbbb", b"cccc")
TWO = (b"aaaa", b"dddd", b"eeee")


def serve(agent: Agent, revision: int, version: str, *bodies: bytes) -> str:
    """Bring a version to the engine; return its digest."""
    manifest = agent.offer(version, *bodies)
    agent.publish(revision, version)
    agent.rollout.step()
    agent.hold(*bodies)
    agent.rollout.switch_at = 0.0
    agent.rollout.step()
    assert agent.section.serving == manifest.digest
    return manifest.digest


def test_no_order_is_given_on_a_partial_store(agent: Agent) -> None:
    agent.offer("1", *ONE)
    agent.publish(1, "1")
    agent.rollout.step()
    agent.hold(*ONE[:2])
    agent.section.planner.chunks.clear()
    agent.rollout.step()
    assert not agent.engine.orders
    assert agent.section.serving is None
    assert list(agent.section.planner.chunks) == [2]


@pytest.mark.parametrize("data", [b"bbbX", b"bb", b"bbbbb", b""])
def test_damaged_and_truncated_chunks_are_refused(agent: Agent, data: bytes) -> None:
    manifest = agent.offer("1", *ONE)
    agent.section.wanted = manifest
    read = Read(1, ORIGIN, 0.0, "owned")
    assert isinstance(agent.fetcher.take_in(manifest, read, data), Corrupt)
    assert isinstance(agent.fetcher.take_in(manifest, read, b"bbbb"), Held)


def test_an_engine_that_somebody_else_loads_serves_nobody(agent: Agent) -> None:
    agent.engine.honours_fencing = False
    digest = serve(agent, 1, "1", *ONE)
    agent.engine.digest = "somebody else's"
    agent.switch.watch()
    assert agent.section.serving is None
    agent.rollout.switch_at = 0.0
    agent.rollout.step()
    assert agent.section.serving == digest == agent.engine.digest


def test_an_engine_that_is_loaded_in_between_is_not_believed(agent: Agent) -> None:
    agent.engine.honours_fencing = False
    serve(agent, 1, "1", *ONE)
    agent.engine.taken_by = "somebody else"
    agent.offer("2", *TWO)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*TWO)
    agent.rollout.step()
    assert agent.section.serving is None


def test_a_paused_agent_gives_no_order_on_its_old_plan(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    digest = serve(agent, 1, "1", *ONE)
    agent.offer("2", *TWO)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*TWO)
    orders = len(agent.engine.orders)

    def pause(_plan: object) -> None:
        fake_clock.now += 30.0

    monkeypatch.setattr(agent.switch, "drained", pause)
    agent.rollout.step()
    assert len(agent.engine.orders) == orders
    assert agent.section.serving == digest


def test_a_newer_revision_wins_while_runs_are_drained(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    serve(agent, 1, "1", *ONE)
    agent.offer("2", *TWO)
    agent.publish(2, "2")
    agent.rollout.step()
    agent.hold(*TWO)
    agent.runs.count = 1

    def sleep(_seconds: float) -> None:
        fake_clock.now += 1.0
        agent.publish(3, "1")

    monkeypatch.setattr("eventlet.sleep", sleep)
    agent.rollout.step()
    assert [version for version, _ in agent.engine.orders] == ["1"]
    assert agent.section.serving is not None
    assert "revision 3" in agent.section.problem


def test_a_version_that_changes_in_flight_keeps_equal_chunks(agent: Agent) -> None:
    agent.offer("1", *ONE)
    agent.publish(1, "1")
    agent.rollout.step()
    agent.hold(*ONE[:2])
    agent.section.planner.doubted = True
    changed = agent.offer("1", b"aaaa", b"bbbb", b"ffff")
    agent.rollout.step()
    assert agent.section.wanted == changed
    assert list(agent.section.planner.chunks) == [2]


def test_a_rollback_needs_no_source(agent: Agent) -> None:
    first = serve(agent, 1, "1", *ONE)
    serve(agent, 2, "2", *TWO)
    agent.finder.manifests.clear()
    agent.publish(3, "1")
    agent.rollout.switch_at = 0.0
    agent.rollout.step()
    agent.rollout.step()
    assert agent.section.serving == first
    fencing = [number for _, number in agent.engine.orders]
    assert fencing == sorted(set(fencing))


def test_a_version_above_the_memory_limit_is_refused(agent: Agent) -> None:
    digest = serve(agent, 1, "1", *ONE)
    agent.offer("2", *(bytes([n]) * 10 for n in range(5)))
    agent.publish(2, "2")
    agent.rollout.step()
    assert agent.section.serving == digest
    assert "chunk_memory_bytes" in agent.section.problem
    assert agent.section.store.held_bytes <= 40


def test_old_chunks_end_at_their_deadline(agent: Agent, fake_clock: FakeClock) -> None:
    serve(agent, 1, "1", *ONE)
    serve(agent, 2, "2", *TWO)
    assert agent.section.store.held_bytes == 20
    fake_clock.now += 121.0
    agent.rollout.step()
    assert agent.section.store.held_bytes == 12


def test_a_version_that_is_not_to_be_had_is_not_sought_all_the_time(
    agent: Agent, fake_clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    sought = []
    monkeypatch.setattr(
        type(agent.finder), "find", lambda *arguments: sought.append(arguments)
    )
    agent.publish(1, "1")
    for _ in range(100):
        fake_clock.now += 0.05
        agent.rollout.step()
    assert 1 <= len(sought) <= 6


def test_a_share_of_the_link_below_a_byte_is_still_a_limit(agent: Agent) -> None:
    agent.rollout.cross_domain_bytes_per_s = 2
    agent.rollout.set_cross_domain_budget(sharers=3)
    assert agent.fetcher.cross_domain is not None

    agent.rollout.cross_domain_bytes_per_s = 0
    agent.rollout.set_cross_domain_budget(sharers=3)
    assert agent.fetcher.cross_domain is None


def test_each_time_it_serves_one_silent_read_of_the_engine_is_borne(
    agent: Agent, monkeypatch: pytest.MonkeyPatch
) -> None:
    def silent(_engine: FakeEngine) -> None:
        raise OrderError("no answer")

    digest = serve(agent, 1, "1", *ONE)
    monkeypatch.setattr(FakeEngine, "state", silent)
    for _ in range(MAX_SILENT_READS):
        agent.switch.watch()
    assert agent.section.serving is None

    agent.section.serving = digest
    agent.switch.watch()
    assert agent.section.serving == digest


def test_a_problem_is_gone_once_the_version_that_serves_is_wanted_again(
    agent: Agent,
) -> None:
    serve(agent, 1, "1", *ONE)
    agent.offer("2", b"x" * (agent.section.store.limit_bytes + 1))
    agent.publish(2, "2")
    agent.rollout.step()
    assert "raise chunk_memory_bytes" in agent.section.problem

    agent.publish(3, "1")
    agent.rollout.step()
    assert agent.section.problem == ""
