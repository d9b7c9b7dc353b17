"""
How fast a published revision is in force everywhere, and what control costs.

Real processes, one entry to four agents, in three failure domains. A process
says how old its revision is; with the time of publishing that gives the seconds
until the revision was in force there.
"""

from __future__ import annotations

import math
import signal
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from bench.launcher import Launcher
from bench.layout import Layout, VmPlan, build_layout
from bench.process_usage import processor_s, resident_mib

if TYPE_CHECKING:
    import argparse

DOMAINS = {"lag-a": "west", "abj-a": "west", "phc-a": "east"}
AGENTS_PER_ENTRY = 4
START_LIMIT_S = 70.0
IN_FORCE_LIMIT_S = 20.0
SETTLE_S = 6.0
READERS = 32


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--processes", type=int, default=9)
    parser.add_argument("--changes", type=int, default=5, help="published revisions")
    parser.add_argument(
        "--silent",
        type=int,
        default=0,
        help="watchers of each domain that are stopped before the last change",
    )
    parser.add_argument("--quiet-s", type=float, default=20.0, help="without changes")


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run a fleet, leave it alone for a while, then publish revisions."""
    layout = layout_of(arguments.processes)
    started = time.monotonic()
    with Launcher(layout) as fleet, ThreadPoolExecutor(READERS) as readers:
        probe = Probe(fleet, readers)
        revision = fleet.publish_profiles(value(0))
        probe.wait_in_force(revision, START_LIMIT_S)
        start_s = time.monotonic() - started
        start_calls = probe.service()
        time.sleep(SETTLE_S)
        cost = probe.cost_of(arguments.quiet_s)
        in_force_s: list[float] = []
        for change in range(1, arguments.changes + 1):
            published_at = time.monotonic()
            revision = fleet.publish_profiles(value(change))
            probe.wait_in_force(revision, IN_FORCE_LIMIT_S)
            in_force_s += probe.in_force_since(published_at)
            time.sleep(1.0)
        silent = silence(probe, arguments.silent) if arguments.silent else {}
        return {
            "processes": len(layout.vms),
            "start_s": round(start_s, 1),
            "start_service_calls": start_calls["calls"],
            "start_refused_calls": start_calls["refused"],
            **cost,
            "in_force_s": spread(in_force_s),
            "changes": arguments.changes,
            **silent,
        }


def silence(probe: Probe, count: int) -> dict[str, Any]:
    """Stop watchers without ending them, publish, and let them wake up late."""
    fleet = probe.fleet
    controls = zip(fleet.layout.vms, probe.all_controls(), strict=True)
    ranked = sorted((c["position"], vm.vm_id) for vm, c in controls if c)
    stopped = {vm_id for position, vm_id in ranked if position < count}
    for vm_id in stopped:
        fleet.processes[vm_id].send_signal(signal.SIGSTOP)
    awake = [vm for vm in fleet.layout.vms if vm.vm_id not in stopped]
    published_at = time.monotonic()
    revision = fleet.publish_profiles(value(1_000_000))
    probe.wait_in_force(revision, IN_FORCE_LIMIT_S, awake)
    in_force_s = probe.in_force_since(published_at, awake)
    waiting = probe.service()["waiting"]
    for vm_id in stopped:
        fleet.processes[vm_id].send_signal(signal.SIGCONT)
    woken_at = time.monotonic()
    probe.wait_in_force(revision, IN_FORCE_LIMIT_S)
    late = [vm for vm in fleet.layout.vms if vm.vm_id in stopped]
    pauses = [c["pauses"] for vm in late if (c := probe.control_of(vm))]
    return {
        "silent_watchers": len(stopped),
        "silent_in_force_s": spread(in_force_s),
        "silent_waiting_calls": waiting,
        "woken_in_force_s": spread(probe.in_force_since(woken_at, late)),
        "woken_pauses_seen": pauses,
    }


def layout_of(processes: int) -> Layout:
    """Return a fleet of about so many processes."""
    per_domain = processes // len(DOMAINS)
    entries = max(1, per_domain // (AGENTS_PER_ENTRY + 1))
    return build_layout(DOMAINS, entries, {"portal": ("plain", per_domain - entries)})


def value(change: int) -> dict[str, Any]:
    """Return a published value that differs with each change."""
    return {
        "services": [{"name": "renewals", "group": "portal", "idempotent": False}],
        "workspaces": [{"name": f"ministry-{change}"}],
    }


@dataclass(frozen=True, slots=True)
class Cost:
    """What one process costs: bytes a second, a share of a core, MB."""

    bytes_per_s: float
    cpu_share: float
    rss_mb: float


class Probe:
    """Reads what the processes say and what the machine says of them."""

    def __init__(self, fleet: Launcher, readers: ThreadPoolExecutor) -> None:
        self.fleet = fleet
        self.readers = readers

    def control_of(self, vm: VmPlan) -> dict[str, Any] | None:
        """Return what a process says of control, or None."""
        status = self.fleet.get_json(vm.admin_port, "/status")
        return status["control"] if status else None

    def all_controls(self) -> list[dict[str, Any] | None]:
        """Return what all processes say of control."""
        return list(self.readers.map(self.control_of, self.fleet.layout.vms))

    def service(self) -> dict[str, Any]:
        """Return the counters of the configuration service."""
        return dict(
            self.fleet.get_json(self.fleet.layout.configuration_port, "/control")
        )

    def wait_in_force(
        self, revision: int, limit_s: float, among: list[VmPlan] | None = None
    ) -> None:
        """Wait until all processes, or those among some, have a revision in force."""
        planned = self.fleet.layout.vms if among is None else among
        waiting = set(range(len(planned)))

        def holds() -> bool:
            indexes = sorted(waiting)
            vms = [planned[index] for index in indexes]
            said = self.readers.map(self.control_of, vms)
            for index, control in zip(indexes, said, strict=True):
                if control and control["revision"] >= revision:
                    waiting.discard(index)
            time.sleep(0.2)
            return not waiting

        self.fleet.wait_for(holds, limit_s, f"revision {revision} in force")

    def in_force_since(
        self, published_at: float, among: list[VmPlan] | None = None
    ) -> list[float]:
        """Return after how many seconds each process had the newest revision."""
        since = []
        for vm in self.fleet.layout.vms if among is None else among:
            control = self.control_of(vm)
            if control is not None:
                accepted_at = time.monotonic() - control["revision_age_s"]
                since.append(max(0.0, accepted_at - published_at))
        return since

    def cost_of(self, seconds: float) -> dict[str, Any]:
        """Return what control costs while nothing changes."""
        before = self.readings()
        calls = self.service()
        started = time.monotonic()
        time.sleep(seconds)
        waiting = self.service()["waiting"]
        after_calls = self.service()["calls"]
        elapsed = time.monotonic() - started
        after = self.readings()
        roles = self.roles()
        pairs = list(zip(before, after, strict=True))
        costs = [
            Cost((b[0] - a[0]) / elapsed, (b[1] - a[1]) / elapsed, b[2])
            for a, b in pairs
        ]
        by_role = {
            role: spread_of([c for c, r in zip(costs, roles, strict=True) if r == role])
            for role in sorted(set(roles))
        }
        return {
            "service_calls_per_s": round((after_calls - calls["calls"]) / elapsed, 2),
            "service_waiting_calls": waiting,
            **spread_of(costs),
            "by_role": by_role,
        }

    def roles(self) -> list[str]:
        """Return entry or agent, or watcher when it also watches."""
        controls = self.all_controls()
        return [
            "watcher" if control and control.get("watches") else vm.role
            for vm, control in zip(self.fleet.layout.vms, controls, strict=True)
        ]

    def readings(self) -> list[tuple[int, float, float]]:
        """Return bytes, processor seconds and resident MB of each process."""
        controls = self.all_controls()
        readings = []
        for vm, control in zip(self.fleet.layout.vms, controls, strict=True):
            pid = self.fleet.processes[vm.vm_id].pid
            sent = traffic_of(control) if control else 0
            readings.append((sent, processor_s(pid), resident_mib(pid)))
        return readings


def spread_of(costs: list[Cost]) -> dict[str, Any]:
    """Return the spread of each kind of cost."""
    return {
        "bytes_per_s": spread([cost.bytes_per_s for cost in costs]),
        "cpu_share": spread([cost.cpu_share for cost in costs]),
        "rss_mb": spread([cost.rss_mb for cost in costs]),
    }


def traffic_of(control: dict[str, Any]) -> int:
    """Return the bytes of the platform's calls and of thrift so far."""
    return int(control["platform_bytes"]) + int(control["rpc_bytes"])


def spread(values: list[float]) -> dict[str, float]:
    """Return the median, the 95th percentile and the greatest value."""
    ordered = sorted(values)
    return {
        "p50": round(statistics.median(ordered), 4),
        "p95": round(ordered[math.ceil(0.95 * len(ordered)) - 1], 4),
        "max": round(ordered[-1], 4),
    }
