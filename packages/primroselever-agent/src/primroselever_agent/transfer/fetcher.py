"""Carrying out the reads that the planner decides on."""

from __future__ import annotations

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
from primroselever_node.exceptions import SourceRefusedError, WeightSourceError

from .chunk_state import ChunkState

if TYPE_CHECKING:
    from primroselever_core.identifiers import VmId
    from primroselever_core.transfer.manifest import Manifest
    from primroselever_core.transfer.section import TransfersSection
    from primroselever_core.transfer.sources import Read, ReadEvent
    from primroselever_node.platform.weight_source import WeightSource

    from .instruments import TransferInstruments
    from .peers import Peers
    from .serving import ChunkServing

BURST_S = 0.25
ASK_AGAIN_S = 0.05


def bucket_of(bytes_per_s: int) -> TokenBucket | None:
    """Return a full budget, or None without a limit."""
    if not bytes_per_s:
        return None
    return TokenBucket.full(bytes_per_s, bytes_per_s * BURST_S, clock.now())


def pace(bucket: TokenBucket | None, size: int) -> None:
    """Sleep until a budget covers some bytes."""
    if bucket is not None:
        now = clock.now()
        eventlet.sleep(max(0.0, bucket.reserve_units(size, now) - now))


class Fetcher:
    """Reads chunks from peers and sources, within budgets, and verifies them."""

    def __init__(
        self,
        section: TransfersSection,
        peers: Peers,
        sources: dict[str, WeightSource],
        serving: ChunkServing,
        download: TokenBucket | None,
        instruments: TransferInstruments,
    ) -> None:
        self.section = section
        self.peers = peers
        self.sources = sources
        self.serving = serving
        self.download = download
        self.cross_domain: TokenBucket | None = None
        self.instruments = instruments

    def perform(self, manifest: Manifest, read: Read) -> ReadEvent:
        """Carry out one read and return what came of it."""
        if read.source.vm_id is None:
            event = self.from_source(manifest, read)
        else:
            event = self.from_peer(manifest, read, read.source.vm_id)
        kind = read.source.kind.value
        outcome = type(event).__name__.lower()
        self.instruments.reads.add(1, {"source": kind, "outcome": outcome})
        return event

    def from_source(self, manifest: Manifest, read: Read) -> ReadEvent:
        """Read from the weight store or the origin."""
        try:
            data = self.sources[read.source.name].chunk(manifest, read.index)
        except SourceRefusedError:
            return Refused(read)
        except WeightSourceError:
            return Silent(read)
        return self.take_in(manifest, read, data)

    def from_peer(self, manifest: Manifest, read: Read, vm_id: VmId) -> ReadEvent:
        """Read from another agent."""
        reply = self.peers.chunk(vm_id, manifest, read)
        if reply is None:
            return Silent(read)
        if reply.state == ChunkState.HELD:
            if read.source.kind is SourceKind.OTHER_DOMAIN:
                pace(self.cross_domain, len(reply.data))
            return self.take_in(manifest, read, reply.data)
        if reply.state == ChunkState.ELSEWHERE and reply.ask_vm_id:
            return Elsewhere(read, reply.ask_vm_id)
        if reply.state in (ChunkState.PENDING, ChunkState.READING):
            again_s = max(ASK_AGAIN_S, reply.retry_after_ms / 1000)
            reading = reply.state == ChunkState.READING
            return Pending(read, reading, clock.now() + again_s)
        return Refused(read)

    def take_in(self, manifest: Manifest, read: Read, data: bytes) -> ReadEvent:
        """Verify a chunk and hold it."""
        digest = manifest.chunks[read.index]
        if self.section.wanted is not manifest:
            return Refused(read)
        if len(data) != manifest.size_of(read.index):
            return self.damaged(manifest, read)
        known = self.section.store.get(digest) is not None
        if not self.section.store.put(digest, data):
            return self.damaged(manifest, read)
        if not known:
            source = read.source
            self.section.progress.arrived(source.name, len(data), clock.now())
            self.instruments.received.add(len(data), {"source": source.kind.value})
            subject = f"{manifest.digest[:8]}/{read.index}"
            self.instruments.log_placement(subject, source.name, read.reason)
        pace(self.download, len(data))
        self.serving.arrived(digest)
        return Held(read)

    def damaged(self, manifest: Manifest, read: Read) -> ReadEvent:
        """Say which source gave bytes that are not the chunk."""
        subject = f"{manifest.digest[:8]}/{read.index}"
        self.instruments.log_placement(subject, read.source.name, "refused: damaged")
        return Corrupt(read)
