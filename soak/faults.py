"""
Faults and planned operations that are applied to the fleet.

All of them act from outside the programs: by signals, by disturbed links, and by the
behaviour of the store and the back ends. Each one records its target and its duration.
"""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.dispatch.buffers import DEFAULT_TOTAL_BYTES

from .back_end_checks import LINK_DISTURBANCES, SILENCE
from .backends import (
    COLD_START_S,
    PIECE_COUNT,
    QUEUE_LENGTH,
    SLOTS,
    PlainServer,
)
from .engines import ModelServer
from .fleet import DOMAINS
from .lapse_faults import delay_requests, let_weights_lapse
from .ledger import (
    CONFIGURATION_LIMIT_S,
    CONTACT_RECOVERY_S,
    DRAIN_LIMIT_S,
    EVACUATION_LIMIT_S,
    STORE_RESTORE,
    FaultPeriod,
    NamedLimit,
)
from .load_checks import SHORTAGE
from .load_faults import disturb_loads, disturb_random_load, publish_version

if TYPE_CHECKING:
    from collections.abc import Callable

    from .backends import Backend
    from .fault_context import FaultContext
    from .fleet import Vm
    from .ledger import Ledger

RESTART_DELAY_S = 0.3
BACKEND_DOWN_S = 1.0
LINK_DELAY_S = 0.3
# A back end drains for this long, then up to as long again while it has runs.
BACKEND_DRAIN_S = 4.0
MAX_COPY_AGE_S = 3.0
STORE_AWAY_S = 0.3  # long enough for open watches to end
WRITES_BEFORE_RESTORE = 2  # by each back end; they are lost
MAX_WRITING_AGAIN_DELAY_S = 1.0  # below the grace time for missing back ends
CLOSURE_S = 4.0
UNFRAMED_S = 3.0
RATE_LIMIT = 4.0  # requests a second; two entries that each use it are noticed
LIMITED_S = 8.0  # until the limit counts, and a whole window of it
MAX_GROWTH_BYTES = DEFAULT_TOTAL_BYTES  # of an entry, by all responses together
SILENCE_RANGE_S = (0.7, 1.0)
MAX_WAIT_FOR_RUN_S = 1.0
# Within an evacuation: the restart of an entry, so that it serves again after the limit
# on requests, and the time between that limit and the end of the evacuation.
RESTART_IN_EVACUATION_S = 3.0
CHECKED_EVACUATION_S = 2.5
CUT_OFF_ENTRIES = 2
SHORTAGE_S = 4.0
OCCUPYING_REQUESTS = SLOTS + QUEUE_LENGTH - 2


def kill_program(context: FaultContext) -> None:
    """Kill a random program and restart it."""
    vm = context.choose_vm()
    if vm is not None:
        kill_and_restart(context, vm)


def kill_and_restart(context: FaultContext, vm: Vm) -> None:
    """Kill the program of a VM and restart it."""
    vm.stopping = True
    period = context.record_fault("kill", vm.name)
    vm.send_signal(signal.SIGKILL)
    context.fleet.wait_for_exit(vm)
    eventlet.sleep(RESTART_DELAY_S)
    context.fleet.start_vm(vm)
    period.end = time.monotonic()


def terminate_program(context: FaultContext) -> None:
    """Terminate a program, check its exit code, and restart it."""
    vm = context.choose_vm()
    if vm is None:
        return
    vm.stopping = True
    period = context.record_fault("terminate", vm.name, planned=True)
    is_starting = not vm.handles_signal(signal.SIGTERM)
    vm.send_signal(signal.SIGTERM)
    exit_code = context.fleet.wait_for_exit(vm)
    if is_starting and exit_code == -signal.SIGTERM:
        exit_code = 0  # It has no work to finish yet and may end by the signal.
    if exit_code is None or (
        exit_code
        and context.ledger.is_fault_free(vm.name, period.start, time.monotonic())
    ):
        context.ledger.record_violation(
            "stop", f"{vm.name} exited with code {exit_code}"
        )
        vm.send_signal(signal.SIGKILL)
        context.fleet.wait_for_exit(vm)
    context.fleet.start_vm(vm)
    period.end = time.monotonic()


def suspend_program(context: FaultContext) -> None:
    """Suspend a program and resume it after a random time."""
    vm = context.choose_vm()
    if vm is None:
        return
    period = context.record_fault("freeze", vm.name)
    vm.send_signal(signal.SIGSTOP)
    eventlet.sleep(context.draw_duration_s())
    vm.send_signal(signal.SIGCONT)
    period.end = time.monotonic()


def reload_settings(context: FaultContext) -> None:
    """Make a program reload its settings."""
    vm = context.choose_vm()
    # A program that is still starting would end by the signal.
    if vm is None or not vm.handles_signal(signal.SIGHUP):
        return
    period = context.record_fault("hang up", vm.name, planned=True)
    vm.send_signal(signal.SIGHUP)
    period.end = time.monotonic()


def fail_store(context: FaultContext) -> None:
    """Make the store fail or respond slowly for a random time."""
    period = context.record_fault("store down", "")
    state = context.fleet.store.state
    kind = context.random.choice(["down", "slow"])
    setattr(state, kind, getattr(state, kind) + 1)
    eventlet.sleep(context.draw_duration_s())
    setattr(state, kind, getattr(state, kind) - 1)
    period.end = time.monotonic()


def compact_store(context: FaultContext) -> None:
    """Discard the history of the store, and serve stale reads for a random time."""
    period = context.record_fault("store compacted", "")
    state = context.fleet.store.state
    state.stale_by = context.random.randint(1, 5)
    state.compacted = state.revision
    eventlet.sleep(context.draw_duration_s())
    state.stale_by = 0
    period.end = time.monotonic()


def restore_store(context: FaultContext) -> None:
    """Restore the store from a copy; what was lost is written again a little later."""
    delay_s = MAX_WRITING_AGAIN_DELAY_S * context.random.random()
    replace_store(context, delay_s)


def restore_store_and_overtake(context: FaultContext) -> None:
    """
    Restore the store, which at once reaches the revisions that it had before.

    The first of the new revisions is a new configuration, which a watch that continues
    from a revision before the restore does not return.
    """
    replace_store(context, 0.0)


def replace_store(context: FaultContext, writing_again_delay_s: float) -> None:
    """Replace the store by a copy some seconds old, after a moment of being away."""
    fleet = context.fleet
    state = fleet.store.state
    period = context.record_fault(STORE_RESTORE, "")
    copy_age_s = MAX_COPY_AGE_S * context.random.random()
    copy_revision = state.revision_at(time.monotonic() - copy_age_s)
    for _ in range(WRITES_BEFORE_RESTORE):
        fleet.write_again()
    state.down += 1
    eventlet.sleep(STORE_AWAY_S)
    lost_revision = state.revision
    state.restore(min(copy_revision, lost_revision))
    if writing_again_delay_s:
        state.down -= 1
        eventlet.sleep(writing_again_delay_s)
        fleet.write_again()
    else:
        publish_configuration(context)
        while state.revision <= lost_revision:
            fleet.write_again()
        state.down -= 1
    period.end = time.monotonic()


def disturb_link(context: FaultContext) -> None:
    """Cut a link, silence or reset its connections, or delay its data."""
    name = context.random.choice(sorted(context.fleet.links.paths))
    path = context.fleet.links.paths[name]
    kind = context.random.choice(LINK_DISTURBANCES)
    entry_name, _, to_store = name.partition(">")
    target = entry_name if to_store else context.fleet.backends[name].server_id
    period = context.record_fault(f"link {kind}", target)
    match kind:
        case "cut":
            path.cut = True
        case "there" | "back":
            path.cut_way = kind
        case "silence":
            for connection in path.connections:
                connection.silent = True
        case "reset":
            path.reset()
        case "delay":
            path.delay_s = LINK_DELAY_S
    eventlet.sleep(context.draw_duration_s())
    path.cut, path.cut_way, path.delay_s = False, "", 0.0
    period.end = time.monotonic()


def crash_backend(context: FaultContext) -> None:
    """Crash a back end and restart it with a new server ID."""
    fleet = context.fleet
    name = context.random.choice(sorted(fleet.listed_server_ids))
    backend = fleet.backends[name]
    if not backend.down:
        crash_and_restart(context, name)


def crash_and_restart(context: FaultContext, name: str) -> None:
    """Crash a back end and restart it after a while."""
    fleet = context.fleet
    backend = fleet.backends[name]
    period = context.record_fault("back end crash", backend.server_id)
    backend.crash()
    eventlet.sleep(BACKEND_DOWN_S)
    if name in fleet.listed_server_ids:
        fleet.remove_backend(name)
    backend.restart()
    fleet.list_backend(name)
    period.end = time.monotonic()


def start_cold_server(context: FaultContext) -> None:
    """Restart a plain server while the others refuse requests, so that it is wanted."""
    fleet = context.fleet
    name = context.choose_backend(PlainServer)
    backend = fleet.backends[name]
    if backend.down:
        return
    closed_until = time.monotonic() + BACKEND_DOWN_S + COLD_START_S
    closures = []
    for other in fleet.backends.values():
        if isinstance(other, PlainServer) and other is not backend and not other.down:
            closures.append(context.record_fault("back end closed", other.server_id))
            other.closed_until = closed_until
    crash_and_restart(context, name)
    eventlet.sleep(COLD_START_S)
    for closure in closures:
        closure.end = time.monotonic()


def drain_backend(context: FaultContext) -> None:
    """Drain a back end, then replace it with a new incarnation."""
    fleet = context.fleet
    name = context.random.choice(sorted(fleet.listed_server_ids))
    backend = fleet.backends[name]
    server_id = backend.server_id
    if backend.down or server_id in context.ledger.draining_since:
        return
    period = context.record_fault("back end leaves", server_id, planned=True)
    backend.leaving = True
    announce_draining(context, name)
    eventlet.sleep(BACKEND_DRAIN_S)
    finish_draining(context, name, server_id, period)


def leave_in_outage(context: FaultContext) -> None:
    """Make a back end leave that can only say so in its answers."""
    fleet = context.fleet
    name = context.choose_backend(PlainServer)
    backend = fleet.backends[name]
    server_id = backend.server_id
    if backend.down or backend.leaving:
        return
    outage = context.record_fault("store down", "")
    period = context.record_fault("back end leaves", server_id, planned=True)
    fleet.store.state.down += 1
    backend.leaving = True
    eventlet.sleep(DRAIN_LIMIT_S + 2.0)
    fleet.store.state.down -= 1
    outage.end = time.monotonic()
    if backend.server_id == server_id:
        announce_draining(context, name)
    finish_draining(context, name, server_id, period)


def announce_draining(context: FaultContext, name: str) -> None:
    """Write to the store that a back end drains."""
    backend = context.fleet.backends[name]
    backend.listed_as_draining = True
    context.fleet.list_backend(name)
    context.ledger.draining_since[backend.server_id] = time.monotonic()


def finish_draining(
    context: FaultContext, name: str, server_id: str, period: FaultPeriod
) -> None:
    """Replace a drained back end by a new incarnation once it has no runs left."""
    fleet = context.fleet
    backend = fleet.backends[name]
    deadline = time.monotonic() + BACKEND_DRAIN_S
    while backend.running and time.monotonic() < deadline:
        eventlet.sleep(0.05)
    period.end = time.monotonic()
    if backend.server_id != server_id:
        return  # It crashed and restarted meanwhile.
    fleet.remove_backend(name)
    backend.restart()
    fleet.list_backend(name)


def close_backend(context: FaultContext) -> None:
    """Make a back end refuse all requests for some time and ask for a pause."""
    backend = context.fleet.backends[context.choose_backend(PlainServer)]
    if backend.down:
        return
    period = context.record_fault("back end closed", backend.server_id)
    backend.closed_until = time.monotonic() + CLOSURE_S
    eventlet.sleep(CLOSURE_S)
    period.end = time.monotonic()


def limit_back_ends(context: FaultContext) -> None:
    """Make all plain servers name a rate limit for some time."""
    limited = [
        (backend, backend.server_id)
        for backend in context.fleet.backends.values()
        if isinstance(backend, PlainServer)
        and not backend.down
        and backend.rate_limit is None
    ]
    named_at = time.monotonic()
    periods = []
    for backend, server_id in limited:
        periods.append(
            context.record_fault("back end limited", server_id, planned=True)
        )
        backend.rate_limit = RATE_LIMIT
    eventlet.sleep(LIMITED_S)
    for (backend, server_id), period in zip(limited, periods, strict=True):
        period.end = time.monotonic()
        if backend.server_id == server_id:
            backend.rate_limit = None
            context.ledger.limits.append(
                NamedLimit(server_id, RATE_LIMIT, named_at, period.end)
            )


def unframe_back_ends(context: FaultContext) -> None:
    """Make all back ends answer without a length; engines break some streams off."""
    periods = []
    until = time.monotonic() + UNFRAMED_S
    for backend in context.fleet.backends.values():
        backend.unframed_until = until
        if isinstance(backend, ModelServer):
            periods.append(context.record_fault("streams broken", backend.server_id))
    peaks = [
        (vm, vm.incarnation, vm.read_peak_memory()) for vm in context.fleet.entries()
    ]
    eventlet.sleep(UNFRAMED_S)
    for period in periods:
        period.end = time.monotonic()
    for vm, incarnation, peak_bytes in peaks:
        if vm.incarnation == incarnation:
            check_growth(context.ledger, vm.name, vm.read_peak_memory() - peak_bytes)


def check_growth(ledger: Ledger, entry: str, growth_bytes: int) -> None:
    """Check by how much the memory of an entry grew that read responses without end."""
    counter = "largest growth of an entry in MiB"
    ledger.counts[counter] = max(ledger.counts[counter], growth_bytes >> 20)
    if growth_bytes > MAX_GROWTH_BYTES:
        ledger.record_violation("memory", f"{entry}: {growth_bytes} bytes more")


def silence_engine(context: FaultContext) -> None:
    """Make an engine send nothing for about a second and go on."""
    silence_backend(context, ModelServer)


def occupy_engines(context: FaultContext) -> None:
    """Fill the engines but for a few requests with those of others for some time."""
    engines = [
        (engine, engine.server_id, context.record_fault(SHORTAGE, engine.server_id))
        for engine in context.fleet.backends.values()
        if isinstance(engine, ModelServer) and not engine.occupied
    ]
    for engine, _, _ in engines:
        engine.occupied = OCCUPYING_REQUESTS
    eventlet.sleep(SHORTAGE_S)
    for engine, server_id, period in engines:
        period.end = time.monotonic()
        if engine.server_id == server_id:
            engine.occupied = 0


def silence_plain_server(context: FaultContext) -> None:
    """Make a plain server send nothing for about a second and go on."""
    silence_backend(context, PlainServer)


def silence_backend(context: FaultContext, server_class: type[Backend]) -> None:
    """Wait until a back end has runs, silence it, and let it go on."""
    backend = context.fleet.backends[context.choose_backend(server_class)]
    deadline = time.monotonic() + MAX_WAIT_FOR_RUN_S
    while not backend.running and time.monotonic() < deadline:
        eventlet.sleep(0.01)
    if backend.down:
        return
    duration_s = context.random.uniform(*SILENCE_RANGE_S)
    period = context.record_fault(SILENCE, backend.server_id)
    backend.silent_until = period.start + duration_s
    eventlet.sleep(duration_s)
    period.end = time.monotonic()


def evacuate_domain(context: FaultContext) -> None:
    """
    Evacuate a failure domain while some entries cannot reach the store.

    One of them is restarted before the limit, and learns of the evacuation from peers.
    """
    fleet = context.fleet
    domain = context.random.choice(DOMAINS)
    cut_off = context.random.sample(fleet.entries(), CUT_OFF_ENTRIES)
    wait_until_store_accepts(context)
    if domain in fleet.evacuations:
        return
    period = context.record_fault("evacuation", f"domain {domain}", planned=True)
    cuts = [context.record_fault("link cut", vm.name) for vm in cut_off]
    paths = [fleet.links.paths[f"{vm.name}>store"] for vm in cut_off]
    for path in paths:
        path.cut = True
    evacuation = fleet.evacuate(domain)
    eventlet.sleep(RESTART_IN_EVACUATION_S)
    if not cut_off[0].stopping:
        kill_and_restart(context, cut_off[0])
    end = evacuation.accepted_at + EVACUATION_LIMIT_S + CHECKED_EVACUATION_S
    eventlet.sleep(max(0.0, end - time.monotonic()))
    for path, cut in zip(paths, cuts, strict=True):
        path.cut, cut.end = False, time.monotonic()
    wait_until_store_accepts(context)
    fleet.take_back(domain)
    period.end = time.monotonic()


def wait_until_store_accepts(context: FaultContext) -> None:
    """Wait until the store accepts writes."""
    while context.fleet.store.state.down:
        eventlet.sleep(0.02)


def publish_configuration(context: FaultContext) -> None:
    """Publish a new configuration."""
    period = context.record_fault("configuration", "", planned=True)
    context.fleet.publish_configuration()
    context.prober.published_at = time.monotonic()
    period.end = time.monotonic()


def move_home(context: FaultContext) -> None:
    """Publish a configuration with another home."""
    fleet = context.fleet
    fleet.home = next(each for each in DOMAINS if each != fleet.home)
    publish_configuration(context)


def corrupt_piece(context: FaultContext) -> None:
    """Corrupt a staged piece of a random engine."""
    engines = [
        backend
        for backend in context.fleet.backends.values()
        if isinstance(backend, ModelServer)
    ]
    engine = context.random.choice(engines)
    period = context.record_fault("rot", engine.server_id)
    engine.area.corrupt(context.random.randrange(PIECE_COUNT))
    period.end = time.monotonic()


FAULT_FREQUENCIES: dict[Callable[[FaultContext], None], float] = {
    kill_program: 2.0,
    terminate_program: 1.5,
    suspend_program: 1.5,
    reload_settings: 1.0,
    fail_store: 1.0,
    compact_store: 1.0,
    restore_store: 1.0,
    restore_store_and_overtake: 0.5,
    disturb_link: 3.0,
    crash_backend: 2.0,
    drain_backend: 1.5,
    leave_in_outage: 0.3,
    limit_back_ends: 1,
    close_backend: 1.0,
    silence_engine: 1.0,
    silence_plain_server: 0.5,
    unframe_back_ends: 1.0,
    publish_configuration: 2.0,
    move_home: 0.5,
    start_cold_server: 0.5,
    occupy_engines: 0.5,
    publish_version: 0.7,
    corrupt_piece: 1.0,
}
# These have a sequence of their own, so that the others are drawn for a seed as before.
LOAD_FAULT_FREQUENCIES: dict[Callable[[FaultContext], None], float] = {
    disturb_random_load: 1.0
}
PLANNED_FREQUENCIES: dict[Callable[[FaultContext], None], float] = {
    fault: FAULT_FREQUENCIES[fault]
    for fault in (
        terminate_program,
        reload_settings,
        publish_configuration,
        move_home,
        publish_version,
        drain_backend,
    )
}


def wait_until_in_touch(context: FaultContext) -> None:
    """Wait until all entries must use the configuration published in a fault."""
    eventlet.sleep(CONTACT_RECOVERY_S + CONFIGURATION_LIMIT_S + 1.0)


# These occur in each soak, in this order and before others overlap with them, so that
# what they show does not depend on the seed.
INITIAL_SEQUENCE = (
    limit_back_ends,
    move_home,
    start_cold_server,
    occupy_engines,
    silence_engine,
    unframe_back_ends,
    close_backend,
    silence_engine,
    restore_store_and_overtake,
    wait_until_in_touch,
    restore_store,
    silence_engine,
    leave_in_outage,
    silence_plain_server,
    evacuate_domain,
    disturb_loads,
    let_weights_lapse,
    delay_requests,
)
