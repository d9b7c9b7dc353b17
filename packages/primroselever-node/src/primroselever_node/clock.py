"""The clocks; other modules read them only through this module."""

from __future__ import annotations

import time


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
