"""
Which pieces of a version lie in a back end's staging area, and which are missing.

Pieces are asked for in the order in which owners read them, so that the first ones
arrive while the last are still on their way from the origin. A piece is held only
when its digest fits; a piece that turned bad is missing again.
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

    def fits(self, index: int, data: bytes) -> bool:
        """Return whether bytes are the piece of that number."""
        return hashlib.sha256(data).hexdigest() == self.digests[index]


@dataclass(slots=True)
class Staging:
    """The staging area of one back end as far as it was verified."""

    wanted: PieceDigests
    held: set[int] = field(default_factory=set)
    asked: set[int] = field(default_factory=set)

    def next_piece(self) -> int | None:
        """Return the next piece to ask for, None when all are held or asked for."""
        for index in range(len(self.wanted.digests)):
            if index not in self.held and index not in self.asked:
                return index
        return None

    @property
    def complete(self) -> bool:
        """Return whether every piece was verified."""
        return len(self.held) == len(self.wanted.digests)


def piece_owners(
    model: str, version: int, index: int, hosts: Iterable[str]
) -> list[str]:
    """Return the entries of a failure domain in the order in which they own a piece."""
    return ranked(f"{model}/{version}/{index}", hosts)
