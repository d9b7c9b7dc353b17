"""
Selection of the published version that an engine is filled with.

Versions may be published in quick succession, or while their pieces are unavailable. A
fill that has most of its pieces is completed first, since a complete version keeps the
engine in service. While the newest version's pieces are unavailable, the engine is
filled with an older version that is newer than the one it serves.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .section import WantedWeights

# Share of the pieces from which completing a fill is faster than starting another one.
FINISH_FIRST_SHARE = 0.5
UNAVAILABLE_S = 1.0  # a version whose pieces did not arrive is skipped for this long
MAX_TARGETS = 4


@dataclass(slots=True)
class Targets:
    """The published versions, oldest first, and those whose pieces are unavailable."""

    versions: list[WantedWeights] = field(default_factory=list)
    unavailable_until: dict[int, float] = field(default_factory=dict)

    @property
    def newest(self) -> WantedWeights | None:
        """Return the newest version, None if none is known."""
        return self.versions[-1] if self.versions else None

    def add_version(self, wanted: WantedWeights) -> bool:
        """
        Add a published version; return whether it is newer than all known ones.

        For the newest version itself, rank and group size are updated and the earlier
        bound is kept. A version of another model replaces all known ones.
        """
        newest = self.newest
        if newest is not None and newest.model != wanted.model:
            self.versions.clear()
            newest = None
        if newest is not None and wanted.version < newest.version:
            return False
        if newest is not None and wanted.version == newest.version:
            bound_at = min(newest.bound_at, wanted.bound_at)
            self.versions[-1] = replace(wanted, bound_at=bound_at)
            return False
        self.versions.append(wanted)
        del self.versions[:-MAX_TARGETS]
        return True

    def mark_unavailable(self, version: int, now: float) -> None:
        """Skip a version for some time, because its pieces did not arrive."""
        self.unavailable_until[version] = now + UNAVAILABLE_S

    def choose_version(
        self, served: int, filling: int, held_share: float, now: float
    ) -> WantedWeights | None:
        """
        Return what to fill an engine with, None if no newer version is known.

        ``served`` is the version that the engine serves and ``filling`` the one that is
        being filled, 0 for none; ``held_share`` is the share of its pieces held.
        """
        newer = [wanted for wanted in self.versions if wanted.version > served]
        if not newer:
            return None
        available = [
            wanted
            for wanted in newer
            if self.unavailable_until.get(wanted.version, 0.0) <= now
        ]
        chosen = (available or newer)[-1]
        if held_share >= FINISH_FIRST_SHARE:
            for wanted in available:
                if wanted.version == filling:
                    chosen = wanted
        # The bounds of older versions that the engine skipped still apply.
        newest = newer[-1]
        return replace(
            chosen,
            bound_at=min(wanted.bound_at for wanted in newer),
            rank=newest.rank,
            group_size=newest.group_size,
        )
