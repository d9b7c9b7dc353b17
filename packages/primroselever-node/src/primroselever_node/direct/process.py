"""Functions that entries and agents of direct deployments share at start-up."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from primroselever_core.board import Identity
from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId

from ..process import INCARNATION_BITS

if TYPE_CHECKING:
    from .settings import DirectSettings


def create_identity(settings: DirectSettings) -> Identity:
    """Return the identity of a process, with a new random incarnation number."""
    return Identity(
        vm_id=VmId(settings.vm_id),
        failure_domain=FailureDomain(settings.failure_domain),
        region=Region(settings.region),
        incarnation=Incarnation(secrets.randbits(INCARNATION_BITS) | 1),
    )


def explain_no_decisions(_query: dict[str, str]) -> dict[str, Any]:
    """Return the ``/explain`` answer of a process that decides on no requests."""
    return {"explanation": "this process decides nothing for a single request"}
