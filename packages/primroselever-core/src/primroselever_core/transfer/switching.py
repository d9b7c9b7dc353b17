"""The conditions and the fencing number for switching an engine's version."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..identifiers import VmId, WeightsDigest

ORDERS_PER_REVISION = 1 << 16
PLAN_VALID_S = 25.0


@dataclass(frozen=True, slots=True)
class SwitchDelay:
    """The switch has to wait for the given reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class SwitchPlan:
    """
    An order to an engine that is decided but not sent yet.

    It is valid until ``deadline``. A process that was paused past it must decide
    again, since other VMs may have acted in the meantime.
    """

    digest: WeightsDigest
    revision: int
    fencing: int
    deadline: float


@dataclass(frozen=True, slots=True)
class PeerState:
    """The state that a peer reports; ``serving`` is None if it has no weights."""

    vm_id: VmId
    serving: WeightsDigest | None


def fencing_number(revision: int, order: int, current: int) -> int:
    """
    Return a number above the engine's current one.

    Numbers increase with the revision and, within a revision, with the order.

    >>> fencing_number(3, 1, current=0) < fencing_number(3, 2, current=0)
    True
    >>> fencing_number(3, 1, current=900000)
    900001
    """
    return max(revision * ORDERS_PER_REVISION + order, current + 1)


def plan_objection(
    plan: SwitchPlan, digest: WeightsDigest | None, revision: int, now: float
) -> SwitchDelay | None:
    """Return why a plan must no longer be carried out, or None if it may be."""
    if now >= plan.deadline:
        return SwitchDelay("the plan is too old, as after a pause")
    if revision > plan.revision:
        return SwitchDelay(
            f"revision {revision} is in force, the plan is of {plan.revision}"
        )
    if digest != plan.digest:
        return SwitchDelay("another version is wanted now")
    return None


def reason_to_keep_serving(
    mine: PeerState,
    peers: Iterable[PeerState],
    wanted: WeightsDigest,
    min_serving: int,
) -> SwitchDelay | None:
    """
    Return why this VM has to continue serving its old version, or None.

    ``peers`` are the VMs of the failure domain that answer and are not leaving. The VMs
    that serve nothing count first towards those that ``min_serving`` allows to be idle.
    The rest of that number is for VMs that serve an old version, in a ranking that is
    the same on all VMs. A VM with an older view counts more VMs before itself, so that
    views of different ages never let too many VMs stop serving.
    """
    if mine.serving is None:
        return None
    vms = [mine, *peers]
    max_not_serving = len(vms) - min_serving
    if max_not_serving <= 0:
        return SwitchDelay(
            f"min_serving {min_serving} of {len(vms)} VMs lets no VM stop serving"
        )
    idle = sum(1 for vm in vms if vm.serving is None)
    outdated = [vm.vm_id for vm in vms if vm.serving not in (None, wanted)]
    next_vm_ids = ranked(f"switch {wanted}", outdated)[: max(0, max_not_serving - idle)]
    if mine.vm_id in next_vm_ids:
        return None
    return SwitchDelay(
        f"{idle} of at most {max_not_serving} VMs serve nothing, and others rank first"
    )
