"""
The pieces of one version that an agent requests, waits for and lacks.

Pieces are requested in the order in which their owners fetch them, so that the first
ones arrive while the last are still in transit from the origin.

An entry that does not hold a piece keeps the call open while it reads. Such a call does
not use the link, so that another piece can be requested meanwhile, also one of another
version. A piece that failed is requested again after a time that grows with its
failures, and all failed pieces at once when any piece arrives, since the origin is then
back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .switching import expected_complete_at

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from .pieces import PieceDigests

MANIFEST = -1  # takes the place of a piece's index until the manifest is known
WAITING_AFTER_S = 0.35  # a call without a byte for this long waits for the origin
# The delay of a link that gets twice what it carries doubles while a call waits.
LINK_GROWTH = 2.0
# An entry sends the rest of a piece without waiting for the origin. While it is late
# with that, the link may be congested, and no call counts as waiting for this long.
REST_LATE_S = 0.9
MAX_WAITING = 6  # open calls per version that wait for the origin
FIRST_RETRY_S = 0.2  # as entries advise
MAX_RETRY_S = 1.0  # above it, the first piece after an outage would be noticed late
# With all pieces of a version unavailable, an agent makes at most this many calls.
RETRY_INTERVAL_S = 0.1
# Each attempt calls up to four entries. Without a limit, an agent asked for all pieces
# of a version again after each arrival while entries had only a few of them.
MAX_FAILURES_PER_ARRIVAL = 3
# A size for versions of which no piece has arrived: those in use have 2.1 to 2.4 MB.
DEFAULT_VERSION_BYTES = 2_400_000
# The least time that a version without arrivals is expected to need. A larger value
# made agents change the version for each piece that came late.
UNAVAILABLE_S = 0.5


@dataclass(slots=True)
class FetchProgress:
    """
    The state of fetching one version.

    ``requested`` maps the index of a requested piece to the time of the latest byte of
    its answer, ``begun`` holds those of which bytes have arrived, and ``failures`` maps
    a failed piece to the number of failures and the time from which it may be requested
    again. ``stalled_since`` is when the first piece failed, or when all calls waited,
    since the latest arrival. The rate of the fill is measured from ``measured_from``
    on, when ``held_at_start`` pieces were held.
    """

    version: int
    wanted_at: float = 0.0
    manifest: PieceDigests | None = None
    piece_bytes: int = 0
    requested: dict[int, float] = field(default_factory=dict)
    begun: set[int] = field(default_factory=set)
    failures: dict[int, tuple[int, float]] = field(default_factory=dict)
    unavailable: set[int] = field(default_factory=set)
    last_arrival_at: float = 0.0
    stalled_since: float | None = None
    confirmed: bool = False
    retry_at: float = 0.0
    failures_since_arrival: int = 0
    measured_from: float = 0.0
    held_at_start: int = 0

    def start_measurement(self, held: Collection[int], now: float) -> None:
        """Predict the end of the fill from the pieces that arrive from now on."""
        self.measured_from, self.held_at_start = now, len(held)

    def expected_complete_at(self, held: Collection[int], now: float) -> float | None:
        """Return when all pieces will be held at the rate so far, None if unknown."""
        if self.manifest is None:
            return None
        return expected_complete_at(
            self.measured_from,
            self.held_at_start,
            len(held),
            len(self.manifest.digests),
            self.last_arrival_at,
            now,
        )

    def missing(self, held: Collection[int]) -> list[int]:
        """Return the indexes that are not held in ascending order, MANIFEST first."""
        if self.manifest is None:
            return [MANIFEST]
        return [i for i in range(len(self.manifest.digests)) if i not in held]

    def missing_bytes(self, held: Collection[int]) -> int:
        """Return the size of the missing pieces, an assumed one if it is unknown."""
        if self.manifest is None:
            return DEFAULT_VERSION_BYTES
        count = len(self.manifest.digests)
        size = self.piece_bytes or DEFAULT_VERSION_BYTES // max(1, count)
        return size * len(self.missing(held))

    def available_in_s(self, now: float) -> float:
        """
        Return in how many seconds the missing pieces are expected to be available.

        An outage is expected to last as long again as it has lasted.
        """
        if self.stalled_since is None:
            return 0.0
        return max(UNAVAILABLE_S, now - self.stalled_since)

    def waiting_count(self, now: float, link_delay_s: float = 0.0) -> int:
        """
        Return the number of calls that wait for the origin; note a stall.

        Answers may also be late by ``link_delay_s`` because they wait in the link. To
        request further pieces instead of them would only add to it.
        """
        waiting_after_s = WAITING_AFTER_S + LINK_GROWTH * link_delay_s
        waiting = [i for i, at in self.requested.items() if now - at > waiting_after_s]
        if not self.begun.isdisjoint(waiting):
            waiting_after_s += REST_LATE_S - WAITING_AFTER_S
            waiting = [i for i in waiting if now - self.requested[i] > waiting_after_s]
        if waiting and len(waiting) == len(self.requested):
            self.unavailable.update(waiting)
            if self.stalled_since is None:
                self.stalled_since = now
        return len(waiting)

    def next_piece(self, held: Collection[int], now: float) -> int | None:
        """Return the piece to request next, None if none may be requested now."""
        limited = self.failures_since_arrival >= MAX_FAILURES_PER_ARRIVAL
        if limited and now < self.retry_at:
            return None
        candidates = [i for i in self.missing(held) if i not in self.requested]
        for index in candidates:
            if index not in self.failures:
                return index
        if now < self.retry_at:
            return None
        due = [i for i in candidates if self.failures[i][1] <= now]
        return min(due, key=lambda i: self.failures[i][1], default=None)

    def begin(self, index: int, now: float) -> None:
        """Record that a piece is requested."""
        limited = self.failures_since_arrival >= MAX_FAILURES_PER_ARRIVAL
        if limited or index in self.failures:
            self.retry_at = now + RETRY_INTERVAL_S
        self.requested[index] = now

    def record_bytes(self, index: int, now: float) -> None:
        """Record that bytes of a requested piece arrived."""
        if index in self.requested:
            self.requested[index] = now
            self.begun.add(index)
        self.confirmed = True
        self.end_stall(index)

    def end_call(self, index: int) -> None:
        """Record that a piece is no longer requested."""
        self.requested.pop(index, None)
        self.begun.discard(index)

    def end_stall(self, index: int) -> None:
        """Take all pieces for available if this one was not."""
        if not self.unavailable or index in self.unavailable:
            self.unavailable.clear()
            self.stalled_since = None

    def set_manifest(self, manifest: PieceDigests) -> None:
        """Record the manifest; it does not show that pieces are available."""
        self.manifest = manifest
        self.requested.pop(MANIFEST, None)
        self.failures.clear()
        self.failures_since_arrival = 0
        self.unavailable.clear()
        self.stalled_since = None

    def complete(self, held: Collection[int]) -> bool:
        """Return whether all pieces are held."""
        return not self.missing(held)

    def finish(self, index: int, size: int, now: float) -> None:
        """Record that a piece arrived with the right digest."""
        self.end_call(index)
        self.failures.clear()
        self.failures_since_arrival = 0
        self.piece_bytes = max(self.piece_bytes, size)
        self.last_arrival_at = now
        self.end_stall(index)
        self.confirmed = True

    def fail(self, index: int, now: float, rng: random.Random) -> None:
        """Record that no entry sent a piece."""
        self.end_call(index)
        self.failures_since_arrival += 1
        count = self.failures.get(index, (0, 0.0))[0] + 1
        delay_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(count - 1, 8))
        self.unavailable.add(index)
        self.failures[index] = (count, now + delay_s * rng.uniform(0.5, 1.0))
        if self.stalled_since is None:
            self.stalled_since = now
