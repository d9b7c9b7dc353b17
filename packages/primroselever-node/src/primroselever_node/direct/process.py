"""What entries and agents of direct deployments share in wiring their parts."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from primroselever_core.board import Identity
from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId

from ..process import INCARNATION_BITS

if TYPE_CHECKING:
    from .settings import DirectSettings


def direct_identity(settings: DirectSettings) -> Identity:
    """Return who a process is, under a fresh incarnation number."""
    return Identity(
        vm_id=VmId(settings.vm_id),
        failure_domain=FailureDomain(settings.failure_domain),
        region=Region(settings.region),
        incarnation=Incarnation(secrets.randbits(INCARNATION_BITS) | 1),
    )


def explain_nothing(_query: dict[str, str]) -> dict[str, Any]:
    """Answer a question about decisions that are not taken here."""
    return {"explanation": "this process decides nothing for a single request"}
