"""The members section of the blackboard."""

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
    What this process has observed of a VM itself.

    It takes precedence over the VM list. The VM is not available before
    ``suspect_until``; ``failures`` is the number of consecutive failed calls. Until
    ``trusted_until`` the VM remains a member even if the list lacks it.
    """

    suspect_until: float = 0.0
    failures: int = 0
    trusted_until: float = 0.0
    incarnation: Incarnation | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Ranking:
    """The VMs of a failure domain in control order, for a generation of members."""

    generation: int
    vm_ids: list[VmId]


@dataclass(slots=True)
class MembersSection:
    """
    The VMs that this process knows; written by the membership controller.

    ``vms`` is the VM list corrected by evidence, ``listed`` the list as received and
    ``listed_at`` the time when it was last received or confirmed. ``generation``
    increases with each change of the members; rankings and server subsets are cached
    until then. ``copy`` is the VM list that other processes fetch from this one.
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

    def is_available(self, vm: Vm, now: float) -> bool:
        """Return whether a VM is neither leaving nor suspect."""
        evidence = self.evidence.get(vm.vm_id)
        if evidence is None:
            return not vm.leaving
        return not vm.leaving and not evidence.leaving and evidence.suspect_until <= now

    def ranking(self, failure_domain: FailureDomain) -> list[VmId]:
        """Return the VMs of a domain in control order; cached by generation."""
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
        """Return the ranking of a domain without the VMs that are not available."""
        return [
            vm_id
            for vm_id in self.ranking(failure_domain)
            if vm_id == me or self.is_available(self.vms[vm_id], now)
        ]
