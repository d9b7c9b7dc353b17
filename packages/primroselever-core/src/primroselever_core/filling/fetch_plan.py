"""The versions that an agent fetches and loads, and the pieces that it requests."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from .link_rate import LinkRate
from .piece_cache import PieceCache
from .plan import (
    CHANGE_GAIN_S,
    RELAXED,
    SLICED_SHARE,
    STEADY_GAIN_S,
    STEADY_S,
    FetchPace,
    Remaining,
    choose_pace,
    choose_request,
    link_order,
)
from .progress import FetchProgress

if TYPE_CHECKING:
    from collections.abc import Collection

    from .section import FillingBoard, WantedWeights


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision to log, with what it was made from."""

    kind: str
    subject: str
    choice: str
    reason: str
    inputs: dict[str, object]


@dataclass(slots=True)
class FetchPlan:
    """
    What an agent fetches.

    ``order`` holds the versions to load, the next one first, and ``fetched`` those that
    the link fetches. ``progress`` maps a version to what is known about its pieces.
    ``serves`` says whether the engine has loaded weights. Until ``steady_until``, the
    chosen version is changed only for a larger gain.
    """

    board: FillingBoard
    cache: PieceCache = field(default_factory=PieceCache)
    rate: LinkRate = field(default_factory=LinkRate)
    model: str = ""
    progress: dict[int, FetchProgress] = field(default_factory=dict)
    order: list[WantedWeights] = field(default_factory=list)
    fetched: list[WantedWeights] = field(default_factory=list)
    pace: FetchPace = RELAXED
    serves: bool = False
    steady_until: float = 0.0

    @property
    def chosen(self) -> WantedWeights | None:
        """Return the weights to fill the engine with now, or None."""
        return self.order[0] if self.order else None

    def held(self, version: int) -> Collection[int]:
        """Return the pieces of a version that are in memory or staged and valid."""
        held = self.cache.held(version)
        staging = self.board.staging
        if staging is not None and (
            (staging.wanted.model, staging.wanted.version) == (self.model, version)
        ):
            return staging.held.union(held)
        return held

    def may_serve(self, now: float) -> bool:
        """Return whether the engine has weights on which requests may start now."""
        return self.serves and (self.chosen is None or now < self.chosen.bound_at)

    def clear(self) -> None:
        """Fetch nothing, as while the engine's state is unknown."""
        self.order, self.fetched = [], []

    def update(self, served_model: str, served: int, now: float) -> list[Decision]:
        """
        Choose the versions to load and to fetch, and the pace; return what changed.

        ``served`` is the version that the engine serves, 0 for none.
        """
        targets = self.board.targets
        newest = targets.newest
        self.serves = served > 0
        if newest is None:
            self.clear()
            return []
        if newest.model != self.model:
            self.model = newest.model
            self.progress.clear()
            self.cache.keep_only(())
        if served_model != self.model:
            served = 0
        newer = targets.newer_than(served)
        remaining = {wanted.version: self.remaining(wanted, now) for wanted in newer}
        previous = self.chosen.version if self.chosen is not None else 0
        served_until = targets.served_until(served, now)
        gain_s = STEADY_GAIN_S if now < self.steady_until else CHANGE_GAIN_S
        self.order = targets.choose_versions(served, previous, remaining, now, gain_s)
        self.fetched = link_order(newer, self.order, remaining, now)
        if not self.order:
            return []
        decisions = []
        chosen = self.order[0]
        if chosen.version != previous:
            self.steady_until = now + STEADY_S
            progress = self.progress[chosen.version]
            progress.start_measurement(self.held(chosen.version), now)
            decisions.append(self.describe_choice(served, served_until, remaining, now))
        decisions += self.update_pace(served_until, now)
        self.drop_versions()
        return decisions

    def remaining(self, wanted: WantedWeights, now: float) -> Remaining:
        """Return what is left of a version."""
        progress = self.progress.setdefault(
            wanted.version, FetchProgress(wanted.version, now)
        )
        held = self.held(wanted.version)
        complete = progress.complete(held)
        return Remaining(
            progress.missing_bytes(held) / self.rate.estimate(now),
            0.0 if complete else progress.available_in_s(now),
            bool(held),
            progress.confirmed or complete,
        )

    def describe_choice(
        self,
        served: int,
        served_until: float,
        remaining: dict[int, Remaining],
        now: float,
    ) -> Decision:
        """Return the choice of the versions and what it was made from."""
        return Decision(
            "version chosen",
            f"{self.model}/{self.order[0].version}",
            " then ".join(str(wanted.version) for wanted in self.order),
            "shortest time without weights that may serve",
            {
                "served": served,
                "left_s": round(served_until - now, 2),
                "bytes_per_s": round(self.rate.estimate(now)),
                "fetch_s": {v: round(left.fetch_s, 2) for v, left in remaining.items()},
                "available_in_s": {
                    v: round(left.available_in_s, 2) for v, left in remaining.items()
                },
            },
        )

    def update_pace(self, served_until: float, now: float) -> list[Decision]:
        """Choose how to request pieces; return the decision if it changed."""
        rate = self.rate.estimate(now)
        if self.pace is RELAXED:  # the rate was measured with few slices at a time
            rate = min(rate / SLICED_SHARE, max(rate, self.rate.start_bytes_per_s))
        fills = []
        for wanted in self.order:
            held = self.held(wanted.version)
            missing_bytes = self.progress[wanted.version].missing_bytes(held)
            fills.append((missing_bytes, served_until))
            served_until = self.board.targets.served_until(wanted.version, now)
        pace = choose_pace(self.may_serve(now), fills, rate, now)
        if pace is self.pace:
            return []
        self.pace = pace
        return [
            Decision(
                "fill pace",
                f"{self.model}/{self.order[0].version}",
                pace.name,
                "bytes missing against the time until the engine may not serve",
                {
                    "missing_bytes": [missing for missing, _until in fills],
                    "left_s": [round(until - now, 2) for _missing, until in fills],
                    "bytes_per_s": round(rate),
                },
            )
        ]

    def drop_versions(self) -> None:
        """Make room in memory for the versions to fetch; drop state of older ones."""
        fetched = {wanted.version for wanted in self.fetched}
        if fetched - self.cache.pieces.keys():
            self.cache.keep_only(fetched)
        known = {wanted.version for wanted in self.board.targets.versions}
        for version in self.progress.keys() - known:
            del self.progress[version]

    def has_room(self) -> bool:
        """Return whether another piece fits into memory."""
        piece_bytes = max(
            (progress.piece_bytes for progress in self.progress.values()), default=0
        )
        return self.cache.used_bytes + piece_bytes <= self.cache.max_bytes

    def allowed_pace(self, now: float) -> FetchPace:
        """Return the pace, reduced while requests to the engine wait in the link."""
        if not self.may_serve(now):
            return self.pace
        concurrent = min(self.pace.concurrent, self.board.link_delay.max_slices(now))
        return replace(self.pace, concurrent=concurrent)

    def next_request(
        self, now: float
    ) -> tuple[FetchProgress, int, WantedWeights] | None:
        """Return the next piece to request and mark it as requested."""
        # Pieces of the version to load later are kept in memory only. Without room they
        # would be fetched again and again.
        fetched = self.fetched if self.has_room() else self.fetched[:1]
        progresses = [self.progress[wanted.version] for wanted in fetched]
        held = [self.held(wanted.version) for wanted in fetched]
        if not progresses:
            return None
        request = choose_request(
            progresses,
            held,
            self.allowed_pace(now),
            now,
            self.board.link_delay.delay_s(now),
        )
        if request is None:
            return None
        progress, index = request
        progress.begin(index, now)
        wanted = next(w for w in self.fetched if w.version == progress.version)
        return progress, index, wanted
