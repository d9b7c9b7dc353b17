"""The owners of each chunk, by rendezvous hash, and which of them are suspect."""

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
    Owners and fallback owners, in this failure domain and in others.

    ``suspects`` maps the names of sources that failed to their deadlines; until
    then nothing is asked of them.
    """

    digest: WeightsDigest
    neighbourhood: Neighbourhood
    suspects: dict[str, float] = field(default_factory=dict)
    rankings: dict[tuple[int, FailureDomain], list[VmId]] = field(default_factory=dict)

    def meet(self, neighbourhood: Neighbourhood) -> bool:
        """Take in a VM list; return whether it changed anything."""
        if neighbourhood == self.neighbourhood:
            return False
        self.neighbourhood = neighbourhood
        self.rankings.clear()
        return True

    def ranking(self, index: int, domain: FailureDomain | None = None) -> list[VmId]:
        """Return the VMs of a domain, or this one, in the order of ownership."""
        domain = domain or self.neighbourhood.domain
        key = (index, domain)
        if key not in self.rankings:
            vms = self.neighbourhood.vms[domain]
            self.rankings[key] = owners(self.digest, index, vms)
        return self.rankings[key]

    def owners(
        self, index: int, now: float, domain: FailureDomain | None = None
    ) -> list[VmId]:
        """Return the first few VMs of a ranking that are not suspect."""
        found: list[VmId] = []
        for vm_id in self.ranking(index, domain):
            if self.trusted(vm_id, now):
                found.append(vm_id)
                if len(found) == OWNERS_PER_CHUNK:
                    break
        return found

    def owned(self, index: int) -> bool:
        """Return whether this VM is the first owner of a chunk."""
        return self.ranking(index)[0] == self.neighbourhood.mine

    def trusted(self, name: str, now: float) -> bool:
        """Return whether a source is not suspect now."""
        return self.suspects.get(name, 0.0) <= now

    def suspect(self, source: Source, deadline: float) -> None:
        """Ask a source for nothing until a deadline."""
        name = source.name
        self.suspects[name] = max(deadline, self.suspects.get(name, 0.0))
