"""
The blackboard: all that a process knows, in sections.

Each section has one controller that writes it; any controller may read all of
them. An entry leaves the agent's sections at None and the other way round.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .membership.section import MembersSection
from .profiles.section import ProfilesSection
from .routing.section import ServersSection
from .suspects.section import SuspectsSection

if TYPE_CHECKING:
    from .identifiers import FailureDomain, Incarnation, Region, VmId
    from .runs.registry import RunRegistry
    from .transfer.section import TransfersSection


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is; fixed for its lifetime."""

    vm_id: VmId
    failure_domain: FailureDomain
    region: Region
    incarnation: Incarnation


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
