"""
Which pieces the other entries hold, as bitmaps that their heartbeats carry.

A bitmap is up to 0.5 s late. It names the entry to ask, and never replaces the call.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Two versions of two models then take 256 bytes, so that a datagram stays below
# 1,400 bytes. Larger versions are not published; their entries are asked instead.
MAX_PUBLISHED_PIECES = 512
MAX_PUBLISHED_VERSIONS = 4


def pack_indexes(indexes: Iterable[int]) -> bytes:
    """Return a bitmap in little-endian order, without trailing zero bytes."""
    bits = 0
    for index in indexes:
        bits |= 1 << index
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


@dataclass(slots=True)
class Holdings:
    """
    The pieces that this entry holds and those of the others.

    ``own`` holds the indexes by model and version, ``by_host`` the bitmaps of other
    entries by host and then by model and version.
    """

    own: dict[tuple[str, int], set[int]] = field(default_factory=dict)
    by_host: dict[str, dict[tuple[str, int], int]] = field(default_factory=dict)

    def publish(self) -> dict[str, dict[int, bytes]]:
        """Return the bitmaps of the newest versions that this entry holds."""
        maps: dict[str, dict[int, bytes]] = {}
        versions = sorted(self.own, key=lambda key: key[1])[-MAX_PUBLISHED_VERSIONS:]
        for model, version in versions:
            indexes = self.own[model, version]
            if indexes and max(indexes) < MAX_PUBLISHED_PIECES:
                maps.setdefault(model, {})[version] = pack_indexes(indexes)
        return maps

    def record(self, host: str, maps: Mapping[str, Mapping[int, bytes]]) -> None:
        """Replace what is known of a host by the bitmaps of its latest heartbeat."""
        self.by_host[host] = {
            (model, version): int.from_bytes(packed, "little")
            for model, versions in maps.items()
            for version, packed in versions.items()
        }

    def find_holders(
        self, model: str, version: int, index: int, hosts: Iterable[str]
    ) -> list[str]:
        """Return those of the hosts that hold a piece; a manifest has no bitmap."""
        if index < 0:
            return []
        return [
            host
            for host in hosts
            if self.by_host.get(host, {}).get((model, version), 0) >> index & 1
        ]

    def count_held(self, model: str, version: int, hosts: Iterable[str]) -> int:
        """Return how many pieces this entry or any of the hosts holds."""
        own = self.own.get((model, version), ())
        bits = int.from_bytes(pack_indexes(own), "little")
        for host in hosts:
            bits |= self.by_host.get(host, {}).get((model, version), 0)
        return bits.bit_count()
