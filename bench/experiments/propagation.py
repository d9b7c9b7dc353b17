"""
Measures how fast a published revision is in force everywhere, and the cost of control.

It runs real processes, one entry to four agents, in three failure domains. Each process
reports the age of its revision; with the time of publication this gives the seconds
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

REGION_BY_DOMAIN = {"lag-a": "west", "abj-a": "west", "phc-a": "east"}
AGENTS_PER_ENTRY = 4
START_LIMIT_S = 70.0
IN_FORCE_LIMIT_S = 20.0
SETTLE_S = 6.0
READER_THREADS = 32


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--processes", type=int, default=9)
    parser.add_argument("--changes", type=int, default=5, help="published revisions")
    parser.add_argument(
        "--silent",
        type=int,
        default=0,
        help="watchers of each domain that are paused before the last change",
    )
    parser.add_argument("--quiet-s", type=float, default=20.0, help="without changes")


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run a fleet without changes for a while, then publish revisions."""
    layout = build_propagation_layout(arguments.processes)
    started_at = time.monotonic()
    with Launcher(layout) as fleet, ThreadPoolExecutor(READER_THREADS) as readers:
        probe = Probe(fleet, readers)
        revision = fleet.publish_profiles(build_value(0))
        probe.wait_until_in_force(revision, START_LIMIT_S)
        start_s = time.monotonic() - started_at
        start_calls = probe.get_service_counters()
        time.sleep(SETTLE_S)
        cost = probe.measure_cost(arguments.quiet_s)
        in_force_s: list[float] = []
        for change in range(1, arguments.changes + 1):
            published_at = time.monotonic()
            revision = fleet.publish_profiles(build_value(change))
            probe.wait_until_in_force(revision, IN_FORCE_LIMIT_S)
            in_force_s += probe.measure_in_force_s(published_at)
            time.sleep(1.0)
        silent_results = (
            run_silent_watchers(probe, arguments.silent) if arguments.silent else {}
        )
        return {
            "processes": len(layout.vms),
            "start_s": round(start_s, 1),
            "start_service_calls": start_calls["calls"],
            "start_refused_calls": start_calls["refused"],
            **cost,
            "in_force_s": summarize_values(in_force_s),
            "changes": arguments.changes,
            **silent_results,
        }


def run_silent_watchers(probe: Probe, count: int) -> dict[str, Any]:
    """Pause watchers, publish a revision, resume them, and return the results."""
    fleet = probe.fleet
    statuses = zip(fleet.layout.vms, probe.get_control_statuses(), strict=True)
    ranked = sorted((status["position"], vm.vm_id) for vm, status in statuses if status)
    silent_vm_ids = {vm_id for position, vm_id in ranked if position < count}
    for vm_id in silent_vm_ids:
        fleet.processes[vm_id].send_signal(signal.SIGSTOP)
    other_vms = [vm for vm in fleet.layout.vms if vm.vm_id not in silent_vm_ids]
    published_at = time.monotonic()
    revision = fleet.publish_profiles(build_value(1_000_000))
    probe.wait_until_in_force(revision, IN_FORCE_LIMIT_S, other_vms)
    in_force_s = probe.measure_in_force_s(published_at, other_vms)
    waiting = probe.get_service_counters()["waiting"]
    for vm_id in silent_vm_ids:
        fleet.processes[vm_id].send_signal(signal.SIGCONT)
    woken_at = time.monotonic()
    probe.wait_until_in_force(revision, IN_FORCE_LIMIT_S)
    woken_vms = [vm for vm in fleet.layout.vms if vm.vm_id in silent_vm_ids]
    pauses = [
        status["pauses"] for vm in woken_vms if (status := probe.get_control_status(vm))
    ]
    return {
        "silent_watchers": len(silent_vm_ids),
        "silent_in_force_s": summarize_values(in_force_s),
        "silent_waiting_calls": waiting,
        "woken_in_force_s": summarize_values(
            probe.measure_in_force_s(woken_at, woken_vms)
        ),
        "woken_pauses_seen": pauses,
    }


def build_propagation_layout(processes: int) -> Layout:
    """Return the layout of a fleet of about ``processes`` processes."""
    per_domain = processes // len(REGION_BY_DOMAIN)
    entries = max(1, per_domain // (AGENTS_PER_ENTRY + 1))
    return build_layout(
        REGION_BY_DOMAIN, entries, {"portal": ("plain", per_domain - entries)}
    )


def build_value(change: int) -> dict[str, Any]:
    """Return a published value that differs with each change."""
    return {
        "services": [{"name": "renewals", "group": "portal", "idempotent": False}],
        "workspaces": [{"name": f"ministry-{change}"}],
    }


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one process; ``cpu_share`` is the used part of one core."""

    bytes_per_s: float
    cpu_share: float
    rss_mb: float


class Probe:
    """Reads the status of a fleet's processes and their resource usage."""

    def __init__(self, fleet: Launcher, readers: ThreadPoolExecutor) -> None:
        self.fleet = fleet
        self.readers = readers

    def get_control_status(self, vm: VmPlan) -> dict[str, Any] | None:
        """Return the control section of a process's status, or None if it is absent."""
        status = self.fleet.get_json(vm.admin_port, "/status")
        return status["control"] if status else None

    def get_control_statuses(self) -> list[dict[str, Any] | None]:
        """Return the control section of each process's status."""
        return list(self.readers.map(self.get_control_status, self.fleet.layout.vms))

    def get_service_counters(self) -> dict[str, Any]:
        """Return the counters of the configuration service."""
        return dict(
            self.fleet.get_json(self.fleet.layout.configuration_port, "/control")
        )

    def wait_until_in_force(
        self, revision: int, limit_s: float, only_vms: list[VmPlan] | None = None
    ) -> None:
        """Wait until all processes, or only some, have a revision in force."""
        awaited_vms = self.fleet.layout.vms if only_vms is None else only_vms
        waiting_indexes = set(range(len(awaited_vms)))

        def in_force_everywhere() -> bool:
            indexes = sorted(waiting_indexes)
            waiting_vms = [awaited_vms[index] for index in indexes]
            statuses = self.readers.map(self.get_control_status, waiting_vms)
            for index, status in zip(indexes, statuses, strict=True):
                if status and status["revision"] >= revision:
                    waiting_indexes.discard(index)
            time.sleep(0.2)
            return not waiting_indexes

        self.fleet.wait_for(
            in_force_everywhere, limit_s, f"revision {revision} in force"
        )

    def measure_in_force_s(
        self, published_at: float, only_vms: list[VmPlan] | None = None
    ) -> list[float]:
        """Return the seconds until each process accepted its revision."""
        in_force_s = []
        for vm in self.fleet.layout.vms if only_vms is None else only_vms:
            status = self.get_control_status(vm)
            if status is not None:
                accepted_at = time.monotonic() - status["revision_age_s"]
                in_force_s.append(max(0.0, accepted_at - published_at))
        return in_force_s

    def measure_cost(self, seconds: float) -> dict[str, Any]:
        """Return the cost of control over some seconds without changes."""
        usages_before = self.read_usages()
        counters_before = self.get_service_counters()
        started_at = time.monotonic()
        time.sleep(seconds)
        waiting = self.get_service_counters()["waiting"]
        calls_after = self.get_service_counters()["calls"]
        elapsed_s = time.monotonic() - started_at
        usages_after = self.read_usages()
        roles = self.get_roles()
        usage_pairs = list(zip(usages_before, usages_after, strict=True))
        costs = [
            Cost(
                (after[0] - before[0]) / elapsed_s,
                (after[1] - before[1]) / elapsed_s,
                after[2],
            )
            for before, after in usage_pairs
        ]
        by_role = {
            role: summarize_costs(
                [
                    cost
                    for cost, vm_role in zip(costs, roles, strict=True)
                    if vm_role == role
                ]
            )
            for role in sorted(set(roles))
        }
        return {
            "service_calls_per_s": round(
                (calls_after - counters_before["calls"]) / elapsed_s, 2
            ),
            "service_waiting_calls": waiting,
            **summarize_costs(costs),
            "by_role": by_role,
        }

    def get_roles(self) -> list[str]:
        """Return the role of each process, or "watcher" if it watches the service."""
        statuses = self.get_control_statuses()
        return [
            "watcher" if status and status.get("watches") else vm.role
            for vm, status in zip(self.fleet.layout.vms, statuses, strict=True)
        ]

    def read_usages(self) -> list[tuple[int, float, float]]:
        """Return the bytes, processor seconds and resident MiB of each process."""
        statuses = self.get_control_statuses()
        usages = []
        for vm, status in zip(self.fleet.layout.vms, statuses, strict=True):
            pid = self.fleet.processes[vm.vm_id].pid
            control_bytes = sum_control_bytes(status) if status else 0
            usages.append((control_bytes, processor_s(pid), resident_mib(pid)))
        return usages


def summarize_costs(costs: list[Cost]) -> dict[str, Any]:
    """Return the spread of each kind of cost over processes."""
    return {
        "bytes_per_s": summarize_values([cost.bytes_per_s for cost in costs]),
        "cpu_share": summarize_values([cost.cpu_share for cost in costs]),
        "rss_mb": summarize_values([cost.rss_mb for cost in costs]),
    }


def sum_control_bytes(status: dict[str, Any]) -> int:
    """Return the bytes of platform calls and Thrift calls so far."""
    return int(status["platform_bytes"]) + int(status["rpc_bytes"])


def summarize_values(values: list[float]) -> dict[str, float]:
    """Return the median, the 95th percentile and the maximum."""
    ordered = sorted(values)
    return {
        "p50": round(statistics.median(ordered), 4),
        "p95": round(ordered[math.ceil(0.95 * len(ordered)) - 1], 4),
        "max": round(ordered[-1], 4),
    }
