"""
This entry's share of the retries that all entries together may send.

Prevents retry storms: while many requests fail, each entry limits its retries to a
fraction of the requests that it received, so that the sum over all entries stays within
the published budget without coordination between them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

USED_BUDGET_SHARE = 0.6  # below 1 as the entries' counts differ


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """
    The published retry budget of a service.

    In any ``window_s`` seconds all entries together may send ``ratio`` x requests +
    ``slack`` retries.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class RetryShare:
    """Times of one service's requests and retries in a sliding window."""

    limits: RetryLimits
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request of a caller, without its retries."""
        self.requests.append(now)
        self.drop_expired_times(now)

    def take_retry(self, entries: int, now: float) -> bool:
        """
        Count a retry if the share of one of ``entries`` entries allows it.

        Return whether it does.
        """
        self.drop_expired_times(now)
        allowed = self.limits.ratio * len(self.requests)
        allowed += self.limits.slack / max(1, entries)
        if len(self.retries) + 1 > USED_BUDGET_SHARE * allowed:
            return False
        self.retries.append(now)
        return True

    def drop_expired_times(self, now: float) -> None:
        """Drop the requests and retries that are older than the window."""
        window_start = now - self.limits.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < window_start:
                times.popleft()
