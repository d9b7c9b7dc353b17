"""
The tree that distributes what the watchers of a failure domain read.

Every process ranks the live VMs of the domain in the same order. The first few are
watchers and read from the platform. Each other VM has a parent closer to the root,
and fallback parents for when the parent does not answer. A parent always ranks
before its child, so that two processes with the same ranking never wait for each
other.

Source of the bounded fan-out: Birman et al., "Bimodal multicast", ACM
Transactions on Computer Systems, 1999, where a tree is likewise repaired by
anti-entropy.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..identifiers import FailureDomain, VmId

WATCHERS = 2
FAN_OUT = 4
FALLBACK_PARENTS = 2


@dataclass(frozen=True, slots=True)
class TreePlace:
    """
    The place of a process in the tree.

    ``parents`` are in the order in which to ask them; a watcher has none.
    """

    position: int
    parents: tuple[VmId, ...] = ()

    @property
    def watches(self) -> bool:
        """Return whether the process is a watcher, which reads from the platform."""
        return self.position < WATCHERS


def control_ranking(
    failure_domain: FailureDomain, vm_ids: Iterable[VmId]
) -> list[VmId]:
    """Return the VMs of a domain in control order, the same for all its processes."""
    return ranked(f"control/{failure_domain}", vm_ids)


def tree_place(me: VmId, ranking: Sequence[VmId]) -> TreePlace:
    """
    Return the place of ``me`` in a ranking of live VMs.

    A process that is not in the ranking, because the VM list lags behind, takes the
    last place.

        >>> tree_place("c", ["a", "b", "c", "d"]).parents
        ('a', 'b')
    """
    try:
        position = ranking.index(me)
    except ValueError:
        position = len(ranking)
    if position < WATCHERS:
        return TreePlace(position)
    parent = (position - WATCHERS) // FAN_OUT
    above = range(max(0, parent - FALLBACK_PARENTS), parent)
    fallback = [*reversed(above), *range(WATCHERS)]
    order = dict.fromkeys([parent, *fallback])
    return TreePlace(position, tuple(ranking[index] for index in order))
