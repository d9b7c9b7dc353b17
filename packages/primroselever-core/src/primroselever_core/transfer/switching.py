"""When an engine may be ordered to another version, and with which number."""

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
class Wait:
    """The switch has to wait; ``reason`` says what for."""

    reason: str


@dataclass(frozen=True, slots=True)
class SwitchPlan:
    """
    An order to an engine, decided but not yet given.

    It holds until ``deadline``: a process that was paused in between must decide
    anew, since others may have acted in the meantime.
    """

    digest: WeightsDigest
    revision: int
    fencing: int
    deadline: float


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a peer says of itself; ``serving`` is None without weights."""

    vm_id: VmId
    serving: WeightsDigest | None


def fencing_number(revision: int, order: int, current: int) -> int:
    """
    Return a number above the engine's own that grows with revision and order.

    >>> fencing_number(3, 1, current=0) < fencing_number(3, 2, current=0)
    True
    >>> fencing_number(3, 1, current=900000)
    900001
    """
    return max(revision * ORDERS_PER_REVISION + order, current + 1)


def objection(
    plan: SwitchPlan, digest: WeightsDigest | None, revision: int, now: float
) -> Wait | None:
    """Return why a plan must not be carried out any more, or None."""
    if now >= plan.deadline:
        return Wait("the plan is too old, as after a pause")
    if revision > plan.revision:
        return Wait(f"revision {revision} is in force, the plan is of {plan.revision}")
    if digest != plan.digest:
        return Wait("another version is wanted now")
    return None


def may_stop_serving(
    mine: PeerState,
    peers: Iterable[PeerState],
    wanted: WeightsDigest,
    min_serving: int,
) -> Wait | None:
    """
    Return why this VM has to go on serving its old version, or None.

    ``peers`` are those of the failure domain that answer and are not leaving. All
    rank the VMs that do not serve the wanted version in the same way, those that
    serve nothing first, and only as many of them may be out as ``min_serving``
    leaves. A VM that sees an older state counts more VMs before itself, so that
    views of different age never let too many go.
    """
    if mine.serving is None:
        return None
    everyone = [mine, *peers]
    slots = len(everyone) - min_serving
    if slots <= 0:
        return Wait(f"min_serving {min_serving} of {len(everyone)} leaves no room")
    idle = sum(1 for peer in everyone if peer.serving is None)
    old = [p.vm_id for p in everyone if p.serving not in (None, wanted)]
    turns = ranked(f"switch {wanted}", old)[: max(0, slots - idle)]
    if mine.vm_id in turns:
        return None
    return Wait(f"{idle} of {slots} slots are taken, and others come first")
