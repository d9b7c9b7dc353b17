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
    The value in force and the last refusal; written by the profiles controller.

    ``accepted_from`` names the source of the value in force. ``previous_text`` is the
    value before it, from which patches are made for peers that still hold that value.
    ``refused_revision`` is the highest refused revision, and ``refused_findings`` are
    the reasons. ``service`` is the state of the contact to the configuration service.
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
