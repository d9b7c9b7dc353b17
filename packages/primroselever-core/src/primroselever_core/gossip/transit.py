"""
The delay of heartbeats, from the clocks of their senders and of this process.

The clocks have no common start and stand still while a VM is suspended. So only the
differences between the times of arrival and of sending are compared, and the smallest
one is taken as that of a heartbeat without delay.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

# The smallest difference is that of the last one to two windows. While the sender was
# suspended, its ages stood still; they are corrected as long as the difference from
# before is known, and a window is longer than the bound of weights, 8 s.
WINDOW_S = 10.0
# By how much a difference may be below the smallest one before. If it is further below,
# this process was suspended, or the heartbeats before were all delayed: then this one
# may have waited as well, as heartbeats that arrive during a suspension are read after
# it with the clock of its start.
MAX_STEP_S = 0.05


@dataclass(slots=True)
class TransitDelay:
    """
    How much slower heartbeats of one peer were than the fastest of the last windows.

    ``smallest_s`` is the smallest difference of the present window, which began at
    ``window_at`` and takes ``window_s``, and ``previous_s`` that of the window before.
    All are in seconds.
    ``stepped`` is set if the last heartbeat was much faster than all before it.

        >>> delay = TransitDelay()
        >>> delay.record(1, 500.0, 10.0)
        >>> delay.record(1, 500.5, 10.75)
        0.25
    """

    window_s: float = WINDOW_S
    incarnation: int = 0
    window_at: float = -inf
    smallest_s: float = inf
    previous_s: float = inf
    stepped: bool = False

    @property
    def known_s(self) -> float:
        """Return the smallest difference of the windows, infinite if none is known."""
        return min(self.smallest_s, self.previous_s)

    def record(
        self, incarnation: int, sent_at: float, received_at: float
    ) -> float | None:
        """
        Record a heartbeat; return its delay in seconds, None if it cannot be told.

        ``sent_at`` is by the sender's clock. Each incarnation may have its own clock.
        """
        difference_s = received_at - sent_at
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.restart(received_at)
        elif received_at - self.window_at >= self.window_s:
            is_next = received_at - self.window_at < 2 * self.window_s
            previous_s = self.smallest_s if is_next else inf
            self.restart(received_at)
            self.previous_s = previous_s
        known_s = self.known_s
        self.stepped = difference_s < known_s - MAX_STEP_S < inf
        if self.stepped:
            self.restart(received_at)
            known_s = inf
        self.smallest_s = min(self.smallest_s, difference_s)
        return None if known_s == inf else max(0.0, difference_s - known_s)

    def restart(self, now: float) -> None:
        """Begin a window without the differences before it."""
        self.window_at = now
        self.smallest_s = self.previous_s = inf
