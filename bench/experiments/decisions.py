"""
Measures the processor time of each pure decision by the size of the fleet.

It runs in one process without sockets: it builds the boards and calls the decisions in
a loop. On the path of a request, the cost must not grow faster than the logarithm of
the fleet's size; costlier values are computed once per change of the members.
"""

from __future__ import annotations

import json
import math
import time
import tracemalloc
from dataclasses import asdict, dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_core.board import Blackboard
from primroselever_core.identifiers import (
    FailureDomain,
    GroupName,
    Incarnation,
    Region,
    VmId,
    WeightsDigest,
)
from primroselever_core.identity import Identity
from primroselever_core.membership.events import PeerReported, VmListReceived, apply
from primroselever_core.membership.peers import (
    compute_subset,
    connected_servers,
    heartbeat_peers,
    own_tree_place,
)
from primroselever_core.membership.tree import control_ranking
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.membership.vm_list import parse_vm_list
from primroselever_core.membership.vm_list_copy import change_between, digest_of
from primroselever_core.profiles.parse import parse_profiles
from primroselever_core.profiles.patch import make_patch
from primroselever_core.routing.section import Server
from primroselever_core.transfer.ownership import owners

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

SIZES = (10, 100, 1000, 7200)
DOMAINS = 6
AGENTS_PER_ENTRY = 4
ROLLOUT_VMS = 210
GROUP = GroupName("alerts")
MIN_SERIES_S = 0.15
LOG_MARGIN = 2.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Time every decision at each size of the fleet."""
    fleets = [Fleet(size) for size in arguments.sizes]
    microseconds = {
        decision.name: {
            fleet.size: round(measure_call_s(decision.prepare(fleet)) * 1e6, 1)
            for fleet in fleets
        }
        for decision in DECISIONS
    }
    return {
        "sizes": arguments.sizes,
        "microseconds": microseconds,
        "on_request_path": [d.name for d in DECISIONS if d.on_request_path],
        "worse_than_log": [
            d.name
            for d in DECISIONS
            if d.on_request_path and grows_faster_than_log(microseconds[d.name])
        ],
        "board_bytes": {
            fleet.size: measure_board_bytes(fleet.size) for fleet in fleets
        },
        "profiles_bytes_1mb": measure_profiles_bytes(1_000_000),
        "parse_1mb_with_comments_ms": round(
            measure_call_s(prepare_parsing(1_000_000, "// grants\n")) * 1e3, 1
        ),
        "parse_1mb_ms": round(measure_call_s(prepare_parsing(1_000_000)) * 1e3, 1),
        "parse_100kb_ms": round(measure_call_s(prepare_parsing(100_000)) * 1e3, 1),
        "patch_1mb_ms": round(measure_call_s(prepare_patch(1_000_000)) * 1e3, 2),
    }


def grows_faster_than_log(microseconds: dict[int, float]) -> bool:
    """Return whether the cost grows faster than the logarithm of the fleet's size."""
    sizes = sorted(microseconds)
    smallest, largest = sizes[0], sizes[-1]
    allowed = LOG_MARGIN * math.log2(largest) / math.log2(max(2, smallest))
    return microseconds[largest] > allowed * microseconds[smallest]


class Fleet:
    """A board that holds a fleet of a given size, with four agents per entry."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.vms = {vm.vm_id: vm for vm in map(build_vm, range(size))}
        own_vm = next(iter(self.vms.values()))
        self.board = Blackboard(
            Identity(own_vm.vm_id, own_vm.failure_domain, own_vm.region, Incarnation(1))
        )
        apply(VmListReceived(self.vms), self.board.members, 0.0)
        self.random = Random(1)


def build_vm(number: int) -> Vm:
    """Return one VM of the fleet."""
    is_entry = number % (AGENTS_PER_ENTRY + 1) == 0
    domain = number // (AGENTS_PER_ENTRY + 1) % DOMAINS
    return Vm(
        vm_id=VmId(f"vm-{number:05}"),
        role=Role.ENTRY if is_entry else Role.AGENT,
        address=f"10.{domain}.{number // 250}.{number % 250}",
        rpc_port=7000,
        failure_domain=FailureDomain(f"domain-{domain}"),
        region=Region("west" if domain < DOMAINS // 2 else "east"),
        group=GroupName("") if is_entry else GROUP,
    )


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision; ``prepare`` returns the call to time for a fleet."""

    name: str
    prepare: Callable[[Fleet], Callable[[], object]]
    on_request_path: bool = False


def prepare_tree_place(fleet: Fleet) -> Callable[[], object]:
    """Return a call that finds the place in the tree, with the ranking cached."""
    return lambda: own_tree_place(fleet.board, 1.0)


def prepare_control_ranking(fleet: Fleet) -> Callable[[], object]:
    """Return a call that ranks a failure domain's VMs, run once per member change."""
    members = fleet.board.members
    domain = fleet.board.identity.failure_domain
    ids = [v.vm_id for v in members.vms.values() if v.failure_domain == domain]
    return lambda: control_ranking(domain, ids)


def prepare_heartbeat_peers(fleet: Fleet) -> Callable[[], object]:
    """Return a call that chooses the peers for a heartbeat."""
    return lambda: heartbeat_peers(fleet.board, fleet.random, 1.0)


def prepare_heartbeat(fleet: Fleet) -> Callable[[], object]:
    """Return a call that applies a received heartbeat."""
    event = PeerReported(VmId("vm-00007"), Incarnation(1), leaving=False)
    return lambda: apply(event, fleet.board.members, 1.0)


def prepare_vm_list(fleet: Fleet) -> Callable[[], object]:
    """Return a call that applies a VM list and compares it with the last one."""
    old = dict(list(fleet.vms.items())[1:])

    def apply_vm_list() -> None:
        change_between(old, fleet.vms)
        digest_of(fleet.vms)
        apply(VmListReceived(fleet.vms), fleet.board.members, 1.0)

    return apply_vm_list


def prepare_vm_list_parsing(fleet: Fleet) -> Callable[[], object]:
    """Return a call that parses the platform's VM list, as a reader does."""
    entries = [{"id": v.vm_id, **asdict(v)} for v in fleet.vms.values()]
    text = json.dumps({"vms": entries})
    return lambda: parse_vm_list(text)


def prepare_new_subset(fleet: Fleet) -> Callable[[], object]:
    """Return a call that computes an entry's subset, run once per member change."""
    return lambda: list(compute_subset(fleet.board, GROUP))


def prepare_cached_subset(fleet: Fleet) -> Callable[[], object]:
    """Return a call that reads an entry's cached subset, run for each request."""
    return lambda: connected_servers(fleet.board, GROUP)


def prepare_usable_servers(fleet: Fleet) -> Callable[[], object]:
    """Return a call that selects the usable servers of the subset."""
    servers = [Server(vm) for vm in connected_servers(fleet.board, GROUP)]
    return lambda: [server for server in servers if server.usable(1.0)]


def prepare_chunk_owners(fleet: Fleet) -> Callable[[], object]:
    """Return a call that ranks a chunk's owners among a domain's rollout VMs."""
    count = min(ROLLOUT_VMS, fleet.size)
    names = [VmId(f"vm-{number:05}") for number in range(count)]
    return lambda: owners(WeightsDigest("d" * 32), 7, names)


DECISIONS = (
    Decision("subset_of", prepare_cached_subset, on_request_path=True),
    Decision("usable_of_subset", prepare_usable_servers, on_request_path=True),
    Decision("heartbeat_taken_in", prepare_heartbeat),
    Decision("tree_place", prepare_tree_place),
    Decision("heartbeat_peers", prepare_heartbeat_peers),
    Decision("control_ranking", prepare_control_ranking),
    Decision("vm_list_taken_in", prepare_vm_list),
    Decision("vm_list_parsed", prepare_vm_list_parsing),
    Decision("subset_worked_out", prepare_new_subset),
    Decision("chunk_owners", prepare_chunk_owners),
)


def prepare_parsing(size: int, comment: str = "") -> Callable[[], object]:
    """Return a call that parses a published value of about ``size`` bytes."""
    text = comment + build_published_value(size)
    return lambda: parse_profiles(text, "profiles")


def prepare_patch(size: int) -> Callable[[], object]:
    """Return a call that makes the patch of a small change in a published value."""
    old = build_published_value(size).encode()
    middle = len(old) // 2
    new = old[:middle] + b" " + old[middle:]
    return lambda: make_patch(old, new)


def build_published_value(size: int) -> str:
    """Return a published value of about ``size`` bytes."""
    profile = {"name": "", "group": "", "model": "eligibility", "version": "2026-12"}
    line_bytes = len(json.dumps(profile)) + 14
    names = [f"p{number:05}" for number in range(size // line_bytes)]
    profiles = [{**profile, "name": name, "group": name} for name in names]
    return json.dumps({"profiles": profiles})


def measure_call_s(call: Callable[[], object]) -> float:
    """Return the processor seconds of one call in the fastest of three series."""
    call()
    fastest_s = math.inf
    for _ in range(3):
        count = 0
        started_at = time.process_time()
        while time.process_time() - started_at < MIN_SERIES_S:
            call()
            count += 1
        fastest_s = min(fastest_s, (time.process_time() - started_at) / count)
    return fastest_s


def measure_board_bytes(size: int) -> int:
    """Return the memory of a board that holds a fleet of a given size, in bytes."""
    tracemalloc.start()
    fleet = Fleet(size)
    connected_servers(fleet.board, GROUP)
    own_tree_place(fleet.board, 1.0)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes


def measure_profiles_bytes(size: int) -> int:
    """Return the memory of a published value and its parsed form, in bytes."""
    text = build_published_value(size)
    tracemalloc.start()
    parsed = parse_profiles(text, "profiles")
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert parsed.profiles
    return used_bytes + len(text)
