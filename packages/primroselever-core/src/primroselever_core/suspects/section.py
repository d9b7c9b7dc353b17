"""
The blackboard's section on suspects: requests that ran on an engine when it crashed.

A record holds a set of crashes and the set of those that a later success cleared. Both
sets only grow until the record's deadline, so processes may merge their records in any
order and more than once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Iterable, Set as AbstractSet

    from ..identifiers import Fingerprint

# Identifies a crash in all processes. Agents compose it of the VM, its incarnation and
# a number; entries that call back ends directly use a number, the server and its start.
CrashId = NewType("CrashId", str)

QUARANTINE_CRASHES = 2
RECORD_LIFETIME_S = 600.0
MAX_RECORDS = 1024


class Standing(StrEnum):
    """The state of a request: clear, suspected of causing crashes, or quarantined."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Suspicion:
    """
    The crashes recorded for one fingerprint, valid until ``deadline``.

    ``changed_at`` is when this process learned of the latest crash.
    """

    fingerprint: Fingerprint
    deadline: float
    crashes: set[CrashId] = field(default_factory=set)
    cleared: set[CrashId] = field(default_factory=set)
    changed_at: float = field(default=0.0, compare=False)

    def uncleared(self) -> int:
        """Return the number of crashes that no later success cleared."""
        return len(self.crashes - self.cleared)

    def severity(self) -> tuple[int, float]:
        """Return a sort key by uncleared crashes, then by deadline."""
        return self.uncleared(), self.deadline

    def standing(self) -> Standing:
        """Return the standing that follows from the number of uncleared crashes."""
        count = self.uncleared()
        if count >= QUARANTINE_CRASHES:
            return Standing.QUARANTINED
        return Standing.SUSPECT if count else Standing.CLEAR


@dataclass(slots=True)
class SuspectsSection:
    """All suspicions by fingerprint."""

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

    def record_crash(
        self, crash: CrashId, in_flight: Iterable[Fingerprint], now: float
    ) -> list[Suspicion]:
        """Record a crash for the requests in flight at it; return their records."""
        changed = []
        for fingerprint in in_flight:
            record = self.get_or_create_record(
                fingerprint, now + RECORD_LIFETIME_S, now
            )
            record.crashes.add(crash)
            record.changed_at = now
            changed.append(record)
        return changed

    def record_success(
        self, fingerprint: Fingerprint, crashes: frozenset[CrashId]
    ) -> bool:
        """
        Clear a request that succeeded of the crashes known when its run began.

        Return whether that changed anything.
        """
        record = self.records.get(fingerprint)
        if record is None or crashes <= record.cleared:
            return False
        record.cleared |= crashes & record.crashes
        return True

    def known_crashes(self, fingerprint: Fingerprint) -> frozenset[CrashId]:
        """Return the crashes that are recorded for a request."""
        record = self.records.get(fingerprint)
        return frozenset(record.crashes) if record else frozenset()

    def known_clearings(self, fingerprint: Fingerprint) -> frozenset[CrashId]:
        """Return the crashes of which a success cleared a request."""
        record = self.records.get(fingerprint)
        return frozenset(record.cleared) if record else frozenset()

    def merge(self, received: Suspicion, now: float) -> bool:
        """
        Merge a record of another process; return whether it changed anything.

        The earlier deadline is kept: a deadline that is sent back and forth must not
        grow by its time in transit.
        """
        if received.deadline <= now:
            return False
        record = self.get_or_create_record(received.fingerprint, received.deadline, now)
        record.deadline = min(record.deadline, received.deadline)
        changed = not (
            received.crashes <= record.crashes and received.cleared <= record.cleared
        )
        if not received.crashes <= record.crashes:
            record.changed_at = now
        record.crashes |= received.crashes
        record.cleared |= received.cleared
        return changed

    def clearings_unknown_to(self, received: Suspicion, now: float) -> Suspicion | None:
        """
        Return the record of a request if it has clearings that a received one lacks.

        A process that was unreachable when a request was cleared continues to send its
        suspicion. The returned record is the reply that updates it.
        """
        record = self.records.get(received.fingerprint)
        if record is None or record.deadline <= now:
            return None
        return None if record.cleared <= received.cleared else record

    def get_or_create_record(
        self, fingerprint: Fingerprint, deadline: float, now: float
    ) -> Suspicion:
        """
        Return a fingerprint's record; create one until ``deadline`` if it has none.

        A record past its own deadline is replaced, since crashes added to it would be
        dropped with it.
        """
        record = self.records.get(fingerprint)
        if record is not None and record.deadline > now:
            return record
        self.records.pop(fingerprint, None)
        if len(self.records) >= MAX_RECORDS:
            self.evict_record()
        record = self.records[fingerprint] = Suspicion(fingerprint, deadline)
        return record

    def evict_record(self) -> None:
        """Drop the record with the fewest uncleared crashes and earliest deadline."""
        least_severe = min(
            self.records.values(),
            key=Suspicion.severity,
        )
        del self.records[least_severe.fingerprint]

    def expire_records(self, now: float) -> None:
        """Drop the records whose deadline has passed."""
        for fingerprint, record in list(self.records.items()):
            if record.deadline <= now:
                del self.records[fingerprint]

    def most_severe(self, count: int) -> list[Suspicion]:
        """Return the ``count`` most severe records, which are sent to others first."""
        if len(self.records) <= count:
            return list(self.records.values())
        ordered = sorted(
            self.records.values(),
            key=Suspicion.severity,
            reverse=True,
        )
        return ordered[:count]


def crashes_in_row(crashes: AbstractSet[CrashId]) -> int:
    """Return how many crashes occurred in a row; each ID begins with its position."""
    positions = (crash.partition("/")[0] for crash in crashes)
    return max(
        (int(position) for position in positions if position.isdigit()), default=0
    )


def server_start_of(crash: CrashId) -> str:
    """Return the server and its start in the ID of a crash that an entry recorded."""
    return crash.partition("/")[2]
