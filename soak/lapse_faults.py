"""Late processes, updates, engines and requests at the time when weights lapse."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

import eventlet

from .callers import Caller
from .engines import ModelServer
from .entry_hooks import (
    DELAY_SIGNAL,
    DELAYED_FOR_S,
    STALL_S,
    STALL_SIGNAL,
    UPDATE_DELAY_S,
)
from .ledger import WEIGHTS_WITHIN_S
from .load_faults import publish_version

if TYPE_CHECKING:
    from .fault_context import FaultContext
    from .fleet import Vm

# Entries watch the store again within this time of a change. An answer only proves what
# was published when it was asked for, so there are several.
WATCH_AGAIN_S = 0.06
PROOF_COUNT = 4
# The queues stop while entries still send requests to old weights, 1 to 2 s before they
# move again, just after the bound.
QUEUES_STOP_S = WEIGHTS_WITHIN_S - 2.0
QUEUES_MOVE_S = WEIGHTS_WITHIN_S + 0.05
# After the first events of requests that then begin too late.
ORDERS_HELD_S = QUEUES_MOVE_S + 0.2
# Before entries cancel requests, if their last proof is at most 0.4 s older than the
# version. It ends after the queues move.
STALL_BEGINS_S = WEIGHTS_WITHIN_S - 0.7
STREAM_COUNT = 8  # sent to the stalled entry
STREAM_INTERVAL_S = 0.07
MAX_WAIT_FOR_VERSION_S = 12.0
# Requests that are sent in this time arrive around the lapse.
LINKS_SLOW_S = WEIGHTS_WITHIN_S - 3.0
LINKS_FAST_S = WEIGHTS_WITHIN_S + 1.0
# Of the four engines. Entries send the last requests 1.3 to 1.5 s before the lapse, so
# that a delay of 2 s is needed for one that begins too late.
REQUEST_DELAYS_S = (1.0, 2.0, 2.5, 3.0)
LATE_STREAM_COUNT = 32
LATE_STREAM_INTERVAL_S = 0.05


def let_weights_lapse(context: FaultContext) -> None:
    """
    Publish a version that entries learn of late and that engines cannot load in time.

    Before the older one lapses, the queues of the engines stop. The event loop of an
    entry stalls while it lapses. The engines accept no orders until then, so that only
    the time limits of requests keep the bound.
    """
    fleet = context.fleet
    engines = [
        each for each in fleet.backends.values() if isinstance(each, ModelServer)
    ]
    wait_for_version(context, engines)
    entry = context.random.choice(fleet.entries())
    fleet.origin.down_until = time.monotonic() + WEIGHTS_WITHIN_S + 1.0
    published_at = publish_late(context)
    sleep_until(published_at + QUEUES_STOP_S)
    periods = []
    for engine in engines:
        engine.queue_held_until = published_at + QUEUES_MOVE_S
        engine.orders_held_until = published_at + ORDERS_HELD_S
        periods.append(context.record_fault("engine slow", engine.server_id))
    tasks = []
    for _ in range(STREAM_COUNT):
        seed = context.random.random()
        tasks.append(eventlet.spawn(send_stream, context, entry, Random(seed)))
        eventlet.sleep(STREAM_INTERVAL_S)
    sleep_until(published_at + STALL_BEGINS_S)
    periods.append(context.record_fault("event loop stalled", entry.name))
    entry.send_signal(STALL_SIGNAL)
    eventlet.sleep(STALL_S)
    for period in periods:
        period.end = time.monotonic()
    for task in tasks:
        task.wait()
    wait_for_version(context, engines)


def delay_requests(context: FaultContext) -> None:
    """
    Publish a version, and delay requests to all engines while the older one lapses.

    The links of the VMs delay them, which an agent does not need to reach its engine.
    """
    fleet, random = context.fleet, context.random
    engines = [
        each for each in fleet.backends.values() if isinstance(each, ModelServer)
    ]
    wait_for_version(context, engines)
    fleet.origin.down_until = time.monotonic() + LINKS_FAST_S + 1.0
    renew_proofs(context)
    publish_version(context)
    published_at = time.monotonic()
    sleep_until(published_at + LINKS_SLOW_S)
    periods = []
    delays_s = random.sample(REQUEST_DELAYS_S, len(engines))
    for engine, delay_s in zip(engines, delays_s, strict=True):
        engine.request_delay_s = delay_s
        periods.append(context.record_fault("requests late", engine.server_id))
    tasks = []
    for _ in range(LATE_STREAM_COUNT):
        entry, seed = random.choice(fleet.entries()), random.random()
        tasks.append(eventlet.spawn(send_stream, context, entry, Random(seed)))
        eventlet.sleep(LATE_STREAM_INTERVAL_S)
    sleep_until(published_at + LINKS_FAST_S)
    for engine, period in zip(engines, periods, strict=True):
        engine.request_delay_s, period.end = 0.0, time.monotonic()
    for task in tasks:
        task.wait()
    wait_for_version(context, engines)


def publish_late(context: FaultContext) -> float:
    """Publish a version, of which all entries learn late; return when it was."""
    fleet = context.fleet
    renew_proofs(context)
    begun_at = time.monotonic()
    entries = fleet.entries()
    paths = [fleet.links.paths[f"{vm.name}>store"] for vm in entries]
    periods = [context.record_fault("updates late", vm.name) for vm in entries]
    for vm, path in zip(entries, paths, strict=True):
        path.delay_s = UPDATE_DELAY_S
        vm.send_signal(DELAY_SIGNAL)
    publish_version(context)
    published_at = time.monotonic()
    eventlet.sleep(UPDATE_DELAY_S)
    for path in paths:
        path.delay_s = 0.0
    sleep_until(begun_at + DELAYED_FOR_S + UPDATE_DELAY_S)
    for period in periods:
        period.end = time.monotonic()
    return published_at


def renew_proofs(context: FaultContext) -> None:
    """
    Have the store answer all entries, so that their proofs are recent.

    All watches are new ones then, so that they do not time out.
    """
    fleet = context.fleet
    configuration = fleet.build_configuration(fleet.configuration_revision)
    for _ in range(PROOF_COUNT):
        fleet.store.state.write("op/config", configuration)
        eventlet.sleep(WATCH_AGAIN_S)


def send_stream(context: FaultContext, entry: Vm, random: Random) -> None:
    """Send a stream to an entry, as other callers do."""
    caller = Caller(context.fleet, random)
    connection = caller.connect(entry)
    if connection is not None:
        caller.send_request(connection, entry, "stream")
    caller.close()


def wait_for_version(context: FaultContext, engines: list[ModelServer]) -> None:
    """Wait until all engines serve the newest version, for a limited time."""
    deadline = time.monotonic() + MAX_WAIT_FOR_VERSION_S
    while time.monotonic() < deadline:
        if all(each.version == context.fleet.weights_version for each in engines):
            return
        eventlet.sleep(0.05)
    context.ledger.counts["versions not loaded in time"] += 1


def sleep_until(at: float) -> None:
    """Sleep until a time."""
    eventlet.sleep(max(0.0, at - time.monotonic()))
