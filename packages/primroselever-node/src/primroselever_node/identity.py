"""Creation of the identity of a process when it starts."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from primroselever_core.identifiers import FailureDomain, Incarnation, Region, VmId
from primroselever_core.identity import Identity

if TYPE_CHECKING:
    from .settings.model import ProcessSettings

INCARNATION_BITS = 62


def create_identity(settings: ProcessSettings) -> Identity:
    """Return the identity of a process, with a new random incarnation number."""
    return Identity(
        vm_id=VmId(settings.vm_id),
        failure_domain=FailureDomain(settings.failure_domain),
        region=Region(settings.region),
        incarnation=Incarnation(secrets.randbits(INCARNATION_BITS) | 1),
    )
