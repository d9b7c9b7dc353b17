"""
The assignment of a group's servers to entries.

Entries take servers in rounds, one per round. In each round an entry probes a hash
ring of servers at a few points and takes the server with the most remaining
capacity. All entries compute the same assignment from the same lists, so that
servers are covered evenly, and a VM that is added or removed changes little else.

Sources: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
loads", SODA 2018; Byers, Considine and Mitzenmacher, "Simple load balancing for
distributed hash tables", IPTPS 2003, for the use of several probes.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..rendezvous import hash64

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ..identifiers import VmId

SUBSET_SIZE = 24
POINTS_PER_SERVER = 8
# Odd 64-bit multipliers derive several independent points from one hash.
PROBE_MULTIPLIERS = (1, 0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F)
POINT_MASK = (1 << 64) - 1


@dataclass(slots=True)
class Candidates:
    """
    The entries of a failure domain and the servers of a group.

    ``local`` servers are in the same domain as the entries, ``remote`` ones are not.
    """

    entries: list[VmId] = field(default_factory=list)
    local: list[VmId] = field(default_factory=list)
    remote: list[VmId] = field(default_factory=list)

    def equals_locally(self, other: Candidates) -> bool:
        """Return whether the entries and the local servers are the same."""
        own = set(self.entries), set(self.local)
        return own == (set(other.entries), set(other.local))


@dataclass(slots=True)
class Subset:
    """
    The servers of a group that an entry connects to.

    ``local`` servers are in its failure domain, ``remote`` ones in others; both were
    chosen from ``candidates``.
    """

    local: list[VmId]
    remote: list[VmId]
    candidates: Candidates


def server_subset(
    me: VmId,
    entries: Collection[VmId],
    servers: Collection[VmId],
    size: int = SUBSET_SIZE,
) -> list[VmId]:
    """
    Return the servers that the entry ``me`` connects to.

    These are all servers if there are no more than ``size``.
    """
    if len(servers) <= size:
        return sorted(servers)
    assignment = Assignment.of({*entries, me}, servers, size)
    for _ in assignment.run_rounds():
        pass
    return assignment.chosen[me]


@dataclass(slots=True)
class Assignment:
    """
    The subsets of all entries, computed round by round.

    The computation may pause between rounds to let other work run. ``order`` is the
    order of the entries in a round. ``points`` are the sorted points of the ring,
    ``ring_servers`` the servers at these points, and ``capacity`` is how many more
    entries may take a server.
    """

    size: int
    order: list[VmId]
    points: list[int]
    ring_servers: list[VmId]
    capacity: dict[VmId, int]
    chosen: dict[VmId, list[VmId]] = field(default_factory=dict)

    @classmethod
    def of(
        cls, entries: Collection[VmId], servers: Collection[VmId], size: int
    ) -> Assignment:
        """Return an assignment before its first round."""
        ring = sorted(
            (hash64(f"point {number}", server), server)
            for server in servers
            for number in range(POINTS_PER_SERVER)
        )
        max_entries = len(entries) * size // len(servers) + 1
        return cls(
            size=size,
            order=sorted(entries, key=lambda entry: (hash64("entry", entry), entry)),
            points=[point for point, _ in ring],
            ring_servers=[server for _, server in ring],
            capacity=dict.fromkeys(servers, max_entries),
            chosen={entry: [] for entry in entries},
        )

    def run_rounds(self) -> Iterator[int]:
        """Run all rounds; yield the number of each completed one."""
        for number in range(self.size):
            for entry in self.order:
                server = self.choose_server(entry, hash64(f"turn {number}", entry))
                self.capacity[server] -= 1
                self.chosen[entry].append(server)
            yield number

    def choose_server(self, entry: VmId, point: int) -> VmId:
        """Return the server with the most capacity among those an entry probes."""
        taken = self.chosen[entry]
        probed = [
            self.next_with_capacity(point * multiplier & POINT_MASK, taken)
            for multiplier in PROBE_MULTIPLIERS
        ]
        return max(probed, key=lambda server: self.capacity[server])

    def next_with_capacity(self, point: int, taken: list[VmId]) -> VmId:
        """
        Return the first server after a point that has capacity and is not taken.

        If none has capacity left, return the first server that is not taken.
        """
        start = bisect_right(self.points, point)
        count = len(self.ring_servers)
        for index in range(start, start + count):
            server = self.ring_servers[index % count]
            if self.capacity[server] > 0 and server not in taken:
                return server
        return next(server for server in self.capacity if server not in taken)
