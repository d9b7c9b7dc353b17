"""
Limit of retries to a share of the traffic, so that they cannot amplify an overload.

    >>> budget = RetryBudget(level=0.0)
    >>> for _ in range(12):
    ...     budget.credit_request()
    >>> budget.spend_retry(), budget.spend_retry()
    (True, False)
"""

from __future__ import annotations

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.09
INITIAL_RETRIES = 3.0
MAX_SAVED_RETRIES = 10.0
ROUNDING_TOLERANCE = 1e-9


@dataclass(slots=True)
class RetryBudget:
    """A capped balance to which each request adds less than a tenth of a retry."""

    level: float = INITIAL_RETRIES

    def credit_request(self) -> None:
        """Add the share of one caller's request to the balance."""
        self.level = min(MAX_SAVED_RETRIES, self.level + RETRIES_PER_REQUEST)

    def spend_retry(self) -> bool:
        """Spend one retry from the balance; return whether it may be sent."""
        if self.level < 1.0 - ROUNDING_TOLERANCE:
            return False
        self.level -= 1.0
        return True
