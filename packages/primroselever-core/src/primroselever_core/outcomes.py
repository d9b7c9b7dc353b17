"""
The outcomes of requests.

Every request ends in exactly one outcome, which must be true whenever it is reported.
``NotRun`` and ``Unknown`` are sentinel values with a reason: an expected failure is
returned, not raised.

    >>> NotRun(Reason.OVERLOADED, retry_after_s=2.0).outcome
    <Outcome.NOT_RUN: 'not_run'>
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """The three outcomes that a request can have for its caller."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """The reason why a request was not run, or why its outcome is unknown."""

    DEADLINE_PASSED = "deadline_passed"
    OVERLOADED = "overloaded"
    FAIR_SHARE = "fair_share"
    LEAVING = "leaving"
    NO_SERVER = "no_server"
    NO_WEIGHTS = "no_weights"
    WEIGHTS_CHANGED = "weights_changed"
    QUARANTINED = "quarantined"
    TICKET_REQUIRED = "ticket_required"
    TICKET_INVALID = "ticket_invalid"
    TICKET_GONE = "ticket_gone"
    TOMBSTONE = "tombstone"
    ENGINE_FAILED = "engine_failed"
    ENGINE_REFUSED = "engine_refused"
    ANSWER_DAMAGED = "answer_damaged"
    ANSWER_GONE = "answer_gone"
    START_EXPIRED = "start_expired"
    KEY_REUSED = "key_reused"
    SERVER_LOST = "server_lost"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    INTERNAL = "internal"

    @classmethod
    def _missing_(cls, value: object) -> Reason:
        """Return ``INTERNAL`` for a reason that only a newer release defines."""
        return cls.INTERNAL


@dataclass(frozen=True, slots=True)
class Done:
    """A complete answer was delivered, and its length in bytes and digest verified."""

    length: int
    digest: str

    @property
    def outcome(self) -> Outcome:
        """Return the outcome as the caller sees it."""
        return Outcome.DONE


@dataclass(frozen=True, slots=True)
class NotRun:
    """
    The request did not run, and never will under this run's identifier.

    This outcome is allowed only if the start was never sent, the agent refused it, the
    agent confirmed a tombstone, or the back end itself reported that nothing began.
    ``retry_after_s`` is in seconds, None if a retry is pointless. ``ticket`` is the
    operation ticket to use for the retry.
    """

    reason: Reason
    retry_after_s: float | None = None
    ticket: str = ""

    @property
    def outcome(self) -> Outcome:
        """Return the outcome as the caller sees it."""
        return Outcome.NOT_RUN


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, completely or in part."""

    reason: Reason
    retry_after_s: float | None = None

    @property
    def outcome(self) -> Outcome:
        """Return the outcome as the caller sees it."""
        return Outcome.UNKNOWN


Ending = Done | NotRun | Unknown
