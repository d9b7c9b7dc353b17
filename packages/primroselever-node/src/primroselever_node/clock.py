"""The clocks; other modules read them only through this module."""

from __future__ import annotations

import math
import time

# Messages have 32 bits for an age, which is enough for 24 days.
MAX_AGE_MS = 2**31 - 1


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()


def unix_now() -> float:
    """Return the wall clock in seconds; only for dates that were received."""
    return time.time()


def deadline_in(remaining_ms: int) -> float:
    """Return the deadline ``remaining_ms`` milliseconds from now."""
    return now() + remaining_ms / 1000


def remaining_ms(deadline: float) -> int:
    """Return the milliseconds until a deadline, at least zero."""
    return max(0, int((deadline - now()) * 1000))


def now_ms(now: float) -> int:
    """Return a monotonic time in whole milliseconds."""
    return int(now * 1000)


def age_ms(since: float, now: float) -> int:
    """Return the milliseconds since a time, limited to what a message can hold."""
    return int(max(0.0, min((now - since) * 1000, MAX_AGE_MS)))


def proven_age_ms(since: float, now: float) -> int:
    """Return an age, rounded up so that it names no time after the proven one."""
    return math.ceil(max(0.0, min((now - since) * 1000, MAX_AGE_MS)))
