"""Time to N replicas and origin bytes of one rollout to VMs that hold nothing."""

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
LIMIT_IN_BOUNDS = 4


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    add_link_arguments(parser)
    parser.add_argument("--objective", choices=OBJECTIVES, default=OBJECTIVES[0])
    parser.add_argument("--no-baseline", action="store_true")


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run one rollout and return its figures."""
    links = parse_link_arguments(arguments)
    copies = arguments.domains if arguments.objective == OBJECTIVES[0] else 1
    bound = links.lower_bound_s(copies)
    layout = build_fleet_layout(links, arguments.vms, arguments.domains)
    agents = [vm.vm_id for vm in layout.agents()]
    with Launcher(layout, build_source_faults(links), engines_per_process=40) as fleet:
        started_s = wait_for_vm_lists(fleet)
        print(f"{len(agents)} agents up in {started_s:.1f} s", file=sys.stderr)
        since = time.time()
        fleet.publish_profiles(build_profiles("1", objective=arguments.objective))
        times = wait_for_serving_times(
            fleet, "1", since, bound * LIMIT_IN_BOUNDS, set()
        )
        origin = count_sent_copies(fleet, layout.origin_port, links.version_bytes)
        store = count_sent_copies(fleet, layout.store_port, links.version_bytes)
        by_source = count_copies_by_source(fleet, links.version_bytes, set())
        reads = count_reads(fleet, set())
        memory = peak_memories_mib(fleet, agents)
        everyone = sum(peak_memories_mib(fleet, list(fleet.processes)))
        baseline = None
        if not arguments.no_baseline:
            baseline = round(measure_baseline_s(fleet, links, len(agents)), 1)
    whole = len(times) == len(agents)
    return {
        "group": GROUP,
        "vms": len(agents),
        "domains": arguments.domains,
        "objective": arguments.objective,
        "version_mb": links.version_bytes / 1e6,
        "chunk_kb": links.chunk_bytes / 1e3,
        "vm_link_kb_per_s": links.vm_bytes_per_s / 1e3,
        "served": len(times),
        "time_to_n_s": {
            "n/2": at(times, len(agents) / 2),
            "0.95 n": at(times, 0.95 * len(agents)),
            "n": at(times, len(agents)),
        },
        "bound_s": round(bound, 2),
        "ratio_to_bound": round(times[-1] / bound, 3) if whole else None,
        "origin_copies": origin,
        "store_copies": store,
        "cross_domain_copies": by_source["cross_domain"],
        "copies_by_source": by_source,
        "reads": reads,
        "agent_rss_mb_max": round(max(memory), 1),
        "all_rss_mb": round(everyone),
        "baseline_time_s": baseline,
        "start_s": round(started_s, 1),
    }


def at(times: list[float], count: float) -> float | None:
    """Return when that many VMs served, or None when they never did."""
    position = max(1, -int(-count // 1))
    return round(times[position - 1], 2) if position <= len(times) else None
