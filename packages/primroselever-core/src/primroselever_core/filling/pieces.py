"""
The pieces of a version that a back end's staging area holds or lacks.

Pieces are requested in the order in which their owners fetch them, so that the first
ones arrive while the last are still in transit from the origin. A piece counts as held
only if its digest matches; a piece that became corrupt counts as missing again.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class PieceDigests:
    """The digests of all pieces of one version, SHA-256 in hexadecimal."""

    model: str
    version: int
    digests: tuple[str, ...]

    def matches(self, index: int, data: bytes) -> bool:
        """Return whether the digest of ``data`` matches the piece at an index."""
        return hashlib.sha256(data).hexdigest() == self.digests[index]


@dataclass(slots=True)
class Staging:
    """
    The staging area of one back end, by index of the pieces.

    ``held`` holds the verified pieces, ``requested`` those being requested now, and
    ``last_piece_at`` is when the latest one arrived.
    """

    wanted: PieceDigests
    held: set[int] = field(default_factory=set)
    requested: set[int] = field(default_factory=set)
    last_piece_at: float = 0.0

    def next_piece(self) -> int | None:
        """Return the next piece to request, None if all are held or requested."""
        for index in range(len(self.wanted.digests)):
            if index not in self.held and index not in self.requested:
                return index
        return None

    @property
    def complete(self) -> bool:
        """Return whether every piece is held and verified."""
        return len(self.held) == len(self.wanted.digests)


def piece_owners(
    model: str, version: int, index: int, hosts: Iterable[str]
) -> list[str]:
    """Return the entries of a failure domain, the preferred owner of a piece first."""
    return ranked(f"{model}/{version}/{index}", hosts)
