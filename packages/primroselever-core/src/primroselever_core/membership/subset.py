"""
Which servers of a group an entry talks to.

Each entry takes its servers in turns. In each turn it probes a ring of servers at a
few points and takes the one that has most room left. All entries compute the same
assignment from the same lists, so that coverage is even, and a VM that comes or
goes moves little else.

Sources: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
loads", SODA 2018; Byers, Considine and Mitzenmacher, "Simple load balancing for
distributed hash tables", IPTPS 2003, for the several probes.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ..identifiers import VmId

SUBSET_SIZE = 24
POINTS_PER_SERVER = 8
# Odd multipliers of 64 bits spread one hash to several independent points.
PROBES = (1, 0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F)
POINT_MASK = (1 << 64) - 1


@dataclass(slots=True)
class Candidates:
    """A domain's entries, its servers of a group, and the group's servers away."""

    entries: list[VmId] = field(default_factory=list)
    here: list[VmId] = field(default_factory=list)
    away: list[VmId] = field(default_factory=list)

    def same_domain(self, other: Candidates) -> bool:
        """Return whether two are alike as far as the own domain goes."""
        mine = set(self.entries), set(self.here)
        return mine == (set(other.entries), set(other.here))


@dataclass(slots=True)
class Subset:
    """
    The servers of a group that an entry talks to, in its domain and elsewhere.

    ``candidates`` is what they were chosen from.
    """

    near: list[VmId]
    far: list[VmId]
    candidates: Candidates


def server_subset(
    me: VmId,
    entries: Collection[VmId],
    servers: Collection[VmId],
    size: int = SUBSET_SIZE,
) -> list[VmId]:
    """
    Return the servers that the entry ``me`` talks to.

    All of them when there are no more than ``size``.
    """
    if len(servers) <= size:
        return sorted(servers)
    assignment = Assignment.of({*entries, me}, servers, size)
    for _ in assignment.turns():
        pass
    return assignment.chosen[me]


@dataclass(slots=True)
class Assignment:
    """
    Every entry's subset, worked out turn by turn.

    Between two turns whoever works it out may let others run.
    """

    size: int
    order: list[VmId]
    points: list[int]
    owners: list[VmId]
    room: dict[VmId, int]
    chosen: dict[VmId, list[VmId]] = field(default_factory=dict)

    @classmethod
    def of(
        cls, entries: Collection[VmId], servers: Collection[VmId], size: int
    ) -> Assignment:
        """Return an assignment in which no turn was taken yet."""
        ring = sorted(
            (weight(f"point {number}", server), server)
            for server in servers
            for number in range(POINTS_PER_SERVER)
        )
        most = len(entries) * size // len(servers) + 1
        return cls(
            size=size,
            order=sorted(entries, key=lambda entry: (weight("entry", entry), entry)),
            points=[point for point, _ in ring],
            owners=[server for _, server in ring],
            room=dict.fromkeys(servers, most),
            chosen={entry: [] for entry in entries},
        )

    def turns(self) -> Iterator[int]:
        """Take all turns; yield the number of each one."""
        for turn in range(self.size):
            for entry in self.order:
                server = self.choose(entry, weight(f"turn {turn}", entry))
                self.room[server] -= 1
                self.chosen[entry].append(server)
            yield turn

    def choose(self, entry: VmId, point: int) -> VmId:
        """Return the server with most room among those that an entry probes."""
        held = self.chosen[entry]
        probed = [self.next_with_room(point * p & POINT_MASK, held) for p in PROBES]
        return max(probed, key=lambda server: self.room[server])

    def next_with_room(self, point: int, held: list[VmId]) -> VmId:
        """Return the first server after a point that may be taken."""
        start = bisect_right(self.points, point)
        count = len(self.owners)
        for index in range(start, start + count):
            server = self.owners[index % count]
            if self.room[server] > 0 and server not in held:
                return server
        return next(server for server in self.room if server not in held)
