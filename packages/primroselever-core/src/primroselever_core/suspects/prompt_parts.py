"""
Parts of prompts that crash servers, found from what broken runs have in common.

Designed for a crowd of requests of which no two are alike, and which all have one part
that crashes every server that begins to answer it. Each crash also breaks the sound
runs on that server, so that the crash alone blames all their parts. A part is cleared
by any answer to a request that has it, of any entry, since the part that crashes
servers is never answered. Popular parts are answered all the time, so that no crash is
recorded for them.

A part that was not answered lately, and with whose requests several servers crashed,
is suspect: one entry sends one request with it at a time, until an answer clears it or
the crashes of two such trials put it in quarantine. Servers that are killed for other
reasons, together or one shortly after the other, make a part suspect at most.

The last part of a prompt belongs to its request or session and is never considered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from ..identifiers import Fingerprint, PromptPart
from ..rendezvous import ranked
from .section import CrashId, crashes_in_row, server_start_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from .section import SuspectsSection, Suspicion

    KnownCrashes = dict[PromptPart, frozenset[CrashId]]

PART_PREFIX = "prompt part "
SUSPECT_SERVERS = 3
TRIALS_TO_QUARANTINE = 2  # that crashed servers, one after the other
# After a quarantine one request is tried again; each further crash doubles the time.
FIRST_QUARANTINE_S = 60.0
MAX_DOUBLINGS = 10  # positions of crashes come from other processes too
# For so long an answer excludes that a part crashes servers. New weights could change
# what a part does, so the time is limited.
ANSWER_VALID_S = 30.0
MAX_ANSWERED_PARTS = 4096
MAX_CRASHES_PER_PART = 12  # more than a quarantine takes; keeps a datagram small
# If the entry whose turn it is gets no request with a suspect part for so long, the
# next one may send one as well.
TURN_S = 4.0
TRIAL_RETRY_AFTER_S = 1.0  # a trial takes about as long as an answer


class PartStanding(StrEnum):
    """Whether requests with a part are sent: all, one at a time, or none."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class HeldPart:
    """A part that keeps a request from being sent now, and when to try it again."""

    part: PromptPart
    standing: PartStanding
    retry_after_s: float
    crashes: list[CrashId]


@dataclass(slots=True)
class PromptParts:
    """
    What is known of the parts of prompts.

    The crashes are kept in ``suspects`` beside those of whole requests, and are
    distributed with them. ``answered_at`` holds when a request with a part was last
    answered, and ``trials`` until when this entry's request with a suspect part runs.
    """

    suspects: SuspectsSection
    own_host: str
    answered_at: dict[PromptPart, float] = field(default_factory=dict)
    trials: dict[PromptPart, float] = field(default_factory=dict)

    def known_crashes(self, parts: Iterable[PromptPart]) -> KnownCrashes:
        """Return the crashes that are known now for each part."""
        if not self.suspects.records:
            return {}
        return {
            part: self.suspects.known_crashes(part_fingerprint(part)) for part in parts
        }

    def record_crash(
        self,
        parts: Iterable[PromptPart],
        known_crashes: KnownCrashes,
        server_start: str,
        now: float,
    ) -> list[Fingerprint]:
        """
        Record that a server crashed during a run with some parts.

        ``known_crashes`` are those that were known when the run was sent. Return the
        fingerprints of the parts whose records changed.
        """
        changed = []
        for part in parts:
            if self.answered_lately(part, now):
                continue
            fingerprint = part_fingerprint(part)
            record = self.suspects.records.get(fingerprint)
            recorded = record.crashes if record is not None else set()
            cleared = cleared_starts(record)
            known = {
                crash
                for crash in known_crashes.get(part, ())
                if server_start_of(crash) not in cleared
            }
            # The first position is that of all crashes before the first trial.
            position = crashes_in_row(known) + 1 if is_suspect(known) else 1
            crash = CrashId(f"{position}/{server_start}")
            if crash in recorded or server_start in map(server_start_of, known):
                continue
            if len(recorded) >= MAX_CRASHES_PER_PART and position <= crashes_in_row(
                recorded
            ):
                continue
            self.suspects.record_crash(crash, [fingerprint], now)
            changed.append(fingerprint)
        return changed

    def record_answer(
        self, parts: Iterable[PromptPart], now: float
    ) -> list[Fingerprint]:
        """
        Record that requests with some parts were answered.

        Return the fingerprints of the parts whose records changed.
        """
        changed = []
        for part in parts:
            self.answered_at.pop(part, None)
            self.answered_at[part] = now
            fingerprint = part_fingerprint(part)
            if self.clear(fingerprint):
                changed.append(fingerprint)
        while len(self.answered_at) > MAX_ANSWERED_PARTS:
            del self.answered_at[next(iter(self.answered_at))]
        return changed

    def clear_answered(
        self, fingerprints: Iterable[Fingerprint], now: float
    ) -> list[Fingerprint]:
        """Clear the parts that were answered lately; return those that changed."""
        return [
            fingerprint
            for fingerprint in fingerprints
            if fingerprint.startswith(PART_PREFIX)
            and self.answered_lately(part_of(fingerprint), now)
            and self.clear(fingerprint)
        ]

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Clear a part of all recorded crashes; return whether that changed it."""
        crashes = self.suspects.known_crashes(fingerprint)
        return bool(crashes) and self.suspects.record_success(fingerprint, crashes)

    def answered_lately(self, part: PromptPart, now: float) -> bool:
        """Return whether an answer excludes that a part crashes servers."""
        answered_at = self.answered_at.get(part)
        return answered_at is not None and now - answered_at <= ANSWER_VALID_S

    def held_part(
        self, parts: Iterable[PromptPart], entries: Collection[str], now: float
    ) -> HeldPart | None:
        """
        Return the part that keeps a request from being sent now, None if none does.

        ``entries`` are the hosts of the live entries, this one included. A request with
        a suspect part may be sent if it is this entry's turn, no other one is under
        way, and no other part is suspect: a crash would blame both.
        """
        if not self.suspects.records:
            return None
        suspect: list[HeldPart] = []
        for part in parts:
            record = self.suspects.records.get(part_fingerprint(part))
            standing = part_standing(record, now)
            if record is None or standing is PartStanding.CLEAR:
                continue
            crashes = sorted(record.crashes)
            if standing is PartStanding.QUARANTINED:
                until = quarantine_end(record)
                return HeldPart(part, standing, until - now, crashes)
            suspect.append(HeldPart(part, standing, TRIAL_RETRY_AFTER_S, crashes))
        if not suspect:
            return None
        if len(suspect) == 1 and self.may_try(suspect[0].part, entries, now):
            return None
        return suspect[0]

    def may_try(self, part: PromptPart, entries: Collection[str], now: float) -> bool:
        """Return whether this entry may send one request with a suspect part now."""
        if self.trials.get(part, 0.0) > now:
            return False
        record = self.suspects.records[part_fingerprint(part)]
        since = max(record.changed_at, quarantine_end(record))
        turns = 1 + int(max(0.0, now - since) / TURN_S)
        return self.own_host in ranked(record.fingerprint, entries)[:turns]

    def begin_trials(
        self, parts: Iterable[PromptPart], until: float, now: float
    ) -> list[PromptPart]:
        """Note that a request is sent; return its suspect parts, for ``end_trials``."""
        if not self.suspects.records:
            return []
        suspect = [
            part
            for part in parts
            if part_standing(self.suspects.records.get(part_fingerprint(part)), now)
            is PartStanding.SUSPECT
        ]
        self.trials.update(dict.fromkeys(suspect, until))
        return suspect

    def end_trials(self, parts: Iterable[PromptPart]) -> None:
        """Note that the run of a request with suspect parts ended."""
        for part in parts:
            self.trials.pop(part, None)


def part_fingerprint(part: PromptPart) -> Fingerprint:
    """Return the name under which the crashes of a part are recorded."""
    return Fingerprint(f"{PART_PREFIX}{part}")


def part_of(fingerprint: Fingerprint) -> PromptPart:
    """Return the part that a fingerprint of a part names."""
    return PromptPart(fingerprint.removeprefix(PART_PREFIX))


def is_suspect(uncleared: set[CrashId]) -> bool:
    """Return whether a part with some uncleared crashes is suspect."""
    return len(set(map(server_start_of, uncleared))) >= SUSPECT_SERVERS


def cleared_starts(record: Suspicion | None) -> set[str]:
    """Return the server starts of which an answer cleared a part."""
    return set(map(server_start_of, record.cleared)) if record is not None else set()


def uncleared_crashes(record: Suspicion) -> set[CrashId]:
    """Return the crashes of the server starts of which no answer cleared a part."""
    cleared = cleared_starts(record)
    return {each for each in record.crashes if server_start_of(each) not in cleared}


def quarantine_end(record: Suspicion) -> float:
    """Return when a part may be tried again, the time of its record if it may now."""
    trials = crashes_in_row(uncleared_crashes(record)) - 1
    if trials < TRIALS_TO_QUARANTINE:
        return record.changed_at
    excess = trials - TRIALS_TO_QUARANTINE
    quarantine_s = FIRST_QUARANTINE_S * 2.0 ** min(excess, MAX_DOUBLINGS)
    return min(record.deadline, record.changed_at + quarantine_s)


def part_standing(record: Suspicion | None, now: float) -> PartStanding:
    """
    Return the standing of a part with a record of crashes.

    Entries that lost runs to the same crash may have given it different positions, so
    that the starts of servers are counted.
    """
    if record is None or record.deadline <= now:
        return PartStanding.CLEAR
    if not is_suspect(uncleared_crashes(record)):
        return PartStanding.CLEAR
    if quarantine_end(record) > now:
        return PartStanding.QUARANTINED
    return PartStanding.SUSPECT
