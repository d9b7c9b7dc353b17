"""
What each pure decision costs against the size of the fleet.

One process, no sockets: the boards are built, the decisions called in a loop. On
the path of a request nothing may grow faster than the logarithm of the fleet;
what does grow is worked out once a change of the members.
"""

from __future__ import annotations

import json
import math
import time
import tracemalloc
from dataclasses import asdict, dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_core.board import Blackboard, Identity
from primroselever_core.identifiers import (
    FailureDomain,
    GroupName,
    Incarnation,
    Region,
    VmId,
    WeightsDigest,
)
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
LEAST_S = 0.15
LOG_MARGIN = 2.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Time every decision at each size of the fleet."""
    fleets = [Fleet(size) for size in arguments.sizes]
    timed = {
        decision.name: {
            fleet.size: round(seconds_of(decision.prepare(fleet)) * 1e6, 1)
            for fleet in fleets
        }
        for decision in DECISIONS
    }
    return {
        "sizes": arguments.sizes,
        "microseconds": timed,
        "on_request_path": [d.name for d in DECISIONS if d.on_request_path],
        "worse_than_log": [
            d.name
            for d in DECISIONS
            if d.on_request_path and grows_faster_than_log(timed[d.name])
        ],
        "board_bytes": {fleet.size: board_bytes(fleet.size) for fleet in fleets},
        "profiles_bytes_1mb": profiles_bytes(1_000_000),
        "parse_1mb_with_comments_ms": round(
            seconds_of(parse_of_bytes(1_000_000, "// grants\n")) * 1e3, 1
        ),
        "parse_1mb_ms": round(seconds_of(parse_of_bytes(1_000_000)) * 1e3, 1),
        "parse_100kb_ms": round(seconds_of(parse_of_bytes(100_000)) * 1e3, 1),
        "patch_1mb_ms": round(seconds_of(patch_of_bytes(1_000_000)) * 1e3, 2),
    }


def grows_faster_than_log(microseconds: dict[int, float]) -> bool:
    """Return whether the last size costs more than its logarithm allows."""
    sizes = sorted(microseconds)
    least, most = sizes[0], sizes[-1]
    allowed = LOG_MARGIN * math.log2(most) / math.log2(max(2, least))
    return microseconds[most] > allowed * microseconds[least]


class Fleet:
    """A board that knows a fleet of a given size, one entry to four agents."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.vms = {vm.vm_id: vm for vm in map(vm_of, range(size))}
        me = next(iter(self.vms.values()))
        self.board = Blackboard(
            Identity(me.vm_id, me.failure_domain, me.region, Incarnation(1))
        )
        apply(VmListReceived(self.vms), self.board.members, 0.0)
        self.random = Random(1)


def vm_of(number: int) -> Vm:
    """Return one VM of the fleet."""
    entry = number % (AGENTS_PER_ENTRY + 1) == 0
    domain = number // (AGENTS_PER_ENTRY + 1) % DOMAINS
    return Vm(
        vm_id=VmId(f"vm-{number:05}"),
        role=Role.ENTRY if entry else Role.AGENT,
        address=f"10.{domain}.{number // 250}.{number % 250}",
        rpc_port=7000,
        failure_domain=FailureDomain(f"domain-{domain}"),
        region=Region("west" if domain < DOMAINS // 2 else "east"),
        group=GroupName("") if entry else GROUP,
    )


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision; ``prepare`` returns the call that is timed."""

    name: str
    prepare: Callable[[Fleet], Callable[[], object]]
    on_request_path: bool = False


def tree(fleet: Fleet) -> Callable[[], object]:
    """Find the place in the tree, with the ranking at hand."""
    return lambda: own_tree_place(fleet.board, 1.0)


def ranking(fleet: Fleet) -> Callable[[], object]:
    """Rank a failure domain's VMs, once a change of the members."""
    members = fleet.board.members
    domain = fleet.board.identity.failure_domain
    ids = [v.vm_id for v in members.vms.values() if v.failure_domain == domain]
    return lambda: control_ranking(domain, ids)


def peers(fleet: Fleet) -> Callable[[], object]:
    """Choose whom to send a heartbeat to."""
    return lambda: heartbeat_peers(fleet.board, fleet.random, 1.0)


def heartbeat(fleet: Fleet) -> Callable[[], object]:
    """Take in a heartbeat."""
    event = PeerReported(VmId("vm-00007"), Incarnation(1), leaving=False)
    return lambda: apply(event, fleet.board.members, 1.0)


def vm_list(fleet: Fleet) -> Callable[[], object]:
    """Take in a VM list and see what changed since the last one."""
    old = dict(list(fleet.vms.items())[1:])

    def take_in() -> None:
        change_between(old, fleet.vms)
        digest_of(fleet.vms)
        apply(VmListReceived(fleet.vms), fleet.board.members, 1.0)

    return take_in


def vm_list_parsed(fleet: Fleet) -> Callable[[], object]:
    """Parse the platform's VM list, as a reader does after a change."""
    entries = [{"id": v.vm_id, **asdict(v)} for v in fleet.vms.values()]
    text = json.dumps({"vms": entries})
    return lambda: parse_vm_list(text)


def new_subset(fleet: Fleet) -> Callable[[], object]:
    """Work out an entry's subset, once a change of the members."""
    return lambda: list(compute_subset(fleet.board, GROUP))


def held_subset(fleet: Fleet) -> Callable[[], object]:
    """Read an entry's subset on the path of a request."""
    return lambda: connected_servers(fleet.board, GROUP)


def choose(fleet: Fleet) -> Callable[[], object]:
    """Take the servers of the subset that are usable."""
    servers = [Server(vm) for vm in connected_servers(fleet.board, GROUP)]
    return lambda: [server for server in servers if server.usable(1.0)]


def chunk_owners(fleet: Fleet) -> Callable[[], object]:
    """Rank the owners of a chunk among the VMs of a rollout in the domain."""
    count = min(ROLLOUT_VMS, fleet.size)
    names = [VmId(f"vm-{number:05}") for number in range(count)]
    return lambda: owners(WeightsDigest("d" * 32), 7, names)


DECISIONS = (
    Decision("subset_of", held_subset, on_request_path=True),
    Decision("usable_of_subset", choose, on_request_path=True),
    Decision("heartbeat_taken_in", heartbeat),
    Decision("tree_place", tree),
    Decision("heartbeat_peers", peers),
    Decision("control_ranking", ranking),
    Decision("vm_list_taken_in", vm_list),
    Decision("vm_list_parsed", vm_list_parsed),
    Decision("subset_worked_out", new_subset),
    Decision("chunk_owners", chunk_owners),
)


def parse_of_bytes(size: int, comment: str = "") -> Callable[[], object]:
    """Parse a published value of about so many bytes."""
    text = comment + published(size)
    return lambda: parse_profiles(text, "profiles")


def patch_of_bytes(size: int) -> Callable[[], object]:
    """Make the patch of one changed version in a value of so many bytes."""
    old = published(size).encode()
    middle = len(old) // 2
    new = old[:middle] + b" " + old[middle:]
    return lambda: make_patch(old, new)


def published(size: int) -> str:
    """Return a published value of about so many bytes."""
    profile = {"name": "", "group": "", "model": "eligibility", "version": "2026-12"}
    line_bytes = len(json.dumps(profile)) + 14
    names = [f"p{number:05}" for number in range(size // line_bytes)]
    profiles = [{**profile, "name": name, "group": name} for name in names]
    return json.dumps({"profiles": profiles})


def seconds_of(call: Callable[[], object]) -> float:
    """Return the processor seconds of one call, the best of three series."""
    call()
    best = math.inf
    for _ in range(3):
        count = 0
        started = time.process_time()
        while time.process_time() - started < LEAST_S:
            call()
            count += 1
        best = min(best, (time.process_time() - started) / count)
    return best


def board_bytes(size: int) -> int:
    """Return the memory of a board that knows a fleet of a given size."""
    tracemalloc.start()
    fleet = Fleet(size)
    connected_servers(fleet.board, GROUP)
    own_tree_place(fleet.board, 1.0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used


def profiles_bytes(size: int) -> int:
    """Return the memory of a published value of so many bytes, once parsed."""
    text = published(size)
    tracemalloc.start()
    parsed = parse_profiles(text, "profiles")
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert parsed.profiles
    return used + len(text)
