"""
Requests that crash servers, recognized by the fingerprint that their copies share.

Copies may run side by side on several servers, also when these are killed for other
reasons. Crashes of such runs count as one in a row, as none of the runs shows more than
the others. They still limit what is sent next: a request that broke on several servers
without an answer is suspect, and one copy at a time is sent as a trial, by the entry
whose turn it is. An answer clears it; each trial that crashes its server is the next
crash in a row, until the request is quarantined.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..rendezvous import ranked
from .section import (
    MAX_RECORDS,
    RECORD_LIFETIME_S,
    CrashId,
    crashes_in_row,
    server_start_of,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Set as AbstractSet

    from ..identifiers import Fingerprint
    from .section import SuspectsSection, Suspicion

# One more than agents require: an agent checks whether its engine crashed, but an entry
# sees only a broken connection, which may also be a network fault.
QUARANTINE_CRASHES_IN_ROW = 3
SUSPECT_SERVERS = 3
TRIALS_TO_QUARANTINE = 2  # that crashed servers; one may be killed during a trial
# From the first of several crashes in a row without a trial. Servers that are killed
# one shortly after the other also break the retries of one sound request in a row.
ROW_QUARANTINE_S = 15.0
# Servers that are killed together for another reason are killed within some seconds. A
# second trial would often be killed with them.
FAILED_TRIAL_PAUSE_S = 5.0
# If the entry whose turn it is gets no copy of a suspect request for so long, the next
# one may try it.
TURN_S = 4.0
# No entry sends a trial at the begin of a later turn, since the entries learn of a
# crash or a trial up to some tenths of a second apart.
TURN_PAUSE_S = 1.0
MAX_TRIAL_S = 10.0  # a trial without a result for so long does not delay the next one
TRIAL_RETRY_AFTER_S = 1.0  # a trial takes about as long as an answer


@dataclass(slots=True)
class WholeRequests:
    """
    What is known of whole requests that were running when servers crashed.

    The crashes are kept in ``suspects``, with which they are distributed. The trials
    of this entry and those of others are kept with the times until when they may run.
    """

    suspects: SuspectsSection
    own_host: str
    own_trials: dict[Fingerprint, float] = field(default_factory=dict)
    other_trials: dict[Fingerprint, float] = field(default_factory=dict)

    def record_crash(
        self,
        fingerprint: Fingerprint,
        known_crashes: frozenset[CrashId],
        server_start: str,
        now: float,
    ) -> CrashId | None:
        """
        Record that a server crashed during a run, and return the crash if it is new.

        ``known_crashes`` are those that were known when the run was sent. The position
        of the new crash is the next in a row, above that of all crashes before the
        trials if the request was suspect, and the first if copies had run side by side.
        Each start of a server is counted once.
        """
        if server_start in map(server_start_of, known_crashes):
            return None
        record = self.suspects.records.get(fingerprint)
        known = known_crashes - (record.cleared if record else frozenset())
        if has_suspect_count(known):
            position = max(crashes_in_row(known), QUARANTINE_CRASHES_IN_ROW) + 1
        else:
            position = crashes_in_row(known) + 1 if is_one_row(known) else 1
        crash = CrashId(f"{position}/{server_start}")
        self.suspects.record_crash(crash, [fingerprint], now)
        return crash

    def quarantine_remaining_s(
        self, fingerprint: Fingerprint, now: float
    ) -> float | None:
        """Return the seconds left in a request's quarantine, or None without one."""
        record = self.suspects.records.get(fingerprint)
        if record is None or record.deadline <= now:
            return None
        until = quarantine_end(record)
        return until - now if until > now else None

    def trial_delay_s(
        self, fingerprint: Fingerprint, entries: Collection[str], now: float
    ) -> float | None:
        """
        Return when to try a suspect request again, None if a copy may be sent now.

        ``entries`` are the hosts of the live entries, this one included. The answer is
        a duration in seconds. A copy may be sent if the request is not suspect, or as a
        trial, if it is this entry's turn and no other trial is known.
        """
        record = self.suspects.records.get(fingerprint)
        if record is None or not is_suspect(record, now):
            return None
        if self.own_trials.get(fingerprint, 0.0) > now:
            return TRIAL_RETRY_AFTER_S
        others_until = self.other_trials.get(fingerprint, 0.0)
        if others_until > now:
            return TRIAL_RETRY_AFTER_S
        waited_s = max(0.0, now - max(quarantine_end(record), others_until))
        turn = int(waited_s / TURN_S)
        if turn and waited_s - turn * TURN_S < TURN_PAUSE_S:
            return TRIAL_RETRY_AFTER_S
        order = ranked(fingerprint, entries)
        if order and order[turn % len(order)] == self.own_host:
            return None
        return TRIAL_RETRY_AFTER_S

    def begin_trial(self, fingerprint: Fingerprint, until: float, now: float) -> bool:
        """
        Note that a copy is sent, and runs until a time at most.

        Return whether it is a trial, which the caller publishes and ends.
        """
        record = self.suspects.records.get(fingerprint)
        if record is None or not is_suspect(record, now):
            return False
        self.own_trials = still_running(self.own_trials, now)
        self.own_trials[fingerprint] = min(until, now + MAX_TRIAL_S)
        return True

    def end_trial(self, fingerprint: Fingerprint) -> None:
        """Note that the run of a trial of this entry ended."""
        self.own_trials.pop(fingerprint, None)

    def own_trial_remaining_s(
        self, fingerprint: Fingerprint, now: float
    ) -> float | None:
        """Return for how many seconds a trial of this entry may run, None if none."""
        until = self.own_trials.get(fingerprint, 0.0)
        return until - now if until > now else None

    def record_other_trial(
        self, fingerprint: Fingerprint, remaining_s: float, now: float
    ) -> None:
        """
        Record that another entry tries a suspect request.

        Trials are never passed on, since each exchange would add its time in transit.
        """
        if fingerprint not in self.suspects.records:
            return
        if len(self.other_trials) >= MAX_RECORDS:
            self.other_trials = still_running(self.other_trials, now)
        if len(self.other_trials) < MAX_RECORDS:
            until = now + min(remaining_s, MAX_TRIAL_S)
            known_until = self.other_trials.get(fingerprint, 0.0)
            self.other_trials[fingerprint] = max(until, known_until)


def still_running(
    trials: dict[Fingerprint, float], now: float
) -> dict[Fingerprint, float]:
    """Return the trials that may still run."""
    return {each: until for each, until in trials.items() if until > now}


def is_suspect(record: Suspicion, now: float) -> bool:
    """Return whether copies of a request broke on several servers, without answer."""
    if record.deadline <= now:
        return False
    return has_suspect_count(record.crashes - record.cleared)


def has_suspect_count(uncleared: AbstractSet[CrashId]) -> bool:
    """Return whether a request with some uncleared crashes is suspect."""
    return len(set(map(server_start_of, uncleared))) >= SUSPECT_SERVERS


def is_one_row(uncleared: AbstractSet[CrashId]) -> bool:
    """Return whether no two crashes are of runs side by side, as far as is known."""
    positions = {crash.partition("/")[0] for crash in uncleared}
    starts = set(map(server_start_of, uncleared))
    return len(starts) == len(positions) == len(uncleared)


def quarantine_end(record: Suspicion) -> float:
    """
    Return when a suspect request may be tried, the time of its record if it may now.

    Entries merge their records, so that a row at one entry may turn out to be a part of
    what ran side by side at several.
    """
    uncleared = record.crashes - record.cleared
    row = crashes_in_row(uncleared)
    if row >= QUARANTINE_CRASHES_IN_ROW + TRIALS_TO_QUARANTINE:
        return record.deadline
    if row > QUARANTINE_CRASHES_IN_ROW:
        return min(record.deadline, record.changed_at + FAILED_TRIAL_PAUSE_S)
    if row == QUARANTINE_CRASHES_IN_ROW and is_one_row(uncleared):
        first_crash_at = record.deadline - RECORD_LIFETIME_S
        return max(record.changed_at, first_crash_at + ROW_QUARANTINE_S)
    return record.changed_at
