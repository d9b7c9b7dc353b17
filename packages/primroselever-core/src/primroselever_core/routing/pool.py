"""
The candidate servers of one group, and the hash ring that maps prefixes to them.

The cost of a choice does not depend on the number of servers: sums are updated
incrementally, and computed from all servers at most ten times per second.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING

from ..rendezvous import hash64

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .section import Server

POINTS_PER_SERVER = 32
REFRESH_S = 0.1


@dataclass(slots=True)
class Pool:
    """
    The servers of a group in the own failure domain, or in all other domains.

    ``usable`` is up to ``REFRESH_S`` seconds old, so callers check ``Server.usable``
    again before they choose a server from it. ``total_load`` is the number of runs on
    the usable servers.
    """

    servers: list[Server]
    usable: list[Server] = field(default_factory=list)
    total_load: float = 0.0
    next_refresh_at: float = 0.0
    ring_points: list[int] = field(default_factory=list)
    ring_servers: list[Server] = field(default_factory=list)

    @classmethod
    def of(cls, servers: Sequence[Server]) -> Pool:
        """Return a pool of these servers with its hash ring."""
        ring = sorted(
            (hash64(f"point {number}", server.vm.vm_id), server.vm.vm_id, server)
            for server in servers
            for number in range(POINTS_PER_SERVER)
        )
        pool = cls(list(servers))
        pool.ring_points = [point for point, _, _ in ring]
        pool.ring_servers = [server for _, _, server in ring]
        return pool

    def refresh_usable(self, now: float) -> None:
        """Update ``usable`` and ``total_load`` if ``REFRESH_S`` seconds have passed."""
        if now < self.next_refresh_at:
            return
        self.next_refresh_at = now + REFRESH_S
        for server in self.servers:
            server.discard_stale_report(now)
        self.usable = [server for server in self.servers if server.usable(now)]
        self.total_load = sum(server.load() for server in self.usable)

    def iter_ring(self, key: int, count: int) -> Iterator[Server]:
        """Yield up to ``count`` distinct servers that follow a key on the ring."""
        seen: set[str] = set()
        start = bisect_left(self.ring_points, key)
        size = len(self.ring_points)
        for step in islice(range(size), count * POINTS_PER_SERVER):
            server = self.ring_servers[(start + step) % size]
            if server.vm.vm_id not in seen:
                seen.add(server.vm.vm_id)
                yield server
                if len(seen) == count:
                    return
