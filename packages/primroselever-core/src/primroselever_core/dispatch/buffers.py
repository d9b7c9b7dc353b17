"""Limits on what is kept of requests and responses."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_ANSWER_BYTES = 1 << 20
DEFAULT_EVENT_BYTES = 1 << 20
DEFAULT_TOTAL_BYTES = 32 << 20
DEFAULT_REQUESTS_BYTES = 32 << 20  # bodies of all requests in progress


@dataclass(frozen=True, slots=True)
class BufferLimits:
    """
    Limits in bytes.

    ``answer_bytes`` is how much of a plain answer is kept so that another back end can
    still be tried, ``event_bytes`` the largest event of a stream, and ``total_bytes``
    what all responses may hold together.
    """

    answer_bytes: int = DEFAULT_ANSWER_BYTES
    event_bytes: int = DEFAULT_EVENT_BYTES
    total_bytes: int = DEFAULT_TOTAL_BYTES


@dataclass(slots=True)
class BufferAccount:
    """
    Counts what the buffers of all responses, or all requests, hold together.

        >>> account = BufferAccount(limit_bytes=10)
        >>> first, second = Buffer(account), Buffer(account)
        >>> first.resize(8), second.resize(3)
        (True, False)
        >>> first.resize(0), second.resize(3)
        (True, True)
    """

    limit_bytes: int
    held_bytes: int = 0


@dataclass(slots=True)
class Buffer:
    """The part of an account that one response or request holds."""

    account: BufferAccount
    held_bytes: int = 0

    def resize(self, size: int) -> bool:
        """Hold ``size`` bytes from now on; return False if the account is full."""
        growth = size - self.held_bytes
        if growth > 0 and self.account.held_bytes + growth > self.account.limit_bytes:
            return False
        self.account.held_bytes += growth
        self.held_bytes = size
        return True
