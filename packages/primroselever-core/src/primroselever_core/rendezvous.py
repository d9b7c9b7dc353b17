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


def hash64(key: str, candidate: str) -> int:
    """Return the 64-bit hash of a key and a candidate; the highest ranks first."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def ranked(key: str, candidates: Iterable[Name]) -> list[Name]:
    """Return the candidates, best first; for equal hashes the greater name first."""
    return sorted(candidates, key=lambda c: (hash64(key, c), c), reverse=True)


def top_ranked(key: str, candidates: Iterable[Name], count: int) -> list[Name]:
    """Return the ``count`` best candidates, best first, without sorting them all."""
    return heapq.nlargest(count, candidates, key=lambda c: (hash64(key, c), c))
