"""
Shares of the starts that all entries together may make at a server in one second.

A total of starts a second is divided among the entries by their rendezvous rank for one
start of the server. Each entry uses its own share only, so that the total needs no
messages and holds for entries that are partitioned from each other. Entries rank all
others that they heard of in the last ``MEMBER_MEMORY_S``, silent ones included: if the
sides of a partition forgot each other, each would use the whole total.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..rendezvous import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable

# Longer than the restarts and partitions of the platform, which end within 20 s.
MEMBER_MEMORY_S = 60.0
# After its start, and after it learned of another entry while it is young, an entry
# does not use its rank: it may not know all others. Two heartbeat intervals.
SETTLE_S = 1.0
# Meanwhile it has one start a second if its hash for the server is among the best in a
# hash space of which this share of the total is divided among so many entries. The
# expected sum over all entries is known although none of them knows the others, and
# those that have a start have one by their rank as well.
UNSETTLED_SHARE = 0.5
UNSETTLED_ENTRIES = 64  # more than any deployment has
# Above the second of the bound by the usual spread of the time to connect.
WINDOW_S = 1.05
# An entry that started within a partition does not know the other sides. The platform's
# partitions end within this time.
YOUNG_S = 20.0
SEED_MEMORY_S = 1.5  # three heartbeat intervals, after which a seed may be cut off
CREDIT_INTERVALS = 2.0  # of the paced rate, which a pause may leave for later


@dataclass(slots=True)
class Members:
    """
    The entries among which shares are divided.

    ``heard_at`` maps hosts to when each was last heard of, and ``learned_at`` is when
    the latest one was added. ``revision`` changes with the set of hosts. ``seeds`` are
    the entries that all others know from the start, and ``seeds_live_at`` is when each
    was last live. ``leaving`` is set while this entry leaves: the others may rank
    without it as soon as they learn that.
    """

    own_host: str = ""
    started_at: float = float("-inf")
    learned_at: float = float("-inf")
    leaving: bool = False
    heard_at: dict[str, float] = field(default_factory=dict)
    revision: int = 0
    seeds: frozenset[str] = frozenset()
    seeds_live_at: dict[str, float] = field(default_factory=dict)

    def set_seeds(self, seeds: Iterable[str], now: float) -> None:
        """Record the entries that all others know from the start."""
        self.seeds = frozenset(seeds)
        known = self.seeds - {self.own_host} - self.heard_at.keys()
        self.heard_at |= dict.fromkeys(known, now)
        self.revision += bool(known)

    def update(self, live: Iterable[str], leaving: Iterable[str], now: float) -> None:
        """Record the entries that are live or reported, and those that leave."""
        previous = set(self.heard_at)
        for host in live:
            self.heard_at[host] = now
        for host in leaving:
            self.heard_at.pop(host, None)
        for host, heard_at in list(self.heard_at.items()):
            if now - heard_at > MEMBER_MEMORY_S:
                del self.heard_at[host]
        self.revision += previous != set(self.heard_at)
        if not self.heard_at.keys() <= previous:
            self.learned_at = now

    def record_live(self, hosts: Iterable[str], now: float) -> None:
        """Record the entries from which heartbeats arrived, not only reports."""
        for host in hosts:
            if host in self.seeds:
                self.seeds_live_at[host] = now

    def seed_share(self, now: float) -> float:
        """Return the share of the seeds that are on this side of a partition."""
        if not self.seeds:
            return 1.0
        near = sum(
            host == self.own_host
            or now - self.seeds_live_at.get(host, float("-inf")) <= SEED_MEMORY_S
            for host in self.seeds
        )
        return near / len(self.seeds)

    def is_young(self, now: float) -> bool:
        """Return whether this entry started lately."""
        return now < self.started_at + YOUNG_S

    def is_settled(self, now: float) -> bool:
        """
        Return whether this entry probably knows all others of its side of a partition.

        All entries send heartbeats to all seeds, so that an entry without any seed on
        its side learns of no other one.
        """
        if not self.is_young(now):
            return True
        is_quiet = now >= max(self.started_at, self.learned_at) + SETTLE_S
        return is_quiet and self.seed_share(now) > 0.0

    def usable_total(self, total: int, now: float) -> int:
        """
        Return the part of a total that the entries of one side may use.

        Entries that started within a partition rank those of their side only. A seed
        is on one side, so that the sum over all sides is the total.
        """
        if not self.is_young(now):
            return total
        return max(1, int(total * self.seed_share(now)))

    def own_share(self, total: int, rank: int, key: str, now: float) -> int:
        """Return how many of ``total`` starts a second this entry may make."""
        if self.is_settled(now):
            return share_of_rank(self.usable_total(total, now), rank, self.count())
        chance = UNSETTLED_SHARE * total / max(UNSETTLED_ENTRIES, self.count())
        return int(self.position(key) < chance)

    def estimate_rank(self, rank: int, key: str, now: float) -> int:
        """Return the rank of this entry, estimated while it may not know all others."""
        if self.is_settled(now):
            return rank
        return max(rank, int(self.position(key) * UNSETTLED_ENTRIES))

    def position(self, key: str) -> float:
        """Return where this entry's hash for a key lies, 0 for the best rank."""
        return 1.0 - hash64(key, self.own_host) / 2**64

    def rank(self, key: str) -> int:
        """Return the position of this entry for a key, 0 for the best."""
        own = (hash64(key, self.own_host), self.own_host)
        return sum(
            (hash64(key, host), host) > own
            for host in self.heard_at
            if host != self.own_host
        )

    def count(self) -> int:
        """Return the number of entries, this one included."""
        return len(self.heard_at) + (self.own_host not in self.heard_at)


def share_of_rank(total: int, rank: int, members: int) -> int:
    """
    Return how many of ``total`` starts the entry of a rank may make.

        >>> [share_of_rank(5, rank, 3) for rank in range(3)]
        [2, 2, 1]
    """
    return total // members + (rank < total % members)


@dataclass(slots=True)
class OwnStarts:
    """
    The starts of this entry at one server.

    ``sent_at`` holds the times of the latest starts. ``paced_at`` is when the next
    start conforms to the paced rate, with the starts that a pause left.
    """

    sent_at: deque[float] = field(default_factory=deque)
    paced_at: float = float("-inf")

    def free_at(self, share: int) -> float:
        """Return when this entry may make its next start, infinity without a share."""
        if share <= 0:
            return float("inf")
        if len(self.sent_at) < share:
            return self.paced_at
        return max(self.paced_at, self.sent_at[-share] + WINDOW_S)

    def record(self, interval_s: float, now: float) -> None:
        """Count a start; ``interval_s`` is between two starts at the paced rate."""
        while self.sent_at and self.sent_at[0] <= now - WINDOW_S:
            self.sent_at.popleft()
        self.sent_at.append(now)
        earliest = now - CREDIT_INTERVALS * interval_s
        self.paced_at = max(self.paced_at, earliest) + interval_s

    def remove(self, sent_at: float, interval_s: float) -> None:
        """Drop a start that the server did not take as one."""
        if sent_at in self.sent_at:
            self.sent_at.remove(sent_at)
            self.paced_at -= interval_s
