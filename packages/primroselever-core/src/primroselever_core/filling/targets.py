"""
Selection of the published version that an engine is filled with.

Versions may be published in quick succession, or while their pieces are unavailable.
The order in which they are loaded is decided in :mod:`.plan`.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from .plan import CHANGE_GAIN_S, Remaining, choose_order
from .switching import BOUND_MARGIN_S, LOAD_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .lapses import WeightLapses
    from .section import WantedWeights

MAX_TARGETS = 4


@dataclass(slots=True)
class Targets:
    """The published versions, oldest first."""

    versions: list[WantedWeights] = field(default_factory=list)

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

    def drop_older(self, model: str, version: int) -> None:
        """Drop the versions of a model before one, as engines do not return to them."""
        self.versions = [
            each
            for each in self.versions
            if each.model != model or each.version >= version
        ]

    def drop_lapsed(self, lapses: WeightLapses, now: float) -> None:
        """Drop the versions that lapse before an engine could have loaded them."""
        loaded_at = now + LOAD_S
        self.versions = [
            each
            for each in self.versions
            if not lapses.has_lapsed(each.model, each.version, loaded_at)
        ]

    def newer_than(self, served: int) -> list[WantedWeights]:
        """Return the versions that are newer than the served one, oldest first."""
        return [wanted for wanted in self.versions if wanted.version > served]

    def served_until(self, served: int, now: float) -> float:
        """Return until when entries use an engine that serves a version."""
        newer = self.newer_than(served)
        if not served or not newer:
            return now
        # The bounds of older versions that the engine skipped still apply.
        return min(wanted.bound_at for wanted in newer) - BOUND_MARGIN_S

    def choose_versions(
        self,
        served: int,
        chosen: int,
        remaining: Mapping[int, Remaining],
        now: float,
        change_gain_s: float = CHANGE_GAIN_S,
    ) -> list[WantedWeights]:
        """
        Return the versions to fill an engine with in this order, none if it is current.

        ``served`` is the version that the engine serves and ``chosen`` the one that is
        being filled, 0 for none; ``remaining`` says what is left of each version. The
        bound of all is the one from which the engine may not serve what it has.
        """
        newer = self.newer_than(served)
        if not newer:
            return []
        bound_at = min(wanted.bound_at for wanted in newer)
        order = choose_order(
            newer,
            dict(remaining),
            self.served_until(served, now),
            chosen,
            now,
            change_gain_s,
        )
        newest = newer[-1]
        return [
            replace(
                wanted,
                bound_at=bound_at,
                rank=newest.rank,
                group_size=newest.group_size,
            )
            for wanted in order
        ]
