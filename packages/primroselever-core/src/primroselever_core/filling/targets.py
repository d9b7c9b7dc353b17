"""
Selection of the published version that an engine is filled with.

Versions may be published in quick succession, or while their pieces are unavailable. A
fill in progress is replaced by one of a newer version once a piece of that version has
arrived, unless completing the older version first leaves the engine without weights
that may serve for a shorter time. While the newest version's pieces are unavailable,
the engine is filled with an older version that is newer than the one it serves.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .section import WantedWeights

LOAD_S = 0.3  # for an engine to load weights that are staged
ASSUMED_FILL_S = 5.0  # until a fill has been measured
KEPT_SHARE = 0.5  # a fill of the newest version with more of its pieces is not replaced
UNAVAILABLE_S = 1.0  # a version whose pieces did not arrive is skipped for this long
MAX_TARGETS = 4


@dataclass(slots=True)
class Targets:
    """
    The published versions, oldest first, and those whose pieces are unavailable.

    ``confirmed`` holds the versions of which a piece has arrived, and ``fill_s`` is the
    time that the last complete fill took, in seconds.
    """

    versions: list[WantedWeights] = field(default_factory=list)
    unavailable_until: dict[int, float] = field(default_factory=dict)
    confirmed: set[int] = field(default_factory=set)
    fill_s: float = ASSUMED_FILL_S

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
            self.unavailable_until.clear()
            self.confirmed.clear()
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

    def confirm_available(self, version: int) -> None:
        """Record that a piece of a version has arrived."""
        self.confirmed.add(version)

    def mark_unavailable(self, version: int, now: float) -> None:
        """Skip a version for some time, because its pieces did not arrive."""
        self.confirmed.discard(version)
        self.unavailable_until[version] = now + UNAVAILABLE_S

    def find_unconfirmed(self, filling: int) -> WantedWeights | None:
        """
        Return the newest version if another one is being filled and none of its pieces
        has arrived yet.
        """
        newest = self.newest
        if newest is None or newest.version <= filling:
            return None
        return None if newest.version in self.confirmed else newest

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
        # The bounds of older versions that the engine skipped still apply.
        bound_at = min(wanted.bound_at for wanted in newer)
        lapses_at = bound_at if served else now
        started = next((wanted for wanted in newer if wanted.version == filling), None)
        if started is None or not held_share:
            chosen = self.choose_new_fill(newer, now)
        else:
            chosen = self.choose_during_fill(started, newer, held_share, lapses_at, now)
        newest = newer[-1]
        return replace(
            chosen, bound_at=bound_at, rank=newest.rank, group_size=newest.group_size
        )

    def choose_new_fill(self, newer: list[WantedWeights], now: float) -> WantedWeights:
        """Return the newest version that is available, or the newest of all."""
        newest = newer[-1]
        available = [
            wanted
            for wanted in newer
            if self.unavailable_until.get(wanted.version, 0.0) <= now
            and (wanted is newest or newest.bound_at > now + self.fill_s)
        ]
        return (available or newer)[-1]

    def choose_during_fill(
        self,
        started: WantedWeights,
        newer: list[WantedWeights],
        held_share: float,
        lapses_at: float,
        now: float,
    ) -> WantedWeights:
        """
        Return whether to continue a fill that was started, or which one to begin.

        ``lapses_at`` is when the engine stops serving without newer weights. The fill
        is replaced by one of the newest version if that shortens the time in which the
        engine has no weights that may serve.
        """
        newest = newer[-1]
        if started is newest:
            if held_share >= KEPT_SHARE:
                return newest
            return self.choose_new_fill(newer, now)
        if newest.version not in self.confirmed:
            return started
        started_complete_at = now + (1.0 - held_share) * self.fill_s + LOAD_S
        newest_second_at = started_complete_at + self.fill_s + LOAD_S
        newest_first_at = now + self.fill_s + LOAD_S
        gap_started_first_s = max(0.0, started_complete_at - lapses_at) + max(
            0.0, newest_second_at - newest.bound_at
        )
        gap_newest_first_s = max(0.0, newest_first_at - lapses_at)
        return started if gap_started_first_s < gap_newest_first_s else newest
