"""
The work at an engine that is admitted before a request of a given urgency.

An engine admits waiting requests by urgency, so a request waits only for those that are
as urgent as itself or more. Reports name how many requests wait but not how urgent they
are; the urgencies follow from what this entry sent and what peers published.
"""

from __future__ import annotations

from dataclasses import dataclass, field

URGENCY_COUNT = 10  # of the header with the urgency, 0 to 9; 0 is admitted first
DEFAULT_URGENCY = 5  # of requests without the header


def clamp_urgency(urgency: int | None) -> int:
    """Return a published urgency, or the default if it is absent or out of range."""
    if urgency is None or not 0 <= urgency < URGENCY_COUNT:
        return DEFAULT_URGENCY
    return urgency


@dataclass(slots=True)
class UrgentWork:
    """
    For each urgency, until when an engine works on requests that are as urgent or more.

    The times hold for an engine whose slots are all taken. The number of waiting
    requests limits what they say about any other engine.

        >>> work = UrgentWork()
        >>> work.record_sent(2, 0.1, now=0.0)
        >>> work.count_ahead(1, 8.0, 0.1, now=0.0), work.count_ahead(2, 8.0, 0.1, 0.0)
        (0.0, 1.0)
    """

    busy_until: list[float] = field(default_factory=lambda: [0.0] * URGENCY_COUNT)

    def record_sent(self, urgency: int, request_s: float, now: float) -> None:
        """
        Count a request that this entry or another one sent.

        ``request_s`` is the engine time that one request takes in a full batch.
        """
        for each in range(urgency, URGENCY_COUNT):
            self.busy_until[each] = max(now, self.busy_until[each]) + request_s

    def count_ahead(
        self, urgency: int, waiting: float, request_s: float, now: float
    ) -> float:
        """Return how many of ``waiting`` requests are admitted before a new one."""
        ahead_s = max(0.0, self.busy_until[urgency] - now)
        return min(max(0.0, waiting), ahead_s / request_s)
