"""
The rate at which a VM's link delivers pieces, in bytes per second.

Entries that wait for the origin leave the link idle, which says nothing about its rate.
The rate is therefore the highest one over any recent window, not the mean.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# 4 Mbit/s, rounded down from the 4.7 and 3.8 Mbit/s of links in use.
DEFAULT_BYTES_PER_S = 450_000.0
LINK_SHARE = 0.9  # of a link's rate; the rest is for headers, reports and requests
WINDOW_S = 0.5  # about eight pieces, so that one late piece changes little
RATE_VALID_S = 4.0  # requests that share the link come and go within seconds
# A fill that waits for the origin sees less than the link's rate. Below this share of
# the start value, a low measurement more probably shows a wait than a slow link.
MIN_START_SHARE = 0.4


@dataclass(slots=True)
class LinkRate:
    """
    The measured rate of the link.

    ``start_bytes_per_s`` is used until a window is measured. ``windows`` holds the end
    and the rate of each recent window.
    """

    start_bytes_per_s: float = DEFAULT_BYTES_PER_S
    windows: deque[tuple[float, float]] = field(default_factory=deque)
    window_start_at: float = 0.0
    window_bytes: int = 0
    received_bytes: int = 0

    def record(self, size: int, now: float) -> None:
        """Record that bytes of a piece arrived."""
        self.received_bytes += size
        elapsed_s = now - self.window_start_at
        if elapsed_s > 2 * WINDOW_S:  # the link was idle
            self.window_start_at, self.window_bytes = now, 0
            return
        self.window_bytes += size
        if elapsed_s >= WINDOW_S:
            self.windows.append((now, self.window_bytes / elapsed_s))
            self.window_start_at, self.window_bytes = now, 0

    def estimate(self, now: float) -> float:
        """Return the rate to expect, in bytes per second."""
        while self.windows and now - self.windows[0][0] > RATE_VALID_S:
            self.windows.popleft()
        if not self.windows:
            return self.start_bytes_per_s
        floor = MIN_START_SHARE * self.start_bytes_per_s
        return max(floor, *(rate for _at, rate in self.windows))
