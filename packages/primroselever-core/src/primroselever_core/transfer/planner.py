"""
Which chunk to read from which source now.

Each failure domain has an owner and fallback owners for each chunk, on which all
VMs agree as far as their lists agree. The first of them that is not suspect reads
the chunk from outside; everyone else asks it, and is sent on to a holder when it
is busy. Nothing is asked of a VM that failed to answer, or gave damaged bytes,
until its deadline as a suspect has passed.
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
FAR_OWNERS = 2
OTHERS_AT_ONCE = 8
OUTSIDE_AGAIN_S = 1.0
EXTRA_READS_PER_S = 2.0
EXTRA_READS_AT_ONCE = 4.0


class TransferPlanner:
    """Plans the reads of one version on one VM."""

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
        self.extra_reads = TokenBucket.full(EXTRA_READS_PER_S, EXTRA_READS_AT_ONCE, now)
        self.doubted = False
        self.order: list[int] = []
        self.sort()

    def sort(self) -> None:
        """
        Put owned chunks first, then the rest in an order of this VM's own.

        Were the order the same everywhere, all VMs would ask one owner at a time.
        """
        self.order = list(self.chunks)
        self.random.shuffle(self.order)
        self.order.sort(key=lambda index: not self.ownership.owned(index))

    @property
    def neighbourhood(self) -> Neighbourhood:
        """Return the VMs of the group as they are known now."""
        return self.ownership.neighbourhood

    def meet(self, neighbourhood: Neighbourhood) -> None:
        """Take in a changed VM list."""
        if self.ownership.meet(neighbourhood):
            self.sort()

    def reading_outside(self, index: int) -> bool:
        """
        Return whether this VM brings a chunk into its failure domain.

        It still does so between two asks of an owner in another domain.
        """
        chunk = self.chunks.get(index)
        return chunk is not None and chunk.stepping

    def next_read(self, now: float) -> Read | None:
        """
        Return a read that is due and mark it as active, or None.

        It goes to the end, so that a chunk that is not there yet keeps none of
        the others waiting.
        """
        for position, index in enumerate(self.order):
            chunk = self.chunks.get(index)
            if chunk is None or chunk.active or chunk.not_before > now:
                continue
            read = self.choose(chunk, now)
            if read is not None:
                chunk.active = read
                self.order.append(self.order.pop(position))
                return read
        return None

    def choose(self, chunk: ChunkState, now: float) -> Read | None:
        """Return where to read a chunk now, or None when it has to wait."""
        if chunk.holder is not None:
            if self.ownership.trusted(chunk.holder, now):
                read = self.ask(chunk.index, chunk.holder, PEER_WAIT_S, "a holder")
                return replace(read, hops=chunk.hops)
            chunk.back_to_owner()
        chunk.stepping = False
        if chunk.others_left > 0:
            return self.ask_other(chunk, now)
        candidates = self.ownership.owners(chunk.index, now)
        current = next((vm for vm in candidates if vm not in chunk.passed), None)
        if current is None:
            chunk.rounds += 1
            chunk.passed.clear()
            if chunk.rounds % 2:
                chunk.others_left = OTHERS_AT_ONCE
                return self.ask_other(chunk, now)
            return self.choose_outside(chunk, candidates, now)
        if current == self.neighbourhood.mine:
            return self.choose_outside(chunk, candidates, now)
        owner = self.ownership.ranking(chunk.index)[0]
        reason = "its owner" if current == owner else "a fallback owner"
        return self.ask(chunk.index, current, PEER_WAIT_S, reason)

    def ask(self, index: int, vm_id: VmId, wait_s: float, reason: str) -> Read:
        """Return a read from a peer."""
        near = vm_id in self.neighbourhood.near
        kind = SourceKind.PEER if near else SourceKind.OTHER_DOMAIN
        return Read(index, Source(kind, vm_id), wait_s, reason)

    def ask_other(self, chunk: ChunkState, now: float) -> Read | None:
        """Return a read from the next VM of the domain, whoever owns the chunk."""
        chunk.others_left -= 1
        mine = self.neighbourhood.mine
        others = [
            vm
            for vm in self.neighbourhood.near
            if vm != mine and self.ownership.trusted(vm, now)
        ]
        if not others:
            return None
        vm_id = others[chunk.others_asked % len(others)]
        chunk.others_asked += 1
        return self.ask(chunk.index, vm_id, 0.0, "any peer")

    def choose_outside(
        self, chunk: ChunkState, candidates: list[VmId], now: float
    ) -> Read | None:
        """Return the next step of an owner, and count extra reads of others."""
        steps = self.outside_steps(chunk.index, candidates, now)
        read = next((s for s in steps if s.source.name not in chunk.tried), None)
        if read is None:
            chunk.tried.clear()
            chunk.passed.add(self.neighbourhood.mine)
            chunk.not_before = now + OUTSIDE_AGAIN_S
            return None
        owned = self.ownership.owned(chunk.index)
        outside = read.source.kind is not SourceKind.PEER
        if outside and not owned and not self.extra_reads.take(1.0, now):
            chunk.not_before = now + OUTSIDE_AGAIN_S
            return None
        chunk.stepping = True
        return read

    def outside_steps(
        self, index: int, candidates: list[VmId], now: float
    ) -> list[Read]:
        """
        Return an owner's sources in order.

        Fallback owners come first: they hold the chunk when this VM is a
        replacement. Then come the owners in the domains before this one, which are
        waited for only when the objective is to save origin bytes.
        """
        where = self.neighbourhood
        steps = [
            self.ask(index, vm, 0.0, "a fallback owner may hold it")
            for vm in candidates
            if vm != where.mine
        ]
        saving = self.objective is Objective.ORIGIN_BYTES
        wait_s = PEER_WAIT_S if saving else 0.0
        for domain in where.upstream if saving else where.upstream[:1]:
            owners = self.ownership.owners(index, now, domain)
            for vm in owners[: FAR_OWNERS if saving else 1]:
                steps.append(self.ask(index, vm, wait_s, f"its owner in {domain}"))
        steps += [
            Read(index, source, 0.0, "owned")
            for source in self.sources
            if self.ownership.trusted(source.name, now)
        ]
        return steps

    def finish(self, read: Read) -> ChunkState | None:
        """Return the chunk of a read that is over, unless it is held already."""
        chunk = self.chunks.get(read.index)
        if chunk is not None:
            chunk.active = None
        return chunk
