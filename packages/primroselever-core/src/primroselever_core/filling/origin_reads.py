"""
Which entry reads which piece from the origin, when, and in which order.

The entries of a failure domain rank each other for each piece by rendezvous hash. The
first live one reads it for all. Before it reads, it claims the piece: it asks the next
entries in rank whether they hold, read or claim it. An entry that is asked remembers
the claim for a short time, so that two entries whose lists of members differ do not
both read. The state of an origin that fails is kept for each entry: it retries with
exponential backoff, one read at a time until one succeeds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..rendezvous import ranked, top_ranked

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

Key = tuple[str, int, int]  # model, version and index

MANIFEST_INDEX = -1  # stands for the manifest, which thus has owners as a piece has
# A quarter of the origin's connections stays free, because entries that were just added
# or restarted are not yet in the other entries' lists of members.
RESERVE_DIVISOR = 4
MIN_OTHER_DOMAINS = 2  # an entry that is cut off does not see the other domains
# Enough to keep the origin's link busy. If the origin fails, all reads in progress are
# lost: with 12 of 48 pieces, it sent 0.14 of a version twice.
MAX_READS_PER_DOMAIN = 8
FIRST_RETRY_S = 0.1
# Reads that hang for the origin's timeout of 3 s. With 8 readers in the origin's domain
# this is at most 24 connections, one half of the usual 48.
MAX_HANGING_READS = 3
# Each reader of the origin uses it again within this time after it has recovered. Few
# readers seldom retry in the meantime, so that each has to be prompt itself.
MAX_RETRY_S = 0.165
# While the origin fails, a read that hangs for longer does not keep the next one back.
# Readers whose reads began to hang together would otherwise all retry together.
PROBE_VALID_S = (0.4, 1.0)
CLAIM_VALID_S = 1.0  # above the time for which a claim asks the other entries
NEARLY_READ_SHARE = 0.5
# Entries learn of each other's pieces every 0.5 s. An older version without a new piece
# for longer than this does not delay a newer one.
STALLED_AFTER_S = 0.75


def connection_budget(
    max_connections: int, in_origin_domain: bool, other_domain_count: int
) -> int:
    """
    Return how many connections the entries of one failure domain may open in total.

    The origin's own domain has one half of what is left after the reserve. The other
    domains divide the second half, which they use only while they are cut off.
    """
    half = (max_connections - max_connections // RESERVE_DIVISOR) // 2
    if not in_origin_domain:
        half //= max(MIN_OTHER_DOMAINS, other_domain_count)
    return max(1, min(MAX_READS_PER_DOMAIN, half))


def rank_readers(key: Key, members: Iterable[str], budget: int) -> list[str]:
    """
    Return the entries of a domain in the order in which they read a piece.

    At most ``budget`` entries come first for any piece, so that a domain with more
    entries than connections does not exceed its budget.
    """
    members = list(members)
    readers = set(top_ranked("origin readers", members, budget))
    text = "/".join(map(str, key))
    others = [host for host in members if host not in readers]
    return ranked(text, readers) + ranked(text, others)


def reads_per_entry(budget: int, member_count: int) -> int:
    """Return how many reads an entry may have in progress at the same time."""
    reader_count = max(1, min(budget, member_count))
    return max(1, budget // reader_count)


@dataclass(slots=True)
class Claim:
    """
    An entry that is about to read a piece; ``confirmed`` once it has asked the others.

    The claim of this entry itself has no deadline and ends when its read ends.
    """

    host: str
    expires_at: float = float("inf")
    confirmed: bool = False


@dataclass(slots=True)
class VersionProgress:
    """How much of a version the known entries hold, and when that last grew."""

    total: int
    held: int = 0
    progressed_at: float = float("-inf")

    @property
    def nearly_read(self) -> bool:
        """Return whether most but not all pieces are held."""
        return NEARLY_READ_SHARE * self.total <= self.held < self.total


@dataclass(slots=True)
class OriginReads:
    """
    The claims, the queue and the backoff of one entry that reads from the origin.

    ``started_at`` holds the reads in progress, ``failed_at`` the last failure of each
    piece that is not read yet, and ``hanging`` reads that an outage left unanswered.
    """

    own_host: str
    random: Random
    failures: int = 0
    retry_at: float = float("-inf")
    probe_valid_s: float = PROBE_VALID_S[0]
    claims: dict[Key, Claim] = field(default_factory=dict)
    waiting: set[Key] = field(default_factory=set)
    started_at: dict[Key, float] = field(default_factory=dict)
    failed_at: dict[Key, float] = field(default_factory=dict)
    hanging: set[Key] = field(default_factory=set)
    progress: dict[tuple[str, int], VersionProgress] = field(default_factory=dict)

    def find_claimant(self, key: Key, now: float) -> str | None:
        """Return the other entry that claims a piece now, or None."""
        claim = self.claims.get(key)
        if claim is None or claim.host == self.own_host:
            return None
        if claim.expires_at <= now:
            del self.claims[key]
            return None
        return claim.host

    def start_claim(self, key: Key, now: float) -> str | None:
        """Claim a piece; return the other entry that claims it already, or None."""
        claimant = self.find_claimant(key, now)
        if claimant is None:
            self.claims[key] = Claim(self.own_host)
        return claimant

    def answer_claim(self, key: Key, host: str, now: float) -> str | None:
        """
        Return the entry to which ``host`` has to leave a piece, None if it may read.

        If this entry is asking at the same moment, the hash of the two hosts decides,
        whatever else each of them knows.
        """
        claim = self.claims.get(key)
        if claim is not None and claim.host == self.own_host:
            if claim.confirmed or self.outranks(key, self.own_host, host):
                return self.own_host
            self.claims[key] = Claim(host, now + CLAIM_VALID_S)
            return None
        claimant = self.find_claimant(key, now)
        if claimant is not None and claimant != host:
            return claimant
        self.claims[key] = Claim(host, now + CLAIM_VALID_S)
        return None

    def outranks(self, key: Key, host: str, other: str) -> bool:
        """Return whether a host comes before another one for a piece."""
        return ranked("/".join(map(str, key)), [host, other])[0] == host

    def confirm_claim(self, key: Key, now: float) -> str | None:
        """
        Confirm the claim of this entry and queue the read.

        Return the entry that took the claim over while this one asked, or None.
        """
        claimant = self.find_claimant(key, now)
        if claimant is None:
            self.claims[key] = Claim(self.own_host, confirmed=True)
            self.waiting.add(key)
        return claimant

    def release_claim(self, key: Key) -> None:
        """End the claim and the read of this entry, successful or not."""
        claim = self.claims.get(key)
        if claim is not None and claim.host == self.own_host:
            del self.claims[key]
        self.waiting.discard(key)
        self.started_at.pop(key, None)

    def is_reading(self, key: Key) -> bool:
        """Return whether this entry has queued or started the read of a piece."""
        return key in self.waiting or key in self.started_at

    def start_next_read(self, now: float, limit: int, spare: int = 0) -> Key | None:
        """
        Return the read to start now, at most ``limit`` at a time, or None.

        While the origin fails, up to ``spare`` reads more may be in progress, because
        those that hang would otherwise delay the first read after its recovery. After
        the recovery, those that still hang do not take the place of others.
        """
        if now < self.retry_at:
            return None
        self.hanging &= self.started_at.keys()
        extra = spare if self.failures else min(spare, len(self.hanging))
        if len(self.started_at) >= limit + extra:
            return None
        if self.failures and any(
            started_at >= max(self.retry_at, now - self.probe_valid_s)
            for started_at in self.started_at.values()
        ):
            return None
        ready = [key for key in self.waiting if not self.must_wait(key, now)]
        if not ready:
            return None
        key = min(ready, key=self.read_order)
        self.waiting.discard(key)
        self.started_at[key] = now
        self.probe_valid_s = self.random.uniform(*PROBE_VALID_S)
        return key

    def read_order(self, key: Key) -> tuple[int, int, float, int]:
        """
        Return the sort key of a read.

        Manifests come first, then versions that are nearly read, then newer ones. The
        pieces of a version are read in the order in which agents request them, those
        that failed after the others: a piece that fails each time delays no other one.
        """
        model, version, index = key
        if index == MANIFEST_INDEX:
            return (0, -version, 0.0, index)
        failed_at = self.failed_at.get(key, float("-inf"))
        progress = self.progress.get((model, version))
        if progress is not None and progress.nearly_read:
            return (1, version, failed_at, index)
        return (2, -version, failed_at, index)

    def must_wait(self, key: Key, now: float) -> bool:
        """
        Return whether a read waits for an older version that is nearly read.

        If two versions shared the origin's link, the older one would be complete later
        and the newer one not earlier.
        """
        model, version, index = key
        return index != MANIFEST_INDEX and any(
            progress.nearly_read and now - progress.progressed_at < STALLED_AFTER_S
            for (other_model, older), progress in self.progress.items()
            if other_model == model and older < version
        )

    def record_progress(
        self, model: str, version: int, held: int, total: int, now: float
    ) -> None:
        """Record how many pieces of a version all known entries hold."""
        progress = self.progress.setdefault(
            (model, version), VersionProgress(total, progressed_at=now)
        )
        if held > progress.held:
            progress.held, progress.progressed_at = held, now

    def forget_version(self, model: str, version: int) -> None:
        """Drop the state of a version that nobody wants any more."""
        self.progress.pop((model, version), None)
        for key in [key for key in self.failed_at if key[:2] == (model, version)]:
            del self.failed_at[key]
        for key in [key for key in self.waiting if key[:2] == (model, version)]:
            self.release_claim(key)

    def record_success(self, key: Key, now: float) -> None:
        """End the backoff after a read that succeeded."""
        self.failed_at.pop(key, None)
        if self.failures:
            hung_since = now - PROBE_VALID_S[0]
            self.hanging = {
                key for key, at in self.started_at.items() if at <= hung_since
            }
        self.failures, self.retry_at = 0, float("-inf")

    def record_failure(self, key: Key, now: float) -> None:
        """
        Delay all further reads; reads that fail together count once.

        The delay doubles up to ``MAX_RETRY_S``, less up to one half at random.
        """
        self.failed_at[key] = now
        if now < self.retry_at:
            return
        self.failures += 1
        delay_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(self.failures - 1, 10))
        self.retry_at = now + delay_s * self.random.uniform(0.5, 1.0)
