"""
Faults and planned operations that are applied to the fleet.

All of them act from outside the programs: by signals, by disturbed links, and by the
behaviour of the store and the back ends. Each one records its target and its duration.
"""

from __future__ import annotations

import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eventlet

from .backends import PIECE_COUNT, ModelServer
from .ledger import FaultPeriod

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from .callers import Prober
    from .fleet import Fleet, Vm
    from .ledger import Ledger

MAX_FAULT_DURATION_S = 2.5
RESTART_DELAY_S = 0.3
BACKEND_DOWN_S = 1.0
LINK_DELAY_S = 0.3
# A back end drains for this long, then up to as long again while it has runs.
BACKEND_DRAIN_S = 4.0


@dataclass(slots=True)
class FaultContext:
    """The fleet and the seeded random generator that faults use."""

    fleet: Fleet
    ledger: Ledger
    prober: Prober
    random: Random

    def draw_duration_s(self) -> float:
        """Return a random fault duration in seconds."""
        return 0.2 + (MAX_FAULT_DURATION_S - 0.2) * self.random.random()

    def record_fault(
        self, kind: str, target: str, planned: bool = False
    ) -> FaultPeriod:
        """Record a fault that begins now; the caller sets the end of the period."""
        period = FaultPeriod(kind, target, time.monotonic(), planned=planned)
        self.ledger.fault_periods.append(period)
        self.ledger.counts[f"fault {kind}"] += 1
        return period

    def choose_vm(self, role: str = "") -> Vm | None:
        """Return a random VM that is not being stopped, or None if there is none."""
        candidates = [
            vm
            for vm in self.fleet.vms.values()
            if role in ("", vm.role) and not vm.stopping
        ]
        return self.random.choice(candidates) if candidates else None


def kill_program(context: FaultContext) -> None:
    """Kill a program and restart it."""
    vm = context.choose_vm()
    if vm is None:
        return
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
    setattr(state, kind, True)
    eventlet.sleep(context.draw_duration_s())
    setattr(state, kind, False)
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


def disturb_link(context: FaultContext) -> None:
    """Cut a link, silence or reset its connections, or delay its data."""
    name = context.random.choice(sorted(context.fleet.links.paths))
    path = context.fleet.links.paths[name]
    kind = context.random.choice(["cut", "there", "back", "silence", "reset", "delay"])
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
    if backend.down:
        return
    period = context.record_fault("back end crash", backend.server_id)
    backend.crash()
    eventlet.sleep(BACKEND_DOWN_S)
    if name in fleet.listed_server_ids:
        fleet.remove_backend(name)
    backend.restart()
    fleet.list_backend(name)
    period.end = time.monotonic()


def drain_backend(context: FaultContext) -> None:
    """Drain a back end, then replace it with a new incarnation."""
    fleet = context.fleet
    name = context.random.choice(sorted(fleet.listed_server_ids))
    backend = fleet.backends[name]
    server_id = backend.server_id
    if backend.down or server_id in context.ledger.draining_since:
        return
    period = context.record_fault("back end leaves", server_id, planned=True)
    fleet.list_backend(name, "draining")
    context.ledger.draining_since[server_id] = time.monotonic()
    eventlet.sleep(BACKEND_DRAIN_S)
    deadline = time.monotonic() + BACKEND_DRAIN_S
    while backend.running and time.monotonic() < deadline:
        eventlet.sleep(0.05)
    period.end = time.monotonic()
    if backend.server_id != server_id:
        return  # It crashed and restarted meanwhile.
    fleet.remove_backend(name)
    backend.restart()
    fleet.list_backend(name)


def publish_configuration(context: FaultContext) -> None:
    """Publish a new configuration."""
    period = context.record_fault("configuration", "", planned=True)
    context.fleet.publish_configuration()
    context.prober.published_at = time.monotonic()
    period.end = time.monotonic()


def publish_weights_version(context: FaultContext) -> None:
    """Publish the next version of the weights."""
    period = context.record_fault("version", "", planned=True)
    context.fleet.publish_weights_version(context.fleet.weights_version + 1)
    period.end = time.monotonic()


def corrupt_piece(context: FaultContext) -> None:
    """Corrupt a staged piece of a random engine."""
    engines = [
        backend
        for backend in context.fleet.backends.values()
        if isinstance(backend, ModelServer)
    ]
    engine = context.random.choice(engines)
    period = context.record_fault("rot", engine.server_id)
    engine.corrupt_piece(context.random.randrange(PIECE_COUNT))
    period.end = time.monotonic()


FAULT_FREQUENCIES: dict[Callable[[FaultContext], None], float] = {
    kill_program: 2.0,
    terminate_program: 1.5,
    suspend_program: 1.5,
    reload_settings: 1.0,
    fail_store: 1.0,
    compact_store: 1.0,
    disturb_link: 3.0,
    crash_backend: 2.0,
    drain_backend: 1.5,
    publish_configuration: 2.0,
    publish_weights_version: 0.7,
    corrupt_piece: 1.0,
}
PLANNED_OPERATIONS = (
    terminate_program,
    reload_settings,
    publish_configuration,
    publish_weights_version,
    drain_backend,
)
