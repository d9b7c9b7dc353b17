"""
What happens to the section on members: typed events, applied one by one.

Direct evidence goes before the VM list, which lags: it may drop VMs that live and
keep VMs that are dead.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from ..backoff import backoff_s
from .section import Evidence, MembersSection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..identifiers import Incarnation, VmId
    from .vm import Vm

SUSPECT_FIRST_S = 2.0
SUSPECT_LONGEST_S = 30.0
TRUST_HEARD_S = 60.0


@dataclass(frozen=True, slots=True)
class VmListHeard:
    """A VM list came, from the platform or from a peer of the domain."""

    vms: Mapping[VmId, Vm]


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """A VM spoke for itself, in a heartbeat or in its reply to one."""

    vm_id: VmId
    incarnation: Incarnation
    leaving: bool


@dataclass(frozen=True, slots=True)
class PeerMissed:
    """A call to a VM was refused or stayed without a reply."""

    vm_id: VmId


MemberEvent = VmListHeard | PeerHeard | PeerMissed


@singledispatch
def apply(event: object, section: MembersSection, now: float) -> None:
    """Change the section as an event says."""
    raise TypeError(f"{type(event).__name__} does not concern the members")


@apply.register
def vm_list_heard(event: VmListHeard, section: MembersSection, now: float) -> None:
    """Take in a list; keep the VMs that it lacks but that were heard lately."""
    if not event.vms:
        return
    section.listed_at = now
    section.listed = dict(event.vms)
    correct(section, now)


@apply.register
def peer_heard(event: PeerHeard, section: MembersSection, now: float) -> None:
    """Clear a suspicion; a VM that is leaving says so for good."""
    found = section.evidence.setdefault(event.vm_id, Evidence())
    if found.incarnation != event.incarnation:
        found.incarnation = event.incarnation
        found.leaving = False
    found.leaving = found.leaving or event.leaving
    found.failures = 0
    found.suspect_until = 0.0
    found.trusted_until = now + TRUST_HEARD_S


@apply.register
def peer_missed(event: PeerMissed, section: MembersSection, now: float) -> None:
    """Suspect a VM, longer with each failure in a row."""
    found = section.evidence.setdefault(event.vm_id, Evidence())
    found.failures += 1
    wait_s = backoff_s(found.failures, SUSPECT_FIRST_S, SUSPECT_LONGEST_S)
    found.suspect_until = now + wait_s
    found.trusted_until = 0.0


def correct(section: MembersSection, now: float) -> None:
    """Work out the members from the list and the evidence."""
    vms = dict(section.listed)
    for vm_id, vm in section.vms.items():
        found = section.evidence.get(vm_id)
        if vm_id not in vms and found is not None and found.trusted_until > now:
            vms[vm_id] = vm
    for vm_id in [v for v in section.evidence if v not in vms]:
        del section.evidence[vm_id]
    if vms != section.vms:
        section.vms = vms
        section.generation += 1
