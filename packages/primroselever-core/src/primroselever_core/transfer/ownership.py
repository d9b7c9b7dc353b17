"""The owners of each chunk, by rendezvous hashing, and the suspect sources."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..identifiers import FailureDomain, VmId, WeightsDigest
    from .neighbourhood import Neighbourhood
    from .sources import Source

OWNERS_PER_CHUNK = 3


def owners(digest: WeightsDigest, index: int, vm_ids: Iterable[VmId]) -> list[VmId]:
    """Return the owner of a chunk and its fallback owners, in order."""
    return ranked(f"{digest}/{index}", vm_ids)


@dataclass(slots=True)
class Ownership:
    """
    Owners and fallback owners of chunks, in this failure domain and in others.

    ``suspects`` maps the names of sources that failed to deadlines; they are not
    asked for chunks until then. ``rankings`` caches the rankings of VMs.
    """

    digest: WeightsDigest
    neighbourhood: Neighbourhood
    suspects: dict[str, float] = field(default_factory=dict)
    rankings: dict[tuple[int, FailureDomain], list[VmId]] = field(default_factory=dict)

    def update(self, neighbourhood: Neighbourhood) -> bool:
        """Replace the neighbourhood; return whether it has changed."""
        if neighbourhood == self.neighbourhood:
            return False
        self.neighbourhood = neighbourhood
        self.rankings.clear()
        return True

    def ranking(self, index: int, domain: FailureDomain | None = None) -> list[VmId]:
        """
        Return the VMs of a domain in order of ownership of a chunk.

        The default is this VM's own failure domain.
        """
        domain = domain or self.neighbourhood.own_domain
        key = (index, domain)
        if key not in self.rankings:
            vm_ids = self.neighbourhood.vm_ids[domain]
            self.rankings[key] = owners(self.digest, index, vm_ids)
        return self.rankings[key]

    def trusted_owners(
        self, index: int, now: float, domain: FailureDomain | None = None
    ) -> list[VmId]:
        """Return the first few VMs of a ranking that are not suspect."""
        trusted: list[VmId] = []
        for vm_id in self.ranking(index, domain):
            if self.is_trusted(vm_id, now):
                trusted.append(vm_id)
                if len(trusted) == OWNERS_PER_CHUNK:
                    break
        return trusted

    def is_owned(self, index: int) -> bool:
        """Return whether this VM is the first owner of a chunk."""
        return self.ranking(index)[0] == self.neighbourhood.own_id

    def is_trusted(self, name: str, now: float) -> bool:
        """Return whether a source is not suspect now."""
        return self.suspects.get(name, 0.0) <= now

    def mark_suspect(self, source: Source, deadline: float) -> None:
        """Suspect a source until a deadline; an earlier deadline has no effect."""
        name = source.name
        self.suspects[name] = max(deadline, self.suspects.get(name, 0.0))
