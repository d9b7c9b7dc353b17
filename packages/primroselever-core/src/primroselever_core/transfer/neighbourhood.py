"""The VMs of a group by failure domain, for the transfer planner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import FailureDomain, Region, VmId
    from ..membership.vm import Vm


@dataclass(frozen=True, slots=True)
class Neighbourhood:
    """
    The VMs of a group by failure domain, including this one.

    ``chain`` lists the failure domains in the order in which one copy passes through
    the fleet under the objective ``origin_bytes``: the domain of the weight store,
    then the others of its region, then the rest. In this order the link between
    regions carries one copy, and no domain sends more than one.
    """

    own_id: VmId
    own_domain: FailureDomain
    chain: tuple[FailureDomain, ...]
    vm_ids: dict[FailureDomain, tuple[VmId, ...]]

    @classmethod
    def of(
        cls,
        own_id: VmId,
        own_domain: FailureDomain,
        agents: list[Vm],
        store_domain: FailureDomain | None,
    ) -> Neighbourhood:
        """
        Return the neighbourhood of a VM, built from the agents of its group.

        If the domain of the weight store is unknown, the chain starts with the first
        domain by name, so that all processes use the same chain.
        """
        ids: dict[FailureDomain, set[VmId]] = {own_domain: {own_id}}
        regions: dict[FailureDomain, Region] = {}
        for vm in agents:
            regions[vm.failure_domain] = vm.region
            if not vm.leaving:
                ids.setdefault(vm.failure_domain, set()).add(vm.vm_id)
        first = store_domain if store_domain in ids else min(ids)
        region = regions.get(first)
        chain = sorted(ids, key=lambda d: (d != first, regions.get(d) != region, d))
        vm_ids = {d: tuple(sorted(v)) for d, v in ids.items()}
        return cls(own_id, own_domain, tuple(chain), vm_ids)

    @property
    def local_vm_ids(self) -> tuple[VmId, ...]:
        """Return the VMs of this failure domain."""
        return self.vm_ids[self.own_domain]

    @property
    def upstream(self) -> tuple[FailureDomain, ...]:
        """Return the previous domain in the chain and the first one, if any."""
        position = self.chain.index(self.own_domain)
        if position == 0:
            return ()
        return tuple(dict.fromkeys((self.chain[position - 1], self.chain[0])))
