"""
The pieces of a version that a back end's staging area holds or lacks.

A piece counts as held only if its digest matches; a piece that became corrupt counts as
missing again.
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
    The staging area of one back end.

    ``held`` holds the indexes of the verified pieces.
    """

    wanted: PieceDigests
    held: set[int] = field(default_factory=set)

    @property
    def complete(self) -> bool:
        """Return whether every piece is held and verified."""
        return len(self.held) == len(self.wanted.digests)


def piece_owners(
    model: str, version: int, index: int, hosts: Iterable[str]
) -> list[str]:
    """Return the entries of a failure domain, the preferred owner of a piece first."""
    return ranked(f"{model}/{version}/{index}", hosts)
