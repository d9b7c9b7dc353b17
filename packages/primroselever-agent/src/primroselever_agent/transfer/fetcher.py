"""Performing the reads that the transfer planner schedules."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.budgets import TokenBucket
from primroselever_core.transfer.sources import (
    Corrupt,
    Elsewhere,
    Held,
    Pending,
    Refused,
    Silent,
    SourceKind,
)
from primroselever_node import clock
from primroselever_node.exceptions import WeightSourceError, WeightSourceStatusError

from .chunk_state import ChunkReplyState

if TYPE_CHECKING:
    from primroselever_core.identifiers import VmId
    from primroselever_core.transfer.manifest import Manifest
    from primroselever_core.transfer.section import TransfersSection
    from primroselever_core.transfer.sources import Read, ReadEvent
    from primroselever_node.platform.weight_source import WeightSource

    from .instruments import TransferInstruments
    from .peers import Peers
    from .serving import ChunkServing

BUDGET_BURST_S = 0.25
MIN_RETRY_DELAY_S = 0.05

logger = logging.getLogger(__name__)


def new_bucket(bytes_per_s: int) -> TokenBucket | None:
    """Return a full token bucket, or None for a rate of 0, which means no limit."""
    if not bytes_per_s:
        return None
    return TokenBucket.full(bytes_per_s, bytes_per_s * BUDGET_BURST_S, clock.now())


def wait_for_budget(bucket: TokenBucket | None, size: int) -> None:
    """Sleep until ``bucket`` covers ``size`` bytes; None means no limit."""
    if bucket is not None:
        now = clock.now()
        eventlet.sleep(max(0.0, bucket.reserve_units(size, now) - now))


class Fetcher:
    """Reads chunks from peers and sources within byte budgets, and verifies them."""

    def __init__(
        self,
        section: TransfersSection,
        peers: Peers,
        sources: dict[str, WeightSource],
        serving: ChunkServing,
        download_budget: TokenBucket | None,
        instruments: TransferInstruments,
    ) -> None:
        self.section = section
        self.peers = peers
        self.sources = sources
        self.serving = serving
        self.download_budget = download_budget
        self.cross_domain_budget: TokenBucket | None = None
        self.instruments = instruments

    def perform_read(self, manifest: Manifest, read: Read) -> ReadEvent:
        """Perform one read and return its outcome."""
        if read.source.vm_id is None:
            event = self.read_from_source(manifest, read)
        else:
            event = self.read_from_peer(manifest, read, read.source.vm_id)
        kind = read.source.kind.value
        outcome = type(event).__name__.lower()
        self.instruments.reads.add(1, {"source": kind, "outcome": outcome})
        return event

    def read_from_source(self, manifest: Manifest, read: Read) -> ReadEvent:
        """Read a chunk from the weight store or the origin."""
        try:
            data = self.sources[read.source.name].fetch_chunk(manifest, read.index)
        except WeightSourceStatusError as exc:
            logger.warning("a chunk was not read: %s", exc)
            return Refused(read)
        except WeightSourceError as exc:
            logger.warning("a chunk was not read: %s", exc)
            return Silent(read)
        return self.store_chunk(manifest, read, data)

    def read_from_peer(self, manifest: Manifest, read: Read, vm_id: VmId) -> ReadEvent:
        """Read a chunk from another agent."""
        reply = self.peers.fetch_chunk(vm_id, manifest, read)
        if reply is None:
            return Silent(read)
        if reply.state == ChunkReplyState.HELD:
            if read.source.kind is SourceKind.OTHER_DOMAIN:
                wait_for_budget(self.cross_domain_budget, len(reply.data))
            return self.store_chunk(manifest, read, reply.data)
        if reply.state == ChunkReplyState.ELSEWHERE and reply.ask_vm_id:
            return Elsewhere(read, reply.ask_vm_id)
        if reply.state in (ChunkReplyState.PENDING, ChunkReplyState.READING):
            retry_delay_s = max(MIN_RETRY_DELAY_S, reply.retry_after_ms / 1000)
            reading = reply.state == ChunkReplyState.READING
            return Pending(read, reading, clock.now() + retry_delay_s)
        return Refused(read)

    def store_chunk(self, manifest: Manifest, read: Read, data: bytes) -> ReadEvent:
        """Verify a chunk and store it; refuse it if its version is no longer wanted."""
        digest = manifest.chunks[read.index]
        if self.section.wanted is not manifest:
            return Refused(read)
        if len(data) != manifest.size_of(read.index):
            return self.reject_damaged(manifest, read)
        already_held = self.section.store.get(digest) is not None
        if not self.section.store.put(digest, data):
            return self.reject_damaged(manifest, read)
        if not already_held:
            source = read.source
            self.section.progress.record_arrival(source.name, len(data), clock.now())
            self.instruments.received.add(len(data), {"source": source.kind.value})
            subject = f"{manifest.digest[:8]}/{read.index}"
            self.instruments.log_chunk_decision(subject, source.name, read.reason)
        # The bytes were already received: the wait delays the reads that follow.
        wait_for_budget(self.download_budget, len(data))
        self.serving.wake_waiting_calls(digest)
        return Held(read)

    def reject_damaged(self, manifest: Manifest, read: Read) -> ReadEvent:
        """Log the source of a chunk of the wrong size or digest; return the outcome."""
        subject = f"{manifest.digest[:8]}/{read.index}"
        self.instruments.log_chunk_decision(
            subject, read.source.name, "refused: damaged"
        )
        return Corrupt(read)
