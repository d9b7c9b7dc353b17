"""
Pieces of weights in an agent's memory.

The staging area holds one copy of a model. Pieces of a second version are kept in
memory until it may be staged, and pieces of the first one until it is loaded, so that a
piece that became corrupt in the staging area is replaced without the link.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# Two versions of up to 24 MiB; an agent has 168 MB in all, of which it uses about 60
# MB.
MAX_CACHE_BYTES = 48 << 20
MAX_CACHED_VERSIONS = 2


@dataclass(slots=True)
class PieceCache:
    """
    The verified pieces held in memory, by version and index.

    ``max_bytes`` bounds the size of all pieces together, ``used_bytes`` is their size.
    """

    max_bytes: int = MAX_CACHE_BYTES
    pieces: dict[int, dict[int, bytes]] = field(default_factory=dict)
    used_bytes: int = 0

    def put(self, version: int, index: int, data: bytes) -> bool:
        """Keep a piece; return False if that would exceed a limit."""
        held = self.pieces.get(version, {})
        if index in held:
            return True
        if version not in self.pieces and len(self.pieces) >= MAX_CACHED_VERSIONS:
            return False
        if self.used_bytes + len(data) > self.max_bytes:
            return False
        self.pieces.setdefault(version, held)[index] = data
        self.used_bytes += len(data)
        return True

    def get(self, version: int, index: int) -> bytes | None:
        """Return a piece, or None if it is not held."""
        return self.pieces.get(version, {}).get(index)

    def held(self, version: int) -> Collection[int]:
        """Return the indexes of the pieces held of a version."""
        return self.pieces.get(version, {}).keys()

    def keep_only(self, versions: Collection[int]) -> list[int]:
        """Drop the pieces of all other versions; return those versions."""
        dropped = [version for version in self.pieces if version not in versions]
        for version in dropped:
            self.used_bytes -= sum(map(len, self.pieces.pop(version).values()))
        return dropped
