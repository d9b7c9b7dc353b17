"""
The choice of the next chunk to read and of its source.

Each failure domain has an owner and fallback owners for each chunk, the same on all
VMs that have the same VM list. The first owner that is not suspect reads the chunk
from outside the domain; all other VMs ask that owner, which redirects them to a
holder when it is busy. A VM that did not answer or sent damaged bytes is suspect,
and is not asked again until its deadline has passed.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..budgets import TokenBucket
from ..profiles.model import Objective
from .chunk_state import ChunkState
from .ownership import Ownership
from .sources import Read, Source, SourceKind

if TYPE_CHECKING:
    from random import Random

    from ..identifiers import VmId
    from .manifest import Manifest
    from .neighbourhood import Neighbourhood

PEER_WAIT_S = 2.0
OWNERS_PER_UPSTREAM_DOMAIN = 2
PEERS_AFTER_OWNERS = 8
OUTSIDE_RETRY_S = 1.0
EXTRA_READS_PER_S = 2.0
EXTRA_READ_BURST = 4.0


class TransferPlanner:
    """
    The planner of the reads of one version on one VM.

    ``manifest_doubted`` is set when the weight store or the origin sent damaged bytes,
    which may mean that the manifest has changed there.
    """

    def __init__(
        self,
        manifest: Manifest,
        missing: list[int],
        objective: Objective,
        neighbourhood: Neighbourhood,
        sources: list[Source],
        random: Random,
        now: float,
    ) -> None:
        self.objective = objective
        self.ownership = Ownership(manifest.digest, neighbourhood)
        self.sources = sources
        self.random = random
        self.chunks = {index: ChunkState(index) for index in missing}
        self.extra_reads = TokenBucket.full(EXTRA_READS_PER_S, EXTRA_READ_BURST, now)
        self.manifest_doubted = False
        self.order: list[int] = []
        self.sort_chunks()

    def sort_chunks(self) -> None:
        """
        Order the chunks: owned chunks first, each part in random order.

        With the same order on all VMs, all would ask the same owner at a time.
        """
        self.order = list(self.chunks)
        self.random.shuffle(self.order)
        self.order.sort(key=lambda index: not self.ownership.is_owned(index))

    @property
    def neighbourhood(self) -> Neighbourhood:
        """Return the VMs of the group, as of the last VM list."""
        return self.ownership.neighbourhood

    def update_neighbourhood(self, neighbourhood: Neighbourhood) -> None:
        """Apply a VM list, which may have changed."""
        if self.ownership.update(neighbourhood):
            self.sort_chunks()

    def is_reading_outside(self, index: int) -> bool:
        """
        Return whether this VM acts as the owner that reads a chunk from outside.

        This is also true between two requests to an owner in another domain.
        """
        chunk = self.chunks.get(index)
        return chunk is not None and chunk.acting_as_owner

    def next_read(self, now: float) -> Read | None:
        """
        Return a read that is due and mark it as active, or None.

        The chunk moves to the end of the order, so that a chunk that is not available
        yet does not delay the others.
        """
        for position, index in enumerate(self.order):
            chunk = self.chunks.get(index)
            if chunk is None or chunk.active_read or chunk.not_before > now:
                continue
            read = self.choose_read(chunk, now)
            if read is not None:
                chunk.active_read = read
                self.order.append(self.order.pop(position))
                return read
        return None

    def choose_read(self, chunk: ChunkState, now: float) -> Read | None:
        """Return the read of a chunk that is due now, or None if it has to wait."""
        if chunk.holder is not None:
            if self.ownership.is_trusted(chunk.holder, now):
                read = self.peer_read(
                    chunk.index, chunk.holder, PEER_WAIT_S, "a holder"
                )
                return replace(read, hops=chunk.hops)
            chunk.clear_holder()
        chunk.acting_as_owner = False
        if chunk.peers_left_to_ask > 0:
            return self.next_peer_read(chunk, now)
        owners = self.ownership.trusted_owners(chunk.index, now)
        current = next((vm for vm in owners if vm not in chunk.passed_owners), None)
        if current is None:
            chunk.owner_rounds += 1
            chunk.passed_owners.clear()
            if chunk.owner_rounds % 2:
                chunk.peers_left_to_ask = PEERS_AFTER_OWNERS
                return self.next_peer_read(chunk, now)
            return self.choose_owner_read(chunk, owners, now)
        if current == self.neighbourhood.own_id:
            return self.choose_owner_read(chunk, owners, now)
        owner = self.ownership.ranking(chunk.index)[0]
        reason = "its owner" if current == owner else "a fallback owner"
        return self.peer_read(chunk.index, current, PEER_WAIT_S, reason)

    def peer_read(self, index: int, vm_id: VmId, wait_s: float, reason: str) -> Read:
        """Return a read of a chunk from a VM of this or another domain."""
        near = vm_id in self.neighbourhood.local_vm_ids
        kind = SourceKind.PEER if near else SourceKind.OTHER_DOMAIN
        return Read(index, Source(kind, vm_id), wait_s, reason)

    def next_peer_read(self, chunk: ChunkState, now: float) -> Read | None:
        """Return a read from the next VM of the domain, regardless of ownership."""
        chunk.peers_left_to_ask -= 1
        own_id = self.neighbourhood.own_id
        peers = [
            vm
            for vm in self.neighbourhood.local_vm_ids
            if vm != own_id and self.ownership.is_trusted(vm, now)
        ]
        if not peers:
            return None
        vm_id = peers[chunk.peers_asked % len(peers)]
        chunk.peers_asked += 1
        return self.peer_read(chunk.index, vm_id, 0.0, "any peer")

    def choose_owner_read(
        self, chunk: ChunkState, owners: list[VmId], now: float
    ) -> Read | None:
        """
        Return the next read of this VM as an owner, or None if it has to wait.

        A VM that is not the first owner reads from outside at a limited rate.
        """
        reads = self.owner_reads(chunk.index, owners, now)
        read = next(
            (r for r in reads if r.source.name not in chunk.tried_sources), None
        )
        if read is None:
            chunk.tried_sources.clear()
            chunk.passed_owners.add(self.neighbourhood.own_id)
            chunk.not_before = now + OUTSIDE_RETRY_S
            return None
        owned = self.ownership.is_owned(chunk.index)
        outside = read.source.kind is not SourceKind.PEER
        if outside and not owned and not self.extra_reads.take_units(1.0, now):
            chunk.not_before = now + OUTSIDE_RETRY_S
            return None
        chunk.acting_as_owner = True
        return read

    def owner_reads(self, index: int, owners: list[VmId], now: float) -> list[Read]:
        """
        Return the reads that an owner tries, in order.

        The other owners in this domain come first: one of them may hold the chunk if
        this VM has replaced it as the acting owner. Next are the owners in the upstream
        domains; an owner waits for them only if the objective is to save origin bytes.
        The weight store and the origin come last.
        """
        neighbourhood = self.neighbourhood
        reads = [
            self.peer_read(index, vm, 0.0, "a fallback owner may hold it")
            for vm in owners
            if vm != neighbourhood.own_id
        ]
        saving = self.objective is Objective.ORIGIN_BYTES
        wait_s = PEER_WAIT_S if saving else 0.0
        for domain in neighbourhood.upstream if saving else neighbourhood.upstream[:1]:
            remote_owners = self.ownership.trusted_owners(index, now, domain)
            for vm in remote_owners[: OWNERS_PER_UPSTREAM_DOMAIN if saving else 1]:
                reads.append(
                    self.peer_read(index, vm, wait_s, f"its owner in {domain}")
                )
        reads += [
            Read(index, source, 0.0, "this VM acts as its owner")
            for source in self.sources
            if self.ownership.is_trusted(source.name, now)
        ]
        return reads

    def finish_read(self, read: Read) -> ChunkState | None:
        """Mark a read as finished; return its chunk, or None if it is held already."""
        chunk = self.chunks.get(read.index)
        if chunk is not None:
            chunk.active_read = None
        return chunk
