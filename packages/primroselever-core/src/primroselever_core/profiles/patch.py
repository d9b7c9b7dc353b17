"""
Patches that replace the one range of bytes in which two values differ.

Most changes affect one line of a value that may be a megabyte long, so the common
bytes at the front and at the back are not sent again.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class Patch:
    """
    The new bytes between a common front and back, whose lengths are stored.

    ``digest`` is the digest of the complete new value.
    """

    front: int
    back: int
    middle: bytes
    digest: str


def digest_of(value: bytes) -> str:
    """Return the digest that identifies a value."""
    return xxhash.xxh3_128_hexdigest(value)


def make_patch(old: bytes, new: bytes) -> Patch:
    """
    Return the patch that turns ``old`` into ``new``.

        >>> make_patch(b"version 1;", b"version 2;").middle
        b'2'
    """
    shorter_length = min(len(old), len(new))
    front = common_front_length(old, new)
    limit = shorter_length - front
    back = common_front_length(
        old[len(old) - limit :][::-1], new[len(new) - limit :][::-1]
    )
    return Patch(front, back, new[front : len(new) - back], digest_of(new))


def common_front_length(first: bytes, second: bytes) -> int:
    """Return the number of bytes that two values have in common at the front."""
    shorter_length = min(len(first), len(second))
    low, high = 0, shorter_length
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def apply_patch(old: bytes, patch: Patch) -> bytes | None:
    """Return the new value, or None if the patch does not apply to ``old``."""
    if patch.front + patch.back > len(old):
        return None
    new = old[: patch.front] + patch.middle + old[len(old) - patch.back :]
    return new if digest_of(new) == patch.digest else None
