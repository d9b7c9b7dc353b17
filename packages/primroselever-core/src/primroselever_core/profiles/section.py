"""The blackboard's section on profiles."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .revision import NO_REVISION, Revision
from .watch import ServiceContact

if TYPE_CHECKING:
    from ..findings import Finding
    from .revision import AcceptedProfiles


@dataclass(slots=True)
class ProfilesSection:
    """
    What is in force, and what was refused; written by the profiles controller.

    ``accepted_from`` names who offered what is in force. ``previous_text`` is what
    it replaced: patches for peers that still hold that are made from it.
    ``refused_revision`` is the highest revision that was refused, with why.
    ``service`` is what is known of the configuration service.
    """

    accepted: AcceptedProfiles | None = None
    previous_digest: str = ""
    previous_text: str = ""
    accepted_at: float = 0.0
    accepted_from: str = ""
    refused_revision: Revision = NO_REVISION
    refused_findings: list[Finding] = field(default_factory=list)
    service: ServiceContact = field(default_factory=ServiceContact)

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return NO_REVISION if self.accepted is None else self.accepted.revision
