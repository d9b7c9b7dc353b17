"""
The blackboard's section on suspects: which requests ran where an engine crashed.

A record is a set of crashes and a set of those that a later success explained
away. Both only grow until the record's deadline, so that processes may merge what
they know in any order, and more than once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..identifiers import Fingerprint

# The VM, its incarnation and a number: each crash has one name everywhere.
CrashId = NewType("CrashId", str)

QUARANTINE_CRASHES = 2
QUARANTINE_S = 600.0
MAX_RECORDS = 1024


class Standing(StrEnum):
    """What is known of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Suspicion:
    """What is known of one fingerprint, until ``deadline``."""

    fingerprint: Fingerprint
    deadline: float
    crashes: set[CrashId] = field(default_factory=set)
    cleared: set[CrashId] = field(default_factory=set)

    def uncleared(self) -> int:
        """Return how many crashes no later success explained away."""
        return len(self.crashes - self.cleared)

    def urgency(self) -> tuple[int, float]:
        """Return a key that sorts the records that matter least first."""
        return self.uncleared(), self.deadline

    def standing(self) -> Standing:
        """Return what follows from the crashes that are not cleared."""
        count = self.uncleared()
        if count >= QUARANTINE_CRASHES:
            return Standing.QUARANTINED
        return Standing.SUSPECT if count else Standing.CLEAR


@dataclass(slots=True)
class SuspectsSection:
    """All suspicions by fingerprint; written by the suspects controller."""

    records: dict[Fingerprint, Suspicion] = field(default_factory=dict)

    def standing(self, fingerprint: Fingerprint, now: float) -> Standing:
        """Return whether a request may run, may run alone, or may not run."""
        record = self.records.get(fingerprint)
        if record is None:
            return Standing.CLEAR
        if record.deadline <= now:
            del self.records[fingerprint]
            return Standing.CLEAR
        return record.standing()

    def crashed(
        self, crash: CrashId, present: Iterable[Fingerprint], now: float
    ) -> list[Suspicion]:
        """Take in a crash and the requests present at it; return their records."""
        changed = []
        for fingerprint in present:
            record = self.record(fingerprint, now + QUARANTINE_S, now)
            record.crashes.add(crash)
            changed.append(record)
        return changed

    def succeeded(self, fingerprint: Fingerprint, known: frozenset[CrashId]) -> bool:
        """
        Clear a request of the crashes that were known when its run began.

        Return whether that changed anything.
        """
        record = self.records.get(fingerprint)
        if record is None or known <= record.cleared:
            return False
        record.cleared |= known & record.crashes
        return True

    def known_crashes(self, fingerprint: Fingerprint) -> frozenset[CrashId]:
        """Return the crashes at which a request was present."""
        record = self.records.get(fingerprint)
        return frozenset(record.crashes) if record else frozenset()

    def merge(self, heard: Suspicion, now: float) -> bool:
        """
        Take in what another process knows; return whether it was news.

        The earlier deadline counts: a deadline that travels to and fro must not
        grow by its time on the way.
        """
        if heard.deadline <= now:
            return False
        record = self.record(heard.fingerprint, heard.deadline, now)
        record.deadline = min(record.deadline, heard.deadline)
        news = not (heard.crashes <= record.crashes and heard.cleared <= record.cleared)
        record.crashes |= heard.crashes
        record.cleared |= heard.cleared
        return news

    def record(
        self, fingerprint: Fingerprint, deadline: float, now: float
    ) -> Suspicion:
        """
        Return a fingerprint's record, a new one until ``deadline`` if it has none.

        What is added to a record past its own deadline would go with it.
        """
        record = self.records.get(fingerprint)
        if record is not None and record.deadline > now:
            return record
        self.records.pop(fingerprint, None)
        if len(self.records) >= MAX_RECORDS:
            self.drop_one()
        record = self.records[fingerprint] = Suspicion(fingerprint, deadline)
        return record

    def drop_one(self) -> None:
        """Make room: a cleared record goes first, then the earliest deadline."""
        victim = min(
            self.records.values(),
            key=Suspicion.urgency,
        )
        del self.records[victim.fingerprint]

    def expire(self, now: float) -> None:
        """Drop the records whose deadline has passed."""
        for fingerprint, record in list(self.records.items()):
            if record.deadline <= now:
                del self.records[fingerprint]

    def worst(self, count: int) -> list[Suspicion]:
        """Return the records that others should hear of first."""
        if len(self.records) <= count:
            return list(self.records.values())
        ordered = sorted(
            self.records.values(),
            key=Suspicion.urgency,
            reverse=True,
        )
        return ordered[:count]
