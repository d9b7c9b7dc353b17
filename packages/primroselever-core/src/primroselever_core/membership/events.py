"""
The events that change the members section of the blackboard.

Direct evidence takes precedence over the VM list. The list lags behind: it may lack
VMs that are live and still contain VMs that are dead.
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

FIRST_SUSPICION_S = 2.0
MAX_SUSPICION_S = 30.0
TRUST_AFTER_REPORT_S = 60.0


@dataclass(frozen=True, slots=True)
class VmListReceived:
    """A VM list was received from the platform or from a peer of the domain."""

    vms: Mapping[VmId, Vm]


@dataclass(frozen=True, slots=True)
class PeerReported:
    """A VM reported its own state in a heartbeat or in a reply to one."""

    vm_id: VmId
    incarnation: Incarnation
    leaving: bool


@dataclass(frozen=True, slots=True)
class PeerCallFailed:
    """A call to a VM was refused or got no reply."""

    vm_id: VmId


MemberEvent = VmListReceived | PeerReported | PeerCallFailed


@singledispatch
def apply(event: object, section: MembersSection, now: float) -> None:
    """Apply an event to the section; raise ``TypeError`` for an unknown event."""
    raise TypeError(f"{type(event).__name__} is not an event of the members section")


@apply.register
def apply_vm_list(event: VmListReceived, section: MembersSection, now: float) -> None:
    """
    Store a VM list, unless it is empty.

    VMs that the list lacks remain members if they reported recently.
    """
    if not event.vms:
        return
    section.listed_at = now
    section.listed = dict(event.vms)
    update_members(section, now)


@apply.register
def apply_peer_report(event: PeerReported, section: MembersSection, now: float) -> None:
    """
    Clear the suspicion against a VM.

    A VM that has reported that it is leaving stays so until its next incarnation.
    """
    evidence = section.evidence.setdefault(event.vm_id, Evidence())
    if evidence.incarnation != event.incarnation:
        evidence.incarnation = event.incarnation
        evidence.leaving = False
    evidence.leaving = evidence.leaving or event.leaving
    evidence.failures = 0
    evidence.suspect_until = 0.0
    evidence.trusted_until = now + TRUST_AFTER_REPORT_S


@apply.register
def apply_failed_call(
    event: PeerCallFailed, section: MembersSection, now: float
) -> None:
    """Suspect a VM, for longer with each consecutive failure."""
    evidence = section.evidence.setdefault(event.vm_id, Evidence())
    evidence.failures += 1
    wait_s = backoff_s(evidence.failures, FIRST_SUSPICION_S, MAX_SUSPICION_S)
    evidence.suspect_until = now + wait_s
    evidence.trusted_until = 0.0


def update_members(section: MembersSection, now: float) -> None:
    """Recompute the members from the VM list and the evidence."""
    vms = dict(section.listed)
    for vm_id, vm in section.vms.items():
        evidence = section.evidence.get(vm_id)
        if vm_id not in vms and evidence is not None and evidence.trusted_until > now:
            vms[vm_id] = vm
    for vm_id in [v for v in section.evidence if v not in vms]:
        del section.evidence[vm_id]
    if vms != section.vms:
        section.vms = vms
        section.generation += 1
