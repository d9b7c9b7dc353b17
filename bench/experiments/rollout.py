"""Measures the time and origin bytes of one rollout to VMs without weights."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Any

from ..launcher import Launcher
from ..rollout_fleet import (
    GROUP,
    add_link_arguments,
    build_fleet_layout,
    build_profiles,
    build_source_faults,
    count_copies_by_source,
    count_reads,
    count_sent_copies,
    measure_baseline_s,
    parse_link_arguments,
    peak_memories_mib,
    wait_for_serving_times,
    wait_for_vm_lists,
)

if TYPE_CHECKING:
    import argparse

OBJECTIVES = ("time_to_replicas", "origin_bytes")
LIMIT_TO_BOUND_RATIO = 4


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    add_link_arguments(parser)
    parser.add_argument("--objective", choices=OBJECTIVES, default=OBJECTIVES[0])
    parser.add_argument("--no-baseline", action="store_true")


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run one rollout and return its results."""
    links = parse_link_arguments(arguments)
    copies = arguments.domains if arguments.objective == OBJECTIVES[0] else 1
    lower_bound_s = links.lower_bound_s(copies)
    layout = build_fleet_layout(links, arguments.vms, arguments.domains)
    agent_ids = [vm.vm_id for vm in layout.agents()]
    with Launcher(layout, build_source_faults(links), engines_per_process=40) as fleet:
        started_s = wait_for_vm_lists(fleet)
        print(
            f"{len(agent_ids)} agents know the VM list after {started_s:.1f} s",
            file=sys.stderr,
        )
        published_at = time.time()
        fleet.publish_profiles(build_profiles("1", objective=arguments.objective))
        serving_times_s = wait_for_serving_times(
            fleet, "1", published_at, lower_bound_s * LIMIT_TO_BOUND_RATIO, set()
        )
        origin_copies = count_sent_copies(
            fleet, layout.origin_port, links.version_bytes
        )
        store_copies = count_sent_copies(fleet, layout.store_port, links.version_bytes)
        copies_by_source = count_copies_by_source(fleet, links.version_bytes, set())
        reads = count_reads(fleet, set())
        agent_memories_mib = peak_memories_mib(fleet, agent_ids)
        total_memory_mib = sum(peak_memories_mib(fleet, list(fleet.processes)))
        baseline = None
        if not arguments.no_baseline:
            baseline = round(measure_baseline_s(fleet, links, len(agent_ids)), 1)
    complete = len(serving_times_s) == len(agent_ids)
    return {
        "group": GROUP,
        "vms": len(agent_ids),
        "domains": arguments.domains,
        "objective": arguments.objective,
        "version_mb": links.version_bytes / 1e6,
        "chunk_kb": links.chunk_bytes / 1e3,
        "vm_link_kb_per_s": links.vm_bytes_per_s / 1e3,
        "served": len(serving_times_s),
        "time_to_n_s": {
            "n/2": find_time_to_count(serving_times_s, len(agent_ids) / 2),
            "0.95 n": find_time_to_count(serving_times_s, 0.95 * len(agent_ids)),
            "n": find_time_to_count(serving_times_s, len(agent_ids)),
        },
        "bound_s": round(lower_bound_s, 2),
        "ratio_to_bound": round(serving_times_s[-1] / lower_bound_s, 3)
        if complete
        else None,
        "origin_copies": origin_copies,
        "store_copies": store_copies,
        "cross_domain_copies": copies_by_source["cross_domain"],
        "copies_by_source": copies_by_source,
        "reads": reads,
        "agent_rss_mb_max": round(max(agent_memories_mib), 1),
        "all_rss_mb": round(total_memory_mib),
        "baseline_time_s": baseline,
        "start_s": round(started_s, 1),
    }


def find_time_to_count(serving_times_s: list[float], count: float) -> float | None:
    """Return the time at which ``count`` VMs served, or None if fewer did."""
    position = max(1, -int(-count // 1))
    return (
        round(serving_times_s[position - 1], 2)
        if position <= len(serving_times_s)
        else None
    )
