"""The blackboard's section on members."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .contact import Contact
from .tree import control_ranking
from .vm import Role, Vm
from .vm_list_copy import VmListCopy

if TYPE_CHECKING:
    from ..identifiers import FailureDomain, GroupName, Incarnation, VmId
    from .subset import Subset


@dataclass(slots=True)
class Evidence:
    """
    What this process found out about a VM by itself.

    It goes before the VM list. ``suspect_until`` is the time before which nobody
    counts on the VM, ``failures`` how many calls in a row failed, ``trusted_until``
    the time until which it counts as live although the list lacks it.
    """

    suspect_until: float = 0.0
    failures: int = 0
    trusted_until: float = 0.0
    incarnation: Incarnation | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Ranking:
    """A failure domain's VMs in the agreed order, as of a generation of members."""

    generation: int
    vm_ids: list[VmId]


@dataclass(slots=True)
class MembersSection:
    """
    The VMs that the process knows; written by the membership controller.

    ``vms`` is the VM list corrected by evidence, ``listed`` the list as it came,
    ``listed_at`` when it was last heard. ``generation`` grows with each change, so
    that what is worked out from the members need not be worked out again: the
    rankings, and the subsets of servers by group. ``copy`` is what is handed on.
    """

    vms: dict[VmId, Vm] = field(default_factory=dict)
    listed: dict[VmId, Vm] = field(default_factory=dict)
    listed_at: float = 0.0
    generation: int = 0
    evidence: dict[VmId, Evidence] = field(default_factory=dict)
    contact: Contact = field(default_factory=Contact)
    rankings: dict[FailureDomain, Ranking] = field(default_factory=dict)
    subsets: dict[GroupName, Subset] = field(default_factory=dict)
    subsets_generation: int = 0
    copy: VmListCopy = field(default_factory=VmListCopy)

    def agents(
        self, group: GroupName, failure_domain: FailureDomain | None = None
    ) -> list[Vm]:
        """Return the backend server VMs of a group, in one domain or in all."""
        return [
            vm
            for vm in self.vms.values()
            if vm.role is Role.AGENT
            and vm.group == group
            and failure_domain in (None, vm.failure_domain)
        ]

    def counts_on(self, vm: Vm, now: float) -> bool:
        """Return whether a VM is to be counted on for control."""
        found = self.evidence.get(vm.vm_id)
        if found is None:
            return not vm.leaving
        return not vm.leaving and not found.leaving and found.suspect_until <= now

    def ranking(self, failure_domain: FailureDomain) -> list[VmId]:
        """Return a domain's VMs in the agreed order, ranked once a change."""
        ranking = self.rankings.get(failure_domain)
        if ranking is None or ranking.generation != self.generation:
            ids = [
                vm.vm_id
                for vm in self.vms.values()
                if vm.failure_domain == failure_domain
            ]
            ranked_ids = control_ranking(failure_domain, ids)
            ranking = Ranking(self.generation, ranked_ids)
            self.rankings[failure_domain] = ranking
        return ranking.vm_ids

    def live_ranking(
        self, failure_domain: FailureDomain, me: VmId, now: float
    ) -> list[VmId]:
        """Return the ranking without those that this process cannot count on."""
        return [
            vm_id
            for vm_id in self.ranking(failure_domain)
            if vm_id == me or self.counts_on(self.vms[vm_id], now)
        ]
