"""
The rate limit that a server named, shared by all entries without a coordinator.

Designed for a server that takes a few requests a second while many entries have work
for it. Each entry keeps the time of the next free start and moves it by one interval
for every start, its own and those that other entries published. Starts that several
entries made before they learned of each other's delay the next ones, so that the rate
holds over a few seconds. The bound in any window is the rate, the starts that may be
made up for, and those that entries make within the delay of their news.

An entry does not start in the instant at which a start is free but after a random part
of the interval, so that few entries compete for it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# A server that takes none is asked so rarely whether it still does; answers are the
# only way to learn that.
MIN_RATE = 0.1
# For so long, and for one interval at least, unused starts may be made up for.
CREDIT_S = 0.25
TURN_SHARE = 0.5  # of an interval, over which entries begin to use a free start
MAX_AHEAD_S = 4.0  # for which too many starts delay the next ones


@dataclass(slots=True)
class RateLimit:
    """
    The limit of one start of a server, as this entry knows it.

    ``rate`` is in requests a second, None while the server names no limit.
    ``learned_at`` is when an entry read that. ``next_start_at`` is when the next start
    is free, and ``own_start_at``, which is not earlier, when this entry may use it.
    Too many starts delay the next ones for at most ``max_ahead_s``.
    """

    rate: float | None = None
    learned_at: float = float("-inf")
    next_start_at: float = 0.0
    own_start_at: float = 0.0
    max_ahead_s: float = MAX_AHEAD_S

    def admits(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.rate is None or now >= self.own_start_at

    def interval_s(self) -> float:
        """Return the time between two starts."""
        return 1.0 / max(self.rate or 0.0, MIN_RATE)

    def apply(
        self, rate: float | None, learned_at: float, now: float, random: Random
    ) -> bool:
        """
        Apply what a server said to an entry at a time; return whether that changed it.

        News that are older than what is known are ignored, so they need no order.
        """
        if learned_at <= self.learned_at:
            return False
        self.learned_at = learned_at
        if rate == self.rate:
            return False
        begins = self.rate is None
        self.rate = rate
        if rate is None:
            return True
        latest = now + self.interval_s()
        self.next_start_at = latest if begins else min(self.next_start_at, latest)
        self.draw_own_start(random)
        return True

    def record_starts(self, started: int, now: float, random: Random) -> None:
        """Count requests that this or another entry sends."""
        interval_s = self.interval_s()
        earliest = now - max(CREDIT_S, interval_s)
        latest = now + max(self.max_ahead_s, interval_s)
        next_start_at = max(self.next_start_at, earliest) + started * interval_s
        self.next_start_at = min(next_start_at, latest)
        self.draw_own_start(random)

    def draw_own_start(self, random: Random) -> None:
        """Draw when this entry may use the next free start."""
        hold_s = TURN_SHARE * self.interval_s() * random.random()
        self.own_start_at = self.next_start_at + hold_s
