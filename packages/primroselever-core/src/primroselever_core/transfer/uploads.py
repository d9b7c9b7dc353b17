"""
Whether to send a chunk to a peer, or to name a holder that it should ask.

Whoever is given a chunk becomes a holder for those that ask later, so that a
chunk spreads over a tree that grows where the link is busy, and the load does not
depend on who owns how many chunks.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..budgets import TokenBucket

if TYPE_CHECKING:
    from random import Random

    from ..identifiers import ChunkDigest, VmId

QUEUE_S = 0.4
MAX_QUEUE_S = 1.0
HOLDERS_PER_CHUNK = 16
MAX_CHUNKS_GIVEN = 20_000
HOPS_BEFORE_WAITING = 4


@dataclass(frozen=True, slots=True)
class Send:
    """Send the chunk; the link is free for it at ``at``."""

    at: float


@dataclass(frozen=True, slots=True)
class SendElsewhere:
    """Name a holder; the link is busy."""

    vm_id: VmId


@dataclass(frozen=True, slots=True)
class Busy:
    """No holder is known; ask again at ``retry_at``."""

    retry_at: float


Upload = Send | SendElsewhere | Busy


@dataclass(slots=True)
class UploadPlanner:
    """
    The upload budget of one VM, and to whom it has given which chunk.

    ``bucket`` is None without a limit; ``first_free_at`` is when the bytes that go
    to other failure domains have gone out. ``given`` holds the chunk that was first
    given longest ago in front, which is forgotten first.
    """

    bucket: TokenBucket | None
    random: Random
    first_free_at: float = 0.0
    given: dict[ChunkDigest, deque[VmId]] = field(default_factory=dict)

    @classmethod
    def with_limit(
        cls, bytes_per_s: int, burst_bytes: int, random: Random, now: float
    ) -> UploadPlanner:
        """Return a planner for a link; a rate of 0 means no limit."""
        bucket = TokenBucket.full(bytes_per_s, burst_bytes, now)
        return cls(bucket if bytes_per_s else None, random)

    def backlog_s(self, now: float) -> float:
        """Return for how many seconds the link is taken already."""
        if self.bucket is None:
            return 0.0
        self.bucket.refill(now)
        return max(0.0, -self.bucket.level / self.bucket.rate)

    def reserve_first(self, size: int, now: float) -> float:
        """
        Return when bytes may go out before those that were promised to near VMs.

        They are taken from the budget, so that near VMs wait longer afterwards.
        """
        if self.bucket is None:
            return now
        self.bucket.reserve(size, now)
        start = max(now, self.first_free_at)
        self.first_free_at = start + size / self.bucket.rate
        return self.first_free_at

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
        Return what to answer to an asker for a chunk that is held here.

        ``hops`` is how often the asker was sent on already; past a few it waits
        here. Only askers that are ``near``, in this failure domain, become holders:
        naming a holder elsewhere would cost the link between domains more copies.
        Those of other domains are served first, for whole domains wait for them.
        """
        if not near:
            return Send(self.reserve_first(size, now))
        backlog_s = self.backlog_s(now)
        if backlog_s > QUEUE_S and hops < HOPS_BEFORE_WAITING:
            holders = [vm for vm in self.given.get(digest, ()) if vm != asker]
            if holders:
                return SendElsewhere(self.random.choice(holders))
        if backlog_s > MAX_QUEUE_S:
            return Busy(now + backlog_s - QUEUE_S)
        self.note_given(digest, asker)
        if self.bucket is None:
            return Send(now)
        return Send(self.bucket.reserve(size, now))

    def note_given(self, digest: ChunkDigest, asker: VmId) -> None:
        """Note that an asker holds a chunk from now on."""
        if digest not in self.given:
            if len(self.given) >= MAX_CHUNKS_GIVEN:
                del self.given[next(iter(self.given))]
            self.given[digest] = deque(maxlen=HOLDERS_PER_CHUNK)
        self.given[digest].append(asker)
