"""
Faults and planned work, each a function of the fleet, a seeded draw and a ledger.

All of them come from outside of the programs: signals, links, what the store and the
back ends do. Each one notes whom it hits and from when to when.
"""

from __future__ import annotations

import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eventlet

from .backends import PIECES, ModelServer
from .ledger import Span

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from .callers import Prober
    from .fleet import Fleet, Vm
    from .ledger import Ledger

LONGEST_S = 2.5
RESTART_S = 0.3
STARTING_S = 2.0  # the interpreter and imports take some 0.5 s, twice that when busy
BACK_END_AWAY_S = 1.0
DELAY_S = 0.3
AFTER_LEAVING_S = 4.0  # from the listing as leaving to the end of a back end


@dataclass(slots=True)
class Scene:
    """What faults act on."""

    fleet: Fleet
    ledger: Ledger
    prober: Prober
    random: Random

    def lasting_s(self) -> float:
        """Return how long a fault lasts."""
        return 0.2 + (LONGEST_S - 0.2) * self.random.random()

    def note(self, kind: str, target: str, planned: bool = False) -> Span:
        """Note a fault that begins now."""
        span = Span(kind, target, time.monotonic(), planned=planned)
        self.ledger.spans.append(span)
        self.ledger.counts[f"fault {kind}"] += 1
        return span

    def vm(self, role: str = "") -> Vm | None:
        """Return a VM whose program runs and isn't being stopped."""
        found = [
            vm
            for vm in self.fleet.vms.values()
            if role in ("", vm.role) and not vm.stopping
        ]
        return self.random.choice(found) if found else None


def kill(scene: Scene) -> None:
    """Kill a program and start it again."""
    vm = scene.vm()
    if vm is None:
        return
    vm.stopping = True
    span = scene.note("kill", vm.name)
    vm.signal(signal.SIGKILL)
    scene.fleet.wait_end(vm)
    eventlet.sleep(RESTART_S)
    scene.fleet.start_vm(vm)
    span.end = time.monotonic()


def terminate(scene: Scene) -> None:
    """Stop a program as planned, and start it again once it has ended."""
    vm = scene.vm()
    if vm is None:
        return
    vm.stopping = True
    span = scene.note("terminate", vm.name, planned=True)
    vm.signal(signal.SIGTERM)
    starting = span.start - vm.started_at < STARTING_S
    code = scene.fleet.wait_end(vm)
    if starting and code == -signal.SIGTERM:
        code = 0  # it has begun nothing yet, so that it may end by the signal
    if code is None or (
        code and scene.ledger.calm(vm.name, span.start, time.monotonic())
    ):
        scene.ledger.breach("stop", f"{vm.name} ended with {code}")
        vm.signal(signal.SIGKILL)
        scene.fleet.wait_end(vm)
    scene.fleet.start_vm(vm)
    span.end = time.monotonic()


def freeze(scene: Scene) -> None:
    """Let a program stand still for a while."""
    vm = scene.vm()
    if vm is None:
        return
    span = scene.note("freeze", vm.name)
    vm.signal(signal.SIGSTOP)
    eventlet.sleep(scene.lasting_s())
    vm.signal(signal.SIGCONT)
    span.end = time.monotonic()


def hang_up(scene: Scene) -> None:
    """Tell a program to read its settings again."""
    vm = scene.vm()
    if vm is None or vm.process is None:
        return
    span = scene.note("hang up", vm.name, planned=True)
    vm.signal(signal.SIGHUP)
    span.end = time.monotonic()


def store_down(scene: Scene) -> None:
    """Let the store answer failures, or late."""
    span = scene.note("store down", "")
    state = scene.fleet.store.state
    kind = scene.random.choice(["down", "slow"])
    setattr(state, kind, True)
    eventlet.sleep(scene.lasting_s())
    setattr(state, kind, False)
    span.end = time.monotonic()


def store_compacted(scene: Scene) -> None:
    """Drop the store's history, and serve old reads for a while."""
    span = scene.note("store compacted", "")
    state = scene.fleet.store.state
    state.stale_by = scene.random.randint(1, 5)
    state.compacted = state.revision
    eventlet.sleep(scene.lasting_s())
    state.stale_by = 0
    span.end = time.monotonic()


def link_fault(scene: Scene) -> None:
    """Cut, silence, reset or delay what goes over one link."""
    name = scene.random.choice(sorted(scene.fleet.links.paths))
    path = scene.fleet.links.paths[name]
    kind = scene.random.choice(["cut", "there", "back", "silence", "reset", "delay"])
    entry, _, to_store = name.partition(">")
    target = entry if to_store else scene.fleet.backends[name].server_id
    span = scene.note(f"link {kind}", target)
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
            path.delay_s = DELAY_S
    eventlet.sleep(scene.lasting_s())
    path.cut, path.cut_way, path.delay_s = False, "", 0.0
    span.end = time.monotonic()


def back_end_crash(scene: Scene) -> None:
    """Crash a back end; it starts anew with another identity."""
    fleet = scene.fleet
    name = scene.random.choice(sorted(fleet.listed))
    backend = fleet.backends[name]
    if backend.down:
        return
    span = scene.note("back end crash", backend.server_id)
    backend.crash()
    eventlet.sleep(BACK_END_AWAY_S)
    if name in fleet.listed:
        fleet.remove_backend(name)
    backend.restart()
    fleet.list_backend(name)
    span.end = time.monotonic()


def back_end_leaves(scene: Scene) -> None:
    """Let a back end leave as planned; another start takes its place."""
    fleet = scene.fleet
    name = scene.random.choice(sorted(fleet.listed))
    backend = fleet.backends[name]
    server_id = backend.server_id
    if backend.down or server_id in scene.ledger.leaving_since:
        return
    span = scene.note("back end leaves", server_id, planned=True)
    fleet.list_backend(name, "draining")
    scene.ledger.leaving_since[server_id] = time.monotonic()
    eventlet.sleep(AFTER_LEAVING_S)
    deadline = time.monotonic() + AFTER_LEAVING_S
    while backend.running and time.monotonic() < deadline:
        eventlet.sleep(0.05)
    span.end = time.monotonic()
    if backend.server_id != server_id:
        return  # it crashed meanwhile and has started anew
    fleet.remove_backend(name)
    backend.restart()
    fleet.list_backend(name)


def publish(scene: Scene) -> None:
    """Publish a configuration."""
    span = scene.note("configuration", "", planned=True)
    scene.fleet.publish()
    scene.prober.published_at = time.monotonic()
    span.end = time.monotonic()


def name_version(scene: Scene) -> None:
    """Name a version of the weights."""
    span = scene.note("version", "", planned=True)
    scene.fleet.name_version(scene.fleet.version + 1)
    span.end = time.monotonic()


def rot(scene: Scene) -> None:
    """Turn a staged piece bad."""
    engines = [b for b in scene.fleet.backends.values() if isinstance(b, ModelServer)]
    engine = scene.random.choice(engines)
    span = scene.note("rot", engine.server_id)
    engine.rot(scene.random.randrange(PIECES))
    span.end = time.monotonic()


FAULTS: dict[Callable[[Scene], None], float] = {
    kill: 2.0,
    terminate: 1.5,
    freeze: 1.5,
    hang_up: 1.0,
    store_down: 1.0,
    store_compacted: 1.0,
    link_fault: 3.0,
    back_end_crash: 2.0,
    back_end_leaves: 1.5,
    publish: 2.0,
    name_version: 0.7,
    rot: 1.0,
}
PLANNED = (terminate, hang_up, publish, name_version, back_end_leaves)
