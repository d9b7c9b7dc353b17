"""
Retries as a share of traffic, so that they cannot multiply an overload.

    >>> budget = RetryBudget(level=0.0)
    >>> for _ in range(12):
    ...     budget.request()
    >>> budget.retry(), budget.retry()
    (True, False)
"""

from __future__ import annotations

from dataclasses import dataclass

RETRY_SHARE = 0.09
FIRST_RETRIES = 3.0
MOST_SAVED = 10.0
ROUNDING = 1e-9


@dataclass(slots=True)
class RetryBudget:
    """Each request earns less than a tenth of a retry; few are saved up."""

    level: float = FIRST_RETRIES

    def request(self) -> None:
        """Earn for a request that a caller sent."""
        self.level = min(MOST_SAVED, self.level + RETRY_SHARE)

    def retry(self) -> bool:
        """Pay for one retry; return whether it may be sent."""
        if self.level < 1.0 - ROUNDING:
            return False
        self.level -= 1.0
        return True
