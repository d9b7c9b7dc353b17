"""
The decision whether to send a chunk to a peer or to redirect it to a holder.

A peer that is sent a chunk becomes a holder, to which later askers are redirected
while the link is busy. A chunk thus spreads over a tree that grows where the link
is busy, and the load does not depend on how many chunks each VM owns.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..budgets import TokenBucket

if TYPE_CHECKING:
    from random import Random

    from ..identifiers import ChunkDigest, VmId

REDIRECT_BACKLOG_S = 0.4
MAX_BACKLOG_S = 1.0
HOLDERS_PER_CHUNK = 16
MAX_TRACKED_CHUNKS = 20_000
HOPS_BEFORE_WAITING = 4  # below MAX_HOPS, above which the asker returns to the owner


@dataclass(frozen=True, slots=True)
class Send:
    """Send the chunk at the time ``at``, when the link is free for it."""

    at: float


@dataclass(frozen=True, slots=True)
class SendElsewhere:
    """Redirect the peer to a holder, since the link is busy."""

    vm_id: VmId


@dataclass(frozen=True, slots=True)
class Busy:
    """The link is busy and the peer is not redirected; it may retry at ``retry_at``."""

    retry_at: float


Upload = Send | SendElsewhere | Busy


@dataclass(slots=True)
class UploadPlanner:
    """
    The upload budget of one VM, and the VMs to which it has sent each chunk.

    ``bucket`` is None if uploads are not limited. ``cross_domain_free_at`` is when
    all bytes reserved for other failure domains are sent. ``holders`` maps chunks to
    the VMs that were sent them, in the order in which each chunk was first sent; the
    oldest entry is dropped first.
    """

    bucket: TokenBucket | None
    random: Random
    cross_domain_free_at: float = 0.0
    holders: dict[ChunkDigest, deque[VmId]] = field(default_factory=dict)

    @classmethod
    def with_limit(
        cls, bytes_per_s: int, burst_bytes: int, random: Random, now: float
    ) -> UploadPlanner:
        """Return an upload planner for a link; a rate of 0 means no limit."""
        bucket = TokenBucket.full(bytes_per_s, burst_bytes, now)
        return cls(bucket if bytes_per_s else None, random)

    def backlog_s(self, now: float) -> float:
        """Return the time in seconds that the reserved bytes still need."""
        if self.bucket is None:
            return 0.0
        self.bucket.refill(now)
        return max(0.0, -self.bucket.level / self.bucket.rate)

    def reserve_cross_domain(self, size: int, now: float) -> float:
        """
        Reserve bytes for another failure domain; return when they may be sent.

        They go before the bytes already reserved for VMs of this domain. Since they
        are taken from the same budget, later reservations wait longer.
        """
        if self.bucket is None:
            return now
        self.bucket.reserve_units(size, now)
        start = max(now, self.cross_domain_free_at)
        self.cross_domain_free_at = start + size / self.bucket.rate
        return self.cross_domain_free_at

    def decide(
        self,
        digest: ChunkDigest,
        size: int,
        asker: VmId,
        near: bool,
        hops: int,
        now: float,
    ) -> Upload:
        """
        Return how to answer a VM that asks for a chunk held here.

        ``hops`` is how often the asker was redirected already; after a few times it
        waits here instead. Only askers in this failure domain (``near``) become
        holders, since holders in other domains would cause more copies over the link
        between domains. Askers in other domains are served first, because a whole
        domain waits for each of them.
        """
        if not near:
            return Send(self.reserve_cross_domain(size, now))
        backlog_s = self.backlog_s(now)
        if backlog_s > REDIRECT_BACKLOG_S and hops < HOPS_BEFORE_WAITING:
            others = [vm for vm in self.holders.get(digest, ()) if vm != asker]
            if others:
                return SendElsewhere(self.random.choice(others))
        if backlog_s > MAX_BACKLOG_S:
            return Busy(now + backlog_s - REDIRECT_BACKLOG_S)
        self.record_holder(digest, asker)
        if self.bucket is None:
            return Send(now)
        return Send(self.bucket.reserve_units(size, now))

    def record_holder(self, digest: ChunkDigest, asker: VmId) -> None:
        """Record that a VM that asked for a chunk holds it from now on."""
        if digest not in self.holders:
            if len(self.holders) >= MAX_TRACKED_CHUNKS:
                del self.holders[next(iter(self.holders))]
            self.holders[digest] = deque(maxlen=HOLDERS_PER_CHUNK)
        self.holders[digest].append(asker)
