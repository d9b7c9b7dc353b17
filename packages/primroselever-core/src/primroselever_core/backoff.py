"""
Exponential backoff for operations that fail repeatedly.

    >>> [backoff_s(number, 0.5, 10.0) for number in (1, 2, 3, 4, 5, 6)]
    [0.5, 1.0, 2.0, 4.0, 8.0, 10.0]
"""

from __future__ import annotations

# A float cannot hold 2**1024, and an operation that fails for hours reaches that many
# failures. Every delay reaches its maximum after fewer doublings than this.
MAX_DOUBLINGS = 60


def backoff_s(failures: int, first_s: float, longest_s: float) -> float:
    """
    Return the delay in seconds after at least one failure in a row.

    The delay doubles with each failure, from ``first_s`` up to ``longest_s``.
    """
    return min(longest_s, first_s * 2 ** min(failures - 1, MAX_DOUBLINGS))
