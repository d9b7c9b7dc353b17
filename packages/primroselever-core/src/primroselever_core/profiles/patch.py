"""
Handing on a value as the one stretch in which it differs from the last.

Most changes touch a line of a value that may be a megabyte long. What both have
in common at the front and at the back need not travel again.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class Patch:
    """
    The bytes between a common front and a common back, whose lengths are given.

    ``digest`` is that of the whole new value.
    """

    front: int
    back: int
    middle: bytes
    digest: str


def digest_of(value: bytes) -> str:
    """Return the digest that names a value."""
    return xxhash.xxh3_128_hexdigest(value)


def make_patch(old: bytes, new: bytes) -> Patch:
    """
    Return the patch that turns ``old`` into ``new``.

        >>> make_patch(b"version 1;", b"version 2;").middle
        b'2'
    """
    shorter = min(len(old), len(new))
    front = common_front(old, new)
    limit = shorter - front
    back = common_front(old[len(old) - limit :][::-1], new[len(new) - limit :][::-1])
    return Patch(front, back, new[front : len(new) - back], digest_of(new))


def common_front(one: bytes, other: bytes) -> int:
    """Return how many bytes two values have in common at the front."""
    shorter = min(len(one), len(other))
    low, high = 0, shorter
    while low < high:
        middle = (low + high + 1) // 2
        if one[low:middle] == other[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def apply_patch(old: bytes, patch: Patch) -> bytes | None:
    """Return the new value, or None when the patch does not fit ``old``."""
    if patch.front + patch.back > len(old):
        return None
    new = old[: patch.front] + patch.middle + old[len(old) - patch.back :]
    return new if digest_of(new) == patch.digest else None
