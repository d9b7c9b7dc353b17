"""
The blackboard: the state of a process, divided into sections.

Each section is written by one controller and may be read by all of them. ``runs`` and
``transfers`` are None in an entry; the other sections exist in every process.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .membership.section import MembersSection
from .profiles.section import ProfilesSection
from .routing.section import ServersSection
from .suspects.section import SuspectsSection

if TYPE_CHECKING:
    from .identity import Identity
    from .runs.registry import RunRegistry
    from .transfer.section import TransfersSection


@dataclass(slots=True)
class Blackboard:
    """The sections of one process."""

    identity: Identity
    leaving: bool = False
    profiles: ProfilesSection = field(default_factory=ProfilesSection)
    members: MembersSection = field(default_factory=MembersSection)
    servers: ServersSection = field(default_factory=ServersSection)
    suspects: SuspectsSection = field(default_factory=SuspectsSection)
    runs: RunRegistry | None = None
    transfers: TransfersSection | None = None
