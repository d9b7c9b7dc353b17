"""A token bucket that is passed the time instead of reading a clock."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """
    A budget that refills at ``rate`` units a second up to ``capacity`` units.

    ``reserve_units`` always grants the units and may reduce the level below zero. It
    returns the time at which the units have been refilled, so that callers are served
    in the order of their calls.

        >>> bucket = TokenBucket(rate=10.0, capacity=10.0, level=0.0, updated_at=0.0)
        >>> bucket.reserve_units(5.0, now=0.0)
        0.5
    """

    rate: float
    capacity: float
    level: float
    updated_at: float

    @classmethod
    def full(cls, rate: float, capacity: float, now: float) -> TokenBucket:
        """Return a bucket that starts full."""
        return cls(rate, capacity, capacity, now)

    def refill(self, now: float) -> None:
        """Add the units gained since the last update; ignore a clock that went back."""
        if now > self.updated_at:
            gained_units = (now - self.updated_at) * self.rate
            self.level = min(self.capacity, self.level + gained_units)
            self.updated_at = now

    def take_units(self, units: float, now: float) -> bool:
        """Take the units if they are available now; return whether they were."""
        self.refill(now)
        if self.level < units:
            return False
        self.level -= units
        return True

    def reserve_units(self, units: float, now: float) -> float:
        """Take the units and return the time from which they may be used."""
        self.refill(now)
        self.level -= units
        if self.level >= 0:
            return now
        return now - self.level / self.rate
