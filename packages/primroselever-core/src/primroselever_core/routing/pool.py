"""
The candidates of one group, and the hash ring that spreads prefixes over them.

Choosing costs the same however many servers there are: sums are brought up to
date by what changes, and anew at most ten times a second.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING

from ..rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .section import Server

POINTS_PER_SERVER = 32
REFRESH_S = 0.1


@dataclass(slots=True)
class Pool:
    """
    The servers of a group in one failure domain, or in all the others.

    ``usable`` is at most ``REFRESH_S`` old: whoever takes a server from it asks the
    server again. ``total_load`` counts the runs on the usable servers.
    """

    servers: list[Server]
    usable: list[Server] = field(default_factory=list)
    total_load: float = 0.0
    refresh_at: float = 0.0
    points: list[int] = field(default_factory=list)
    point_servers: list[Server] = field(default_factory=list)

    @classmethod
    def of(cls, servers: Sequence[Server]) -> Pool:
        """Return a pool of these servers, its ring laid out."""
        ring = sorted(
            (weight(f"point {number}", server.vm.vm_id), server.vm.vm_id, server)
            for server in servers
            for number in range(POINTS_PER_SERVER)
        )
        pool = cls(list(servers))
        pool.points = [point for point, _, _ in ring]
        pool.point_servers = [server for _, _, server in ring]
        return pool

    def refresh(self, now: float) -> None:
        """Bring the usable servers and their load up to date, if it is time."""
        if now < self.refresh_at:
            return
        self.refresh_at = now + REFRESH_S
        for server in self.servers:
            server.forget_stale_report(now)
        self.usable = [server for server in self.servers if server.usable(now)]
        self.total_load = sum(server.load() for server in self.usable)

    def along_ring(self, key: int, count: int) -> Iterator[Server]:
        """Yield up to ``count`` different servers that follow a key on the ring."""
        seen: set[str] = set()
        start = bisect_left(self.points, key)
        size = len(self.points)
        for step in islice(range(size), count * POINTS_PER_SERVER):
            server = self.point_servers[(start + step) % size]
            if server.vm.vm_id not in seen:
                seen.add(server.vm.vm_id)
                yield server
                if len(seen) == count:
                    return
