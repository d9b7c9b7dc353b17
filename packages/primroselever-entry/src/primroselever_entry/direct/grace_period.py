"""Which requests a process still passes on after its stop signal."""

from __future__ import annotations

from math import inf

LEAVING_REASON = "leaving"
LEAVING_RETRY_AFTER_S = 0.05  # other entries take the request at once


class GracePeriod:
    """
    Decides whether a request may be passed on, by the time by which it must have ended.

    Until ``takes_until`` every request may be passed on. Later ones may only if their
    deadline, that of their caller or of their route, is no later than ``ends_at``: the
    others could be cut off by the end of the process. Before a stop signal
    ``takes_until`` is infinite. Times are in seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self.takes_until = inf
        self.ends_at = -inf

    def begin(self, takes_until: float, ends_at: float) -> None:
        """Set the times of a stop; later calls for the same stop have no effect."""
        if self.takes_until == inf:
            self.takes_until, self.ends_at = takes_until, ends_at

    def close(self) -> None:
        """Admit no more requests, since the process is about to end."""
        self.takes_until = self.ends_at = -inf

    def admits(self, deadline: float, now: float, comes_late: bool = False) -> bool:
        """
        Return whether a request with a deadline may be passed on now.

        One that comes late, after its server began to close, must end in time.
        """
        if now < self.takes_until and not comes_late:
            return True
        return deadline <= self.ends_at
