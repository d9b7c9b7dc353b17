from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_agent.transfer.engine_switch import EngineSwitch
from primroselever_core.board import Blackboard
from primroselever_core.identifiers import (
    FailureDomain,
    Incarnation,
    Region,
    VmId,
    WeightsDigest,
)
from primroselever_core.identity import Identity
from primroselever_core.membership.contact import record_answer, record_tick
from primroselever_core.transfer.chunk_store import ChunkStore
from primroselever_core.transfer.section import TransfersSection
from primroselever_core.transfer.switching import SwitchPlan
from primroselever_node import clock

if TYPE_CHECKING:
    import pytest


def test_a_plan_made_before_a_pause_is_not_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    board = Blackboard(
        Identity(VmId("a"), FailureDomain("lag-a"), Region("west"), Incarnation(1))
    )
    section = TransfersSection(ChunkStore(limit_bytes=1))
    unused: Any = None
    switch = EngineSwitch(board, section, unused, unused, unused, unused)
    plan = SwitchPlan(WeightsDigest("d"), 0, 1, 1000.0)

    def is_refused_at(now: float) -> bool:
        monkeypatch.setattr(clock, "now", lambda: now)
        refusal = switch.check_plan(plan)
        return refusal is not None and "paused" in refusal.reason

    contact = board.members.contact
    record_tick(contact, 100.0)
    assert is_refused_at(100.0)
    record_answer(contact, 100.0)
    assert not is_refused_at(100.1)
    assert is_refused_at(160.0)
    record_tick(contact, 160.0)
    assert is_refused_at(160.1)
    record_answer(contact, 160.2)
    assert not is_refused_at(160.2)
