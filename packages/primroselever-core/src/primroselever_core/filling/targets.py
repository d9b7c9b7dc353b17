"""
Which of the named versions an engine is filled with.

Answers the pattern of versions that are named in quick succession, or while their
pieces cannot be had: a fill that is well under way is ended first, since a version in
hand keeps the engine in service, and while the newest version's pieces do not come an
older one that is newer than what the engine serves is better than none.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .section import WantedWeights

FINISHED_FIRST_SHARE = 0.5  # of the pieces; a fill beyond it is sooner ended than begun
UNAVAILABLE_S = 1.0  # for so long a version whose pieces did not come is passed over
TARGETS_REMEMBERED = 4


@dataclass(slots=True)
class Targets:
    """The versions that were named, oldest first, and those that cannot be had now."""

    named: list[WantedWeights] = field(default_factory=list)
    unavailable_until: dict[int, float] = field(default_factory=dict)

    @property
    def newest(self) -> WantedWeights | None:
        """Return the newest version, None before any is known."""
        return self.named[-1] if self.named else None

    def name(self, wanted: WantedWeights) -> bool:
        """Take in what is wanted; return whether it is a newer version."""
        newest = self.newest
        if newest is not None and newest.model != wanted.model:
            self.named.clear()
            newest = None
        if newest is not None and wanted.version < newest.version:
            return False
        if newest is not None and wanted.version == newest.version:
            bound_at = min(newest.bound_at, wanted.bound_at)
            self.named[-1] = replace(wanted, bound_at=bound_at)
            return False
        self.named.append(wanted)
        del self.named[:-TARGETS_REMEMBERED]
        return True

    def unavailable(self, version: int, now: float) -> None:
        """Take in that the pieces of a version do not come."""
        self.unavailable_until[version] = now + UNAVAILABLE_S

    def choose(
        self, served: int, filling: int, held_share: float, now: float
    ) -> WantedWeights | None:
        """
        Return what to fill an engine with that serves a version, None for nothing.

        ``filling`` is the version that is being filled, 0 for none, ``held_share`` the
        share of its pieces that is there.
        """
        newer = [wanted for wanted in self.named if wanted.version > served]
        if not newer:
            return None
        available = [
            wanted
            for wanted in newer
            if self.unavailable_until.get(wanted.version, 0.0) <= now
        ]
        chosen = (available or newer)[-1]
        if held_share >= FINISHED_FIRST_SHARE:
            for wanted in available:
                if wanted.version == filling:
                    chosen = wanted
        # The bound of an older version that the engine did not reach holds as well.
        newest = newer[-1]
        return replace(
            chosen,
            bound_at=min(wanted.bound_at for wanted in newer),
            rank=newest.rank,
            group_size=newest.group_size,
        )
