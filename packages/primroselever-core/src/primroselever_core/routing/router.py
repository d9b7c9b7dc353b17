"""
Decisions of the routing controller: which server a request is sent to, if any.

Servers of the own failure domain are preferred. Other domains get work only while no
server of the own domain is usable, and only within the byte budget of the link.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import chain
from typing import TYPE_CHECKING

import xxhash

from ..membership.peers import connected_servers
from ..outcomes import Done, Ending, NotRun, Reason
from ..suspects.section import Standing
from .choose import Choice, choose_server, describe_candidate
from .ejection import record_ending
from .full_marks import FullMarks
from .pool import Pool
from .retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from ..board import Blackboard
    from ..budgets import TokenBucket
    from ..identifiers import Fingerprint, GroupName, VmId, WorkspaceName
    from .section import Server

PREFIX_BYTES = 256
POOL_CHECK_S = 0.5
LINK_RETRY_S = 1.0
FULL_RETRY_S = 1.0
INITIAL_ANSWER_BYTES = 4096.0
ANSWER_BYTES_SMOOTHING = 0.05
FULL_REASONS = (Reason.OVERLOADED, Reason.FAIR_SHARE)


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """A request to route; ``prefix`` identifies the part that an engine may cache."""

    group: GroupName
    workspace: WorkspaceName
    fingerprint: Fingerprint
    priority: int
    prefix: int
    size_bytes: int


def prefix_of(workspace: WorkspaceName, body: bytes) -> int:
    """Return the hash of a workspace and the first ``PREFIX_BYTES`` of a body."""
    state = xxhash.xxh3_64(workspace.encode() + b"\x00")
    state.update(body[:PREFIX_BYTES])
    return state.intdigest()


@dataclass(slots=True)
class CachedPool:
    """A pool and the time of the next check of its membership."""

    pool: Pool
    next_check_at: float


@dataclass(slots=True)
class DuplicateRuns:
    """The number of runs of one fingerprint in flight, and the server of the first."""

    server: Server
    count: int = 0


@dataclass(slots=True)
class Router:
    """
    Chooses servers for requests and writes the servers section.

    ``spill_budget`` limits the bytes per second exchanged with other failure domains.
    """

    board: Blackboard
    random: Random
    spill_budget: TokenBucket
    retries: RetryBudget = field(default_factory=RetryBudget)
    full_marks: FullMarks = field(default_factory=FullMarks)
    pools: dict[tuple[GroupName, bool], CachedPool] = field(default_factory=dict)
    duplicates: dict[Fingerprint, DuplicateRuns] = field(default_factory=dict)
    mean_answer_bytes: float = INITIAL_ANSWER_BYTES

    def choose_for_request(
        self, request: RoutingRequest, excluded: Collection[VmId], now: float
    ) -> Choice | NotRun:
        """Return the server for a request, or the reason why it is not sent."""
        standing = self.board.suspects.standing(request.fingerprint, now)
        if standing is Standing.QUARANTINED:
            record = self.board.suspects.records[request.fingerprint]
            return NotRun(Reason.QUARANTINED, record.deadline - now)
        pool = self.get_pool(request.group, True, now)
        pool.refresh_usable(now)
        if not any(server.usable(now) for server in pool.usable):
            return self.choose_other_domain(request, excluded, now)
        if standing is Standing.SUSPECT:
            return self.choose_for_suspect(request, pool, excluded, now)
        choice = self.find_duplicate(request, excluded, now)
        return choice or self.choose_not_full(request, pool, excluded, now)

    def choose_not_full(
        self,
        request: RoutingRequest,
        pool: Pool,
        excluded: Collection[VmId],
        now: float,
    ) -> Choice | NotRun:
        """Return a server of a pool that is not marked full for the workspace."""
        full = self.full_marks.full_servers(request.workspace, request.priority, now)
        if full and all(server.vm.vm_id in full for server in pool.usable):
            return NotRun(Reason.OVERLOADED, FULL_RETRY_S)
        return choose_server(
            pool, request.prefix, full.union(excluded), now, self.random
        )

    def choose_for_suspect(
        self,
        request: RoutingRequest,
        pool: Pool,
        excluded: Collection[VmId],
        now: float,
    ) -> Choice | NotRun:
        """
        Return the server for a suspect request.

        Entries whose pools hold the same servers choose the same one, so that
        duplicates queue there.
        """
        key = xxhash.xxh3_64_intdigest(request.fingerprint.encode())
        for server in pool.iter_ring(key, len(pool.servers)):
            if server.usable(now) and server.vm.vm_id not in excluded:
                return Choice(
                    server, "suspects run one by one", describe_candidate(server)
                )
        return NotRun(Reason.NO_SERVER, FULL_RETRY_S)

    def find_duplicate(
        self, request: RoutingRequest, excluded: Collection[VmId], now: float
    ) -> Choice | None:
        """Return the choice of a server that already runs the same request, or None."""
        duplicate = self.duplicates.get(request.fingerprint)
        if duplicate is None or duplicate.server.vm.vm_id in excluded:
            return None
        if not duplicate.server.usable(now):
            return None
        return Choice(
            duplicate.server,
            "runs the same request",
            describe_candidate(duplicate.server),
        )

    def choose_other_domain(
        self, request: RoutingRequest, excluded: Collection[VmId], now: float
    ) -> Choice | NotRun:
        """Return a server of another failure domain if the link budget allows it."""
        pool = self.get_pool(request.group, False, now)
        choice = choose_server(pool, request.prefix, excluded, now, self.random)
        if isinstance(choice, NotRun):
            return choice
        # A request larger than the whole budget is sent when the budget is full.
        size = min(
            request.size_bytes + self.mean_answer_bytes, self.spill_budget.capacity
        )
        if not self.spill_budget.take_units(size, now):
            return NotRun(Reason.NO_SERVER, LINK_RETRY_S)
        reason = "no server of the own failure domain"
        return Choice(choice.server, reason, choice.candidates)

    def get_pool(self, group: GroupName, own_domain: bool, now: float) -> Pool:
        """Return the pool of a group, rebuilt when its servers have changed."""
        record = self.pools.get((group, own_domain))
        if record is not None and now < record.next_check_at:
            return record.pool
        servers = self.find_servers(group, own_domain)
        if record is None or record.pool.servers != servers:
            record = self.pools[group, own_domain] = CachedPool(Pool.of(servers), now)
            self.board.servers.remove_gone(self.board.members.vms, now)
        record.next_check_at = now + POOL_CHECK_S
        return record.pool

    def find_servers(self, group: GroupName, own_domain: bool) -> list[Server]:
        """Return the subset of a group in the own domain or in all other domains."""
        domain = self.board.identity.failure_domain
        vms = connected_servers(self.board, group)
        matching = (vm for vm in vms if (vm.failure_domain == domain) == own_domain)
        return [self.board.servers.get_server(vm) for vm in matching]

    def record_start(self, request: RoutingRequest, server: Server) -> None:
        """Count a run as in flight before it is sent to a server."""
        server.in_flight += 1
        self.add_load(request.group, server, 1)
        duplicate = self.duplicates.setdefault(
            request.fingerprint, DuplicateRuns(server)
        )
        duplicate.count += 1

    def record_end(
        self, request: RoutingRequest, server: Server, ending: Ending | None, now: float
    ) -> bool:
        """
        Record how a run ended; ``ending`` is None if its caller disconnected.

        Return whether the server was ejected for it.
        """
        server.in_flight -= 1
        self.add_load(request.group, server, -1)
        duplicate = self.duplicates[request.fingerprint]
        duplicate.count -= 1
        if duplicate.count == 0:
            del self.duplicates[request.fingerprint]
        if isinstance(ending, Done):
            error_bytes = ending.length - self.mean_answer_bytes
            self.mean_answer_bytes += ANSWER_BYTES_SMOOTHING * error_bytes
        if isinstance(ending, NotRun) and ending.reason in FULL_REASONS:
            retry_after_s = ending.retry_after_s
            self.full_marks.mark_full(
                request.workspace, request.priority, server.vm.vm_id, retry_after_s, now
            )
        pool = self.get_pool(request.group, self.is_in_own_domain(server), now)
        return ending is not None and record_ending(pool, server, ending, now)

    def is_in_own_domain(self, server: Server) -> bool:
        """Return whether a server is in this entry's failure domain."""
        return server.vm.failure_domain == self.board.identity.failure_domain

    def add_load(self, group: GroupName, server: Server, change: int) -> None:
        """Add a change to a pool's total load until it is computed again."""
        record = self.pools.get((group, self.is_in_own_domain(server)))
        if record is not None:
            record.pool.total_load += change

    def count_ejected(self, now: float) -> int:
        """Return the number of ejected servers."""
        pools = (record.pool.servers for record in self.pools.values())
        return sum(server.ejected_until > now for server in chain(*pools))
