"""
The tree over which a failure domain hands on what its few watchers read.

Every process ranks the domain's live VMs in the same order. The first few watch
the platform; each other one has a parent nearer to the top, and fallback parents
for when that one is silent. A parent always stands above its child, so that two
processes with the same view never wait for one another.

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
    Where a process stands: ``parents`` are to be asked in their order.

    A watcher has none.
    """

    position: int
    parents: tuple[VmId, ...] = ()

    @property
    def watches(self) -> bool:
        """Return whether the process watches the platform itself."""
        return self.position < WATCHERS


def control_ranking(
    failure_domain: FailureDomain, vm_ids: Iterable[VmId]
) -> list[VmId]:
    """Return a domain's VMs in the order that all its processes agree on."""
    return ranked(f"control/{failure_domain}", vm_ids)


def tree_place(me: VmId, ranking: Sequence[VmId]) -> TreePlace:
    """
    Return the place of ``me`` in a ranking of live VMs.

    A process that the ranking lacks, since the VM list lags, takes the last
    place.

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
