"""Whom a process sends its heartbeat to: a fixed number, whatever the fleet."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from ..rendezvous import best
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


def place_of(board: Blackboard, now: float) -> TreePlace:
    """Return this process's place in its failure domain's tree."""
    me = board.identity
    ranking = board.members.live_ranking(me.failure_domain, me.vm_id, now)
    return tree_place(me.vm_id, ranking)


def heartbeat_peers(board: Blackboard, random: Random, now: float) -> list[Vm]:
    """
    Return whom to send the next heartbeat to.

    One VM of the domain; and from a watcher one of another domain, so that a domain
    that is cut off from the platform hears what the others know.
    """
    me = board.identity
    members = board.members
    here = [v for v in members.ranking(me.failure_domain) if v != me.vm_id]
    peers = one_of(board, here, random, now)
    if place_of(board, now).watches:
        away = [
            vm.vm_id
            for vm in members.vms.values()
            if vm.failure_domain != me.failure_domain
        ]
        peers += one_of(board, away, random, now)
    return peers


def one_of(
    board: Blackboard, vm_ids: list[VmId], random: Random, now: float
) -> list[Vm]:
    """Return one of the VMs that is not suspect, by chance, or none."""
    for _ in range(min(4, len(vm_ids))):
        vm = board.members.vms[random.choice(vm_ids)]
        if board.members.counts_on(vm, now):
            return [vm]
    return []


def candidates_of(board: Blackboard, group: GroupName) -> Candidates:
    """Return the domain's entries, its servers of a group, and those elsewhere."""
    found = Candidates()
    for vm in board.members.vms.values():
        near = vm.failure_domain == board.identity.failure_domain
        if vm.role is Role.ENTRY and near:
            found.entries.append(vm.vm_id)
        elif vm.role is Role.AGENT and vm.group == group:
            (found.here if near else found.away).append(vm.vm_id)
    return found


def compute_subset(
    board: Blackboard, group: GroupName, last: Subset | None = None
) -> Iterator[Subset]:
    """
    Work out the servers of a group that this entry talks to, bit by bit.

    Most are of its own failure domain, a few of the others, for when its own can
    take no more. The last subset that is yielded is the result; what a change left
    as it was is taken over from ``last``.
    """
    me = board.identity.vm_id
    found = candidates_of(board, group)
    subset = Subset([], best(f"spill/{me}", found.away, SPILL_SUBSET_SIZE), found)
    if last is not None and last.candidates.same_domain(found):
        subset.near = last.near
    elif len(found.here) <= SUBSET_SIZE:
        subset.near = sorted(found.here)
    else:
        assignment = Assignment.of({*found.entries, me}, found.here, SUBSET_SIZE)
        subset.near = assignment.chosen[me]
        for _ in assignment.turns():
            yield subset
    yield subset


def subset_of(board: Blackboard, group: GroupName) -> list[Vm]:
    """
    Return the servers that an entry talks to, as last worked out.

    Cheap enough for the path of a request: the controller of heartbeats works
    subsets out again after a change of the members, here it happens only on first
    use.
    """
    members = board.members
    if group not in members.subsets:
        *_, members.subsets[group] = compute_subset(board, group)
    subset = members.subsets[group]
    names = chain(subset.near, subset.far)
    return [members.vms[name] for name in names if name in members.vms]


def refresh_subsets(board: Blackboard) -> Iterator[None]:
    """
    Work the subsets out again if the members changed.

    It yields between steps of a few milliseconds, so that requests can go on.
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
