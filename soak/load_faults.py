"""
Faults between the check of an engine's staged pieces and the order to load them.

Pieces become corrupt, and the agent, the engine or the order are delayed for longer
than a piece may have been corrupt when it is loaded.
"""

from __future__ import annotations

import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from .backends import PIECE_COUNT
from .engines import CORRUPTION_GRACE_S, ModelServer, Moment

if TYPE_CHECKING:
    from .fault_context import FaultContext
    from .ledger import FaultPeriod

CORRUPTED_PIECES = 3
# An order is late if the pieces that became corrupt before it make the load bad.
DELAY_S = CORRUPTION_GRACE_S + 0.5
# The agent continues after the engine, so that it finds the order accepted.
CONTINUES_AFTER_ENGINE_S = 0.1
RESTART_DELAY_S = 0.3
# The engines of a group close one after the other within 8 s.
MAX_WAIT_FOR_LOAD_S = 10.0
VERSION_INTERVAL_S = 1.2
USE_S = 2.0  # for a load and some requests


@dataclass(frozen=True, slots=True)
class LoadFault:
    """
    A fault that begins at a moment of a fill, when pieces are corrupted.

    The first two fields name it and its moment. Then, the agent is stopped or killed
    and restarted, the order is held, the engine is paused, the answer to the order is
    lost, and a newer version is published.
    """

    kind: str
    moment: Moment
    stops_agent: bool = False
    kills_agent: bool = False
    holds_order: bool = False
    pauses_engine: bool = False
    loses_answer: bool = False
    publishes: bool = False


CHECK_OUTDATED = LoadFault("check outdated", Moment.CHECKED, stops_agent=True)
ENGINE_PAUSED = LoadFault("engine paused", Moment.CHECKED, pauses_engine=True)
AGENT_STOPPED = LoadFault(
    "order held, agent stopped", Moment.ORDERED, holds_order=True, stops_agent=True
)
ORDER_HELD = LoadFault("order held", Moment.ORDERED, holds_order=True, publishes=True)
AGENT_KILLED = LoadFault(
    "order held, agent killed",
    Moment.ORDERED,
    holds_order=True,
    kills_agent=True,
    publishes=True,
)
ANSWER_LOST = LoadFault(
    "answer lost", Moment.ORDERED, loses_answer=True, publishes=True
)
LATE_ANSWER_LOST = LoadFault(
    "check outdated, answer lost", Moment.CHECKED, stops_agent=True, loses_answer=True
)
# Each engine has one fault of a round. No fault of the first round publishes a version,
# so that a bad load is not replaced before it is used.
ROUNDS = (
    (CHECK_OUTDATED, ENGINE_PAUSED, AGENT_STOPPED, LATE_ANSWER_LOST),
    (ORDER_HELD, AGENT_KILLED, ANSWER_LOST, AGENT_STOPPED),
)
LOAD_FAULTS = tuple(dict.fromkeys(ROUNDS[0] + ROUNDS[1]))


def disturb_loads(context: FaultContext) -> None:
    """Disturb the loads of all engines, of one version, then of several."""
    names = find_engines(context)
    for faults, publish in zip(
        ROUNDS, (publish_version, publish_versions), strict=True
    ):
        tasks = [
            eventlet.spawn(disturb_load, context, fault, name)
            for fault, name in zip(faults, names, strict=True)
        ]
        publish(context)
        for task in tasks:
            task.wait()
        eventlet.sleep(USE_S)


def disturb_random_load(context: FaultContext) -> None:
    """Publish one version or several, and disturb the load of one engine."""
    fault = context.random.choice(LOAD_FAULTS)
    name = context.random.choice(find_engines(context))
    publish = context.random.choice((publish_version, publish_versions))
    delay_s = context.random.uniform(CORRUPTION_GRACE_S / 2, DELAY_S + 1.0)
    task = eventlet.spawn(disturb_load, context, fault, name, delay_s)
    publish(context)
    task.wait()


def find_engines(context: FaultContext) -> list[str]:
    """Return the names of the engines."""
    backends = context.fleet.backends
    return [name for name in backends if isinstance(backends[name], ModelServer)]


def publish_version(context: FaultContext) -> None:
    """Publish the next version of the weights."""
    period = context.record_fault("version", "", planned=True)
    context.fleet.publish_weights_version(context.fleet.weights_version + 1)
    period.end = time.monotonic()


def publish_versions(context: FaultContext) -> None:
    """Publish three versions of the weights in quick succession."""
    for _ in range(2):
        publish_version(context)
        eventlet.sleep(VERSION_INTERVAL_S)
    publish_version(context)


def disturb_load(
    context: FaultContext, fault: LoadFault, name: str, delay_s: float = DELAY_S
) -> None:
    """Wait until an engine is about to load another version, and disturb that."""
    fleet = context.fleet
    engine = fleet.backends[name]
    assert isinstance(engine, ModelServer)
    agent = fleet.vms[engine.agent]
    has_begun = Event()
    engine.hooks[fault.moment] = lambda: has_begun.send(
        begin_fault(context, fault, engine, time.monotonic() + delay_s)
    )
    with eventlet.Timeout(MAX_WAIT_FOR_LOAD_S, False):
        has_begun.wait()
    if not has_begun.ready():
        del engine.hooks[fault.moment]
        context.ledger.counts["load faults not met"] += 1
        return
    periods = has_begun.wait()
    if fault.publishes:
        publish_version(context)
    if any(period.kind == "kill" for period in periods):
        fleet.wait_for_exit(agent)
        eventlet.sleep(RESTART_DELAY_S)
        fleet.start_vm(agent)
    remaining_s = periods[0].start + delay_s - time.monotonic()
    eventlet.sleep(max(0.0, remaining_s) + CONTINUES_AFTER_ENGINE_S)
    if fault.stops_agent:
        agent.send_signal(signal.SIGCONT)
    for period in periods:
        period.end = time.monotonic()


def begin_fault(
    context: FaultContext, fault: LoadFault, engine: ModelServer, until: float
) -> list[FaultPeriod]:
    """Begin a fault without giving way to others; return its periods."""
    agent = context.fleet.vms[engine.agent]
    agent_kind = fault.kind
    if fault.stops_agent:
        agent.send_signal(signal.SIGSTOP)
    if fault.kills_agent and not agent.stopping:
        agent_kind, agent.stopping = "kill", True
        agent.send_signal(signal.SIGKILL)
    if fault.holds_order:
        engine.orders_held_until = until
    if fault.pauses_engine:
        engine.silent_until = until
    engine.loses_answer = fault.loses_answer
    for index in context.random.sample(range(PIECE_COUNT), CORRUPTED_PIECES):
        engine.area.corrupt(index)
    return [
        context.record_fault(fault.kind, engine.server_id),
        context.record_fault(agent_kind, agent.name),
    ]
