"""The VMs of a group as the transfer planner sees them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import FailureDomain, VmId
    from ..membership.vm import Vm


@dataclass(frozen=True, slots=True)
class Neighbourhood:
    """
    The VMs of the group by failure domain, this one among them.

    ``home`` is the failure domain of the weight store, through which one copy
    enters the fleet under the objective ``origin_bytes``.
    """

    mine: VmId
    domain: FailureDomain
    home: FailureDomain
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
        for vm in agents:
            if not vm.leaving:
                found.setdefault(vm.failure_domain, set()).add(vm.vm_id)
        home = store_domain if store_domain in found else min(found)
        return cls(mine, domain, home, {d: tuple(sorted(v)) for d, v in found.items()})

    @property
    def near(self) -> tuple[VmId, ...]:
        """Return the VMs of this failure domain."""
        return self.vms[self.domain]
