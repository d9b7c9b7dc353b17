"""How long the running requests of an engine take to finish after it has closed."""

from __future__ import annotations

from dataclasses import dataclass, field

from .switching import CLOSE_AHEAD_S

MAX_MEASURED = 3  # the load may have changed since earlier switches
# With a request that hangs, the engine would otherwise close too early at each of the
# next switches. The longest simulated drain takes 2.5 s.
MAX_DRAIN_S = 3.0


@dataclass(slots=True)
class DrainTimes:
    """
    The times from closing to idle that were measured at the latest switches.

    ``closed_at`` is when the engine closed with requests, None if it is open or idle.
    """

    measured: list[float] = field(default_factory=list)
    closed_at: float | None = None
    busy: bool = False

    def observe(self, closed: bool, unfinished: int, now: float) -> None:
        """
        Record the state of the engine, read every 0.1 s.

        ``unfinished`` is the number of requests that run or wait. An engine that
        reopens before it is idle gives no measurement.
        """
        was_busy, self.busy = self.busy, unfinished > 0
        if not closed:
            self.closed_at = None
        elif self.closed_at is None:
            if unfinished and was_busy:
                self.closed_at = now
        elif not unfinished:
            self.measured.append(min(now - self.closed_at, MAX_DRAIN_S))
            del self.measured[:-MAX_MEASURED]
            self.closed_at = None

    def expected_s(self) -> float:
        """
        Return how long the requests take that the engine would have when it closes.

        The longest measurement counts: closing late leaves the engine without usable
        weights, while closing early only advances its turn.
        """
        if not self.busy:
            return 0.0
        return max(self.measured, default=CLOSE_AHEAD_S)
