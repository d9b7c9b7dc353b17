"""An in-memory store of verified chunks with a size limit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .manifest import chunk_digest

if TYPE_CHECKING:
    from ..identifiers import ChunkDigest
    from .manifest import Manifest


@dataclass(slots=True)
class ChunkStore:
    """
    Verified chunks by digest; ``limit_bytes`` bounds their total size.

    A chunk whose bytes do not match its digest, or that does not fit, is rejected.
    Chunks that the wanted version does not need have a deadline in ``deadlines``:
    they are served to peers until then, but are dropped earlier if space is needed.
    """

    limit_bytes: int
    held_bytes: int = 0
    chunks: dict[ChunkDigest, bytes] = field(default_factory=dict)
    deadlines: dict[ChunkDigest, float] = field(default_factory=dict)

    def put(self, digest: ChunkDigest, data: bytes) -> bool:
        """Store a chunk if it is intact and fits; return whether it is held."""
        if digest in self.chunks:
            return True
        if chunk_digest(data) != digest or not self.make_room(len(data)):
            return False
        self.chunks[digest] = data
        self.held_bytes += len(data)
        return True

    def make_room(self, size: int) -> bool:
        """
        Return whether a chunk fits, after dropping unneeded chunks if necessary.

        Chunks with the earliest deadline are dropped first. If dropping all of them
        would not free enough space, none is dropped.
        """
        bytes_to_free = self.held_bytes + size - self.limit_bytes
        if bytes_to_free <= 0:
            return True
        if sum(len(self.chunks[digest]) for digest in self.deadlines) < bytes_to_free:
            return False
        for digest in sorted(self.deadlines, key=lambda d: self.deadlines[d]):
            if self.held_bytes + size <= self.limit_bytes:
                break
            self.discard(digest)
        return True

    def get(self, digest: ChunkDigest) -> bytes | None:
        """Return the bytes of a chunk, or None if it is not held."""
        return self.chunks.get(digest)

    def discard(self, digest: ChunkDigest) -> None:
        """Drop a chunk if it is held."""
        self.deadlines.pop(digest, None)
        data = self.chunks.pop(digest, None)
        if data is not None:
            self.held_bytes -= len(data)

    def expire_unneeded(self, manifest: Manifest, deadline: float) -> None:
        """Set a deadline for all chunks that a manifest does not need."""
        needed = set(manifest.chunks)
        for digest in needed:
            self.deadlines.pop(digest, None)
        for digest in self.chunks:
            if digest not in needed:
                self.deadlines.setdefault(digest, deadline)

    def expire(self, now: float) -> None:
        """Drop chunks whose deadline has passed."""
        for digest in [d for d, deadline in self.deadlines.items() if deadline <= now]:
            self.discard(digest)

    def missing_indexes(self, manifest: Manifest) -> list[int]:
        """Return the indexes of a manifest's chunks that are not held, in order."""
        return [i for i, d in enumerate(manifest.chunks) if d not in self.chunks]

    def is_complete(self, manifest: Manifest) -> bool:
        """Return whether all chunks of a manifest are held and have its length."""
        total = 0
        for index, digest in enumerate(manifest.chunks):
            data = self.chunks.get(digest)
            if data is None or len(data) != manifest.size_of(index):
                return False
            total += len(data)
        return total == manifest.length
