"""
Exponential backoff, the same for whatever failed.

    >>> [backoff_s(number, 0.5, 10.0) for number in (1, 2, 3, 4, 5, 6)]
    [0.5, 1.0, 2.0, 4.0, 8.0, 10.0]
"""

from __future__ import annotations

# A float holds no power of two above 2**1023, and something that is down for hours
# fails more often than that. No wait is doubled as often as this.
MAX_DOUBLINGS = 60


def backoff_s(failures: int, first_s: float, longest_s: float) -> float:
    """
    Return how long to wait after a number of failures in a row, at least one.

    The wait doubles with each failure, from ``first_s`` up to ``longest_s``.
    """
    return min(longest_s, first_s * 2 ** min(failures - 1, MAX_DOUBLINGS))
