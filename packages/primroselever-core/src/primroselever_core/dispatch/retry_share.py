"""
This entry's share of the retries that all entries together may send.

Answers the pattern of a retry storm: while many answers fail, what each entry may send
a second time stays a fraction of the requests that it took, so that the sum over all
entries keeps to the published budget without a word between them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

KEPT_BACK = 0.6  # share of the budget that is used; entries see different counts


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """
    The published budget of a service.

    In any ``window_s`` seconds all entries may send ``ratio`` x requests + ``slack``
    requests beyond the first of each.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class RetryShare:
    """Counts of one service in a sliding window; times of requests and of retries."""

    limits: RetryLimits
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def request(self, now: float) -> None:
        """Count a request that a caller sent."""
        self.requests.append(now)
        self.expire(now)

    def take(self, entries: int, now: float) -> bool:
        """Take one retry out of the share of one among ``entries``, if there is one."""
        self.expire(now)
        allowed = self.limits.ratio * len(self.requests)
        allowed += self.limits.slack / max(1, entries)
        if len(self.retries) + 1 > KEPT_BACK * allowed:
            return False
        self.retries.append(now)
        return True

    def expire(self, now: float) -> None:
        """Forget what left the window."""
        start = now - self.limits.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()
