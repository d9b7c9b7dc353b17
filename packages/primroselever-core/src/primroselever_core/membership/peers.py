"""
The peers of a process: where it sends heartbeats, and an entry's servers.

Their number does not grow with the fleet.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from ..rendezvous import top_ranked
from .subset import SUBSET_SIZE, Assignment, Candidates, Subset
from .tree import TreePlace, tree_place
from .vm import Role

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from ..board import Blackboard
    from ..identifiers import GroupName, VmId
    from .vm import Vm

SPILL_SUBSET_SIZE = 8


def own_tree_place(board: Blackboard, now: float) -> TreePlace:
    """Return this process's place in its failure domain's tree."""
    me = board.identity
    ranking = board.members.live_ranking(me.failure_domain, me.vm_id, now)
    return tree_place(me.vm_id, ranking)


def heartbeat_peers(board: Blackboard, random: Random, now: float) -> list[Vm]:
    """
    Return the VMs to send the next heartbeat to.

    These are one VM of this failure domain and, for a watcher, one of another
    domain, so that a domain that is cut off from the platform gets updates from the
    others.
    """
    me = board.identity
    members = board.members
    local_ids = [v for v in members.ranking(me.failure_domain) if v != me.vm_id]
    peers = pick_available(board, local_ids, random, now)
    if own_tree_place(board, now).watches:
        remote_ids = [
            vm.vm_id
            for vm in members.vms.values()
            if vm.failure_domain != me.failure_domain
        ]
        peers += pick_available(board, remote_ids, random, now)
    return peers


def pick_available(
    board: Blackboard, vm_ids: list[VmId], random: Random, now: float
) -> list[Vm]:
    """Return one random available VM, or an empty list if a few tries find none."""
    for _ in range(min(4, len(vm_ids))):
        vm = board.members.vms[random.choice(vm_ids)]
        if board.members.is_available(vm, now):
            return [vm]
    return []


def find_candidates(board: Blackboard, group: GroupName) -> Candidates:
    """Return this domain's entries and the servers of a group in all domains."""
    candidates = Candidates()
    for vm in board.members.vms.values():
        is_local = vm.failure_domain == board.identity.failure_domain
        if vm.role is Role.ENTRY and is_local:
            candidates.entries.append(vm.vm_id)
        elif vm.role is Role.AGENT and vm.group == group:
            (candidates.local if is_local else candidates.remote).append(vm.vm_id)
    return candidates


def compute_subset(
    board: Blackboard, group: GroupName, last: Subset | None = None
) -> Iterator[Subset]:
    """
    Compute the servers of a group that this entry connects to, step by step.

    Most are in its own failure domain. A few are in others, for when the servers of
    its own domain are full. The last subset yielded is the result. If the local
    candidates have not changed, the local servers are copied from ``last``.
    """
    me = board.identity.vm_id
    candidates = find_candidates(board, group)
    subset = Subset(
        [], top_ranked(f"spill/{me}", candidates.remote, SPILL_SUBSET_SIZE), candidates
    )
    if last is not None and last.candidates.equals_locally(candidates):
        subset.local = last.local
    elif len(candidates.local) <= SUBSET_SIZE:
        subset.local = sorted(candidates.local)
    else:
        assignment = Assignment.of(
            {*candidates.entries, me}, candidates.local, SUBSET_SIZE
        )
        subset.local = assignment.chosen[me]
        for _ in assignment.run_rounds():
            yield subset
    yield subset


def connected_servers(board: Blackboard, group: GroupName) -> list[Vm]:
    """
    Return the servers of a group that this entry connects to, as last computed.

    This is cheap enough for the request path: a subset is computed here only on
    first use. The heartbeat controller recomputes it when the members change.
    """
    members = board.members
    if group not in members.subsets:
        *_, members.subsets[group] = compute_subset(board, group)
    subset = members.subsets[group]
    vm_ids = chain(subset.local, subset.remote)
    return [members.vms[vm_id] for vm_id in vm_ids if vm_id in members.vms]


def refresh_subsets(board: Blackboard) -> Iterator[None]:
    """
    Recompute the subsets if the members have changed.

    It yields between steps of a few milliseconds, so that requests are not delayed.
    """
    members = board.members
    if members.subsets_generation == members.generation:
        return
    members.subsets_generation = members.generation
    for group, last in list(members.subsets.items()):
        result = last
        for subset in compute_subset(board, group, last):
            result = subset
            yield
        members.subsets[group] = result
