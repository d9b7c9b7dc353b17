"""
Rendezvous hashing: every process ranks the same candidates in the same order.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking, 1998.

    >>> ranked("chunk 7", ["a", "b", "c"]) == ranked("chunk 7", ["c", "a", "b"])
    True
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, TypeVar

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

Name = TypeVar("Name", bound=str)


def weight(key: str, candidate: str) -> int:
    """Return the 64-bit weight of a candidate for a key; the highest ranks first."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def ranked(key: str, candidates: Iterable[Name]) -> list[Name]:
    """Return the candidates, best first; for equal weights the greater name first."""
    return sorted(candidates, key=lambda c: (weight(key, c), c), reverse=True)


def best(key: str, candidates: Iterable[Name], count: int) -> list[Name]:
    """Return the ``count`` best candidates, best first, without sorting them all."""
    return heapq.nlargest(count, candidates, key=lambda c: (weight(key, c), c))
