"""The faults of loads begin at their moment and end for all that they stopped."""

from __future__ import annotations

import json
import signal
import time
from random import Random
from typing import TYPE_CHECKING, Any

import eventlet
import pytest

from bench.standins.base import Request
from soak import load_faults
from soak.backends import PIECE_COUNT, CrashedError, make_piece
from soak.callers import Prober
from soak.engines import CORRUPTION_GRACE_S, ModelServer, Moment
from soak.fault_context import FaultContext
from soak.fleet import DOMAINS, ENGINES_PER_DOMAIN, Fleet, Vm
from soak.ledger import Ledger
from soak.load_faults import CORRUPTED_PIECES, LOAD_FAULTS, ROUNDS, LoadFault
from soak.run import Soak

if TYPE_CHECKING:
    from pathlib import Path

DELAY_S = 0.1


class RecordingVm(Vm):
    """A VM that records the signals that it is sent."""

    def __init__(self) -> None:
        super().__init__("agent-a-1", "agent", {})
        self.signals: list[int] = []

    def send_signal(self, signal_number: int) -> None:
        self.signals.append(signal_number)


class IdleFleet(Fleet):
    """A fleet that starts no processes."""

    def start_vm(self, vm: Vm) -> None:
        vm.incarnation, vm.stopping = vm.incarnation + 1, False


@pytest.fixture
def agent() -> RecordingVm:
    return RecordingVm()


@pytest.fixture
def engine() -> ModelServer:
    server = ModelServer(Ledger(), ("127.0.0.1", 0), "a")
    server.agent = "agent-a-1"
    return server


@pytest.fixture
def context(engine: ModelServer, agent: RecordingVm, tmp_path: Path) -> FaultContext:
    fleet = IdleFleet(engine.ledger, directory=tmp_path, weights_version=2)
    fleet.backends["engine-a-1"], fleet.vms["agent-a-1"] = engine, agent
    return FaultContext(fleet, engine.ledger, Prober(fleet), Random(1))


def call(engine: ModelServer, path: str, num: int | None = None, **fields: Any) -> None:
    body = json.dumps(fields).encode()
    if path.startswith("/stage-put") and num is not None:
        body = make_piece(2, num)
    query = {} if num is None else {"num": str(num)}
    list(engine.answer(Request("POST", path, query, {}, body)).body)


def fill(engine: ModelServer) -> None:
    """Stage version 2, read it back and order it, as an agent does."""
    for index in range(PIECE_COUNT):
        call(engine, "/stage-put/m", index)
    call(engine, "/stage-get/m")
    for index in range(PIECE_COUNT):
        call(engine, "/stage-get/m", index)
    try:
        call(engine, "/order", op="start", version=2)
    except CrashedError:
        assert engine.order_count == 1  # the answer is lost


@pytest.mark.parametrize("fault", LOAD_FAULTS, ids=lambda fault: fault.kind)
def test_a_fault_begins_at_its_moment_and_ends(
    context: FaultContext, engine: ModelServer, agent: RecordingVm, fault: LoadFault
) -> None:
    """A process that is not continued would make all that follows fail."""
    task = eventlet.spawn(
        load_faults.disturb_load, context, fault, "engine-a-1", DELAY_S
    )
    eventlet.sleep(0)
    assert agent.signals == []
    fill(engine)
    task.wait()
    expected = [signal.SIGSTOP, signal.SIGCONT] if fault.stops_agent else []
    assert agent.signals == ([signal.SIGKILL] if fault.kills_agent else expected)
    assert agent.incarnation == fault.kills_agent
    assert not agent.stopping
    assert len(engine.area.corrupted_at) == CORRUPTED_PIECES
    assert engine.order_count == 1
    assert engine.hooks == {}
    assert context.fleet.weights_version == 2 + fault.publishes
    assert {period.target for period in engine.ledger.fault_periods} >= {
        engine.server_id,
        agent.name,
    }
    assert all(period.end < float("inf") for period in engine.ledger.fault_periods)


def test_a_fault_whose_load_does_not_come_leaves_nothing_behind(
    context: FaultContext,
    engine: ModelServer,
    agent: RecordingVm,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A later load must not be disturbed by a fault that nobody ends."""
    monkeypatch.setattr(load_faults, "MAX_WAIT_FOR_LOAD_S", 0.02)
    load_faults.disturb_load(context, LOAD_FAULTS[0], "engine-a-1", DELAY_S)
    fill(engine)
    assert agent.signals == []
    assert engine.ledger.fault_periods == []
    assert engine.ledger.counts["load faults not met"] == 1


@pytest.mark.parametrize("corrupted_for_s", [1.0, 10.0])
def test_an_engine_recovers_by_a_good_load_of_the_newest_version(
    context: FaultContext, engine: ModelServer, corrupted_for_s: float
) -> None:
    """The newest version counts for nothing if it was loaded from corrupt pieces."""
    soak = Soak(1, 0.0, ledger=engine.ledger)
    del context.fleet.vms["agent-a-1"]
    soak.check_recovery(context.fleet, 0.0)
    assert found_in_recovery(engine) == ["engine-a-1 serves weights version 1"]
    corrupted_at = time.monotonic() - corrupted_for_s
    engine.hooks[Moment.ORDERED] = lambda: engine.area.corrupted_at.update(
        {3: corrupted_at}
    )
    fill(engine)
    while engine.loading is not None:
        eventlet.sleep(0.01)
    engine.ledger.violations.clear()
    soak.check_recovery(context.fleet, 0.0)
    is_bad = corrupted_for_s > CORRUPTION_GRACE_S
    assert found_in_recovery(engine) == ["engine-a-1 serves bad weights"] * is_bad


def found_in_recovery(engine: ModelServer) -> list[str]:
    """Return what was found of engines; no request was sent, so none was served."""
    return [each.details for each in engine.ledger.violations[1:]]


def test_each_engine_has_one_fault_of_each_round() -> None:
    engine_count = len(DOMAINS) * ENGINES_PER_DOMAIN
    assert [len(faults) for faults in ROUNDS] == [engine_count] * len(ROUNDS)
