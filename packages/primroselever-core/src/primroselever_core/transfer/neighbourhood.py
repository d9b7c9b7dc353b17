"""The VMs of a group as the transfer planner sees them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import FailureDomain, Region, VmId
    from ..membership.vm import Vm


@dataclass(frozen=True, slots=True)
class Neighbourhood:
    """
    The VMs of the group by failure domain, this one among them.

    ``chain`` are the failure domains in the order in which one copy goes through
    the fleet under the objective ``origin_bytes``: that of the weight store first,
    then the others of its region, then the rest, so that the link between regions
    carries one copy and no domain sends more than one.
    """

    mine: VmId
    domain: FailureDomain
    chain: tuple[FailureDomain, ...]
    vms: dict[FailureDomain, tuple[VmId, ...]]

    @classmethod
    def of(
        cls,
        mine: VmId,
        domain: FailureDomain,
        agents: list[Vm],
        store_domain: FailureDomain | None,
    ) -> Neighbourhood:
        """
        Return the neighbourhood in a VM list.

        Without a known store domain the first one by name is taken, on which all
        processes agree.
        """
        found: dict[FailureDomain, set[VmId]] = {domain: {mine}}
        regions: dict[FailureDomain, Region] = {}
        for vm in agents:
            regions[vm.failure_domain] = vm.region
            if not vm.leaving:
                found.setdefault(vm.failure_domain, set()).add(vm.vm_id)
        home = store_domain if store_domain in found else min(found)
        near = regions.get(home)
        chain = sorted(found, key=lambda d: (d != home, regions.get(d) != near, d))
        vms = {d: tuple(sorted(v)) for d, v in found.items()}
        return cls(mine, domain, tuple(chain), vms)

    @property
    def near(self) -> tuple[VmId, ...]:
        """Return the VMs of this failure domain."""
        return self.vms[self.domain]

    @property
    def upstream(self) -> tuple[FailureDomain, ...]:
        """Return the domain before this one in the chain, and the first one."""
        position = self.chain.index(self.domain)
        if position == 0:
            return ()
        return tuple(dict.fromkeys((self.chain[position - 1], self.chain[0])))
