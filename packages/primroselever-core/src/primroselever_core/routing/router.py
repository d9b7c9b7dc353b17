"""
The routing controller's decisions: where a request goes, and whether it is sent.

Servers of the own failure domain come first. Another domain gets work only while
no server here is usable, and only as much as the budget for the link allows.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import chain
from typing import TYPE_CHECKING

import xxhash

from ..membership.peers import subset_of
from ..outcomes import Done, Ending, NotRun, Reason
from ..suspects.section import Standing
from .choose import Choice, choose_server, shown
from .ejection import note_ending
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
FIRST_ANSWER_BYTES = 4096.0
ANSWER_BYTES_SMOOTHING = 0.05
FULL_REASONS = (Reason.OVERLOADED, Reason.FAIR_SHARE)


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request as routing sees it; ``prefix`` says what engines may hold of it."""

    group: GroupName
    workspace: WorkspaceName
    fingerprint: Fingerprint
    priority: int
    prefix: int
    size_bytes: int


def prefix_of(workspace: WorkspaceName, body: bytes) -> int:
    """Return the hash of a workspace and the first bytes of a body."""
    state = xxhash.xxh3_64(workspace.encode() + b"\x00")
    state.update(body[:PREFIX_BYTES])
    return state.intdigest()


@dataclass(slots=True)
class PoolRecord:
    """A pool and when its membership is looked at again."""

    pool: Pool
    check_at: float


@dataclass(slots=True)
class Copies:
    """Runs of one fingerprint in flight, all on one server."""

    server: Server
    count: int = 0


@dataclass(slots=True)
class Router:
    """Writes the section on servers; ``link`` is in bytes a second."""

    board: Blackboard
    random: Random
    link: TokenBucket
    retries: RetryBudget = field(default_factory=RetryBudget)
    marks: FullMarks = field(default_factory=FullMarks)
    pools: dict[tuple[GroupName, bool], PoolRecord] = field(default_factory=dict)
    copies: dict[Fingerprint, Copies] = field(default_factory=dict)
    answer_bytes: float = FIRST_ANSWER_BYTES

    def choose(
        self, wanted: Wanted, passed_over: Collection[VmId], now: float
    ) -> Choice | NotRun:
        """Return where a request goes, or why it is not sent anywhere."""
        standing = self.board.suspects.standing(wanted.fingerprint, now)
        if standing is Standing.QUARANTINED:
            record = self.board.suspects.records[wanted.fingerprint]
            return NotRun(Reason.QUARANTINED, record.deadline - now)
        pool = self.pool(wanted.group, True, now)
        pool.refresh(now)
        if not any(server.usable(now) for server in pool.usable):
            return self.spill(wanted, passed_over, now)
        if standing is Standing.SUSPECT:
            return self.choose_for_suspect(wanted, pool, passed_over, now)
        beside = self.beside_its_copy(wanted, passed_over, now)
        return beside or self.choose_among(wanted, pool, passed_over, now)

    def choose_among(
        self, wanted: Wanted, pool: Pool, passed_over: Collection[VmId], now: float
    ) -> Choice | NotRun:
        """Return a server that is not known to be full for the workspace."""
        full = self.marks.full(wanted.workspace, wanted.priority, now)
        if full and all(server.vm.vm_id in full for server in pool.usable):
            return NotRun(Reason.OVERLOADED, FULL_RETRY_S)
        return choose_server(
            pool, wanted.prefix, full.union(passed_over), now, self.random
        )

    def choose_for_suspect(
        self, wanted: Wanted, pool: Pool, passed_over: Collection[VmId], now: float
    ) -> Choice | NotRun:
        """Return the same server for a suspect from every entry: its copies queue."""
        key = xxhash.xxh3_64_intdigest(wanted.fingerprint.encode())
        for server in pool.along_ring(key, len(pool.servers)):
            if server.usable(now) and server.vm.vm_id not in passed_over:
                return Choice(server, "suspects run one by one", shown(server))
        return NotRun(Reason.NO_SERVER, FULL_RETRY_S)

    def beside_its_copy(
        self, wanted: Wanted, passed_over: Collection[VmId], now: float
    ) -> Choice | None:
        """Return the server that runs the same request already, if one does."""
        copies = self.copies.get(wanted.fingerprint)
        if copies is None or copies.server.vm.vm_id in passed_over:
            return None
        if not copies.server.usable(now):
            return None
        return Choice(copies.server, "runs the same request", shown(copies.server))

    def spill(
        self, wanted: Wanted, passed_over: Collection[VmId], now: float
    ) -> Choice | NotRun:
        """Return a server of another failure domain, if the link has room."""
        pool = self.pool(wanted.group, False, now)
        choice = choose_server(pool, wanted.prefix, passed_over, now, self.random)
        if isinstance(choice, NotRun):
            return choice
        # What is larger than the whole budget goes when the budget is untouched.
        size = min(wanted.size_bytes + self.answer_bytes, self.link.capacity)
        if not self.link.take(size, now):
            return NotRun(Reason.NO_SERVER, LINK_RETRY_S)
        reason = "no server of the own failure domain"
        return Choice(choice.server, reason, choice.candidates)

    def pool(self, group: GroupName, own: bool, now: float) -> Pool:
        """Return the pool of a group, laid out anew when its members changed."""
        record = self.pools.get((group, own))
        if record is not None and now < record.check_at:
            return record.pool
        servers = self.members(group, own)
        if record is None or record.pool.servers != servers:
            record = self.pools[group, own] = PoolRecord(Pool.of(servers), now)
            self.board.servers.forget_gone(self.board.members.vms, now)
        record.check_at = now + POOL_CHECK_S
        return record.pool

    def members(self, group: GroupName, own: bool) -> list[Server]:
        """Return the subset of a group in the own domain, or in the others."""
        domain = self.board.identity.failure_domain
        vms = subset_of(self.board, group)
        here = (vm for vm in vms if (vm.failure_domain == domain) == own)
        return [self.board.servers.of(vm) for vm in here]

    def started(self, wanted: Wanted, server: Server) -> None:
        """Count a run that is about to be sent."""
        server.in_flight += 1
        self.add_load(wanted.group, server, 1)
        copies = self.copies.setdefault(wanted.fingerprint, Copies(server))
        copies.count += 1

    def ended(
        self, wanted: Wanted, server: Server, ending: Ending | None, now: float
    ) -> bool:
        """
        Take in how a run ended, or None for a caller that went away.

        Return whether its server was ejected for it.
        """
        server.in_flight -= 1
        self.add_load(wanted.group, server, -1)
        copies = self.copies[wanted.fingerprint]
        copies.count -= 1
        if copies.count == 0:
            del self.copies[wanted.fingerprint]
        if isinstance(ending, Done):
            change = ending.length - self.answer_bytes
            self.answer_bytes += ANSWER_BYTES_SMOOTHING * change
        if isinstance(ending, NotRun) and ending.reason in FULL_REASONS:
            retry_after_s = ending.retry_after_s
            self.marks.mark(
                wanted.workspace, wanted.priority, server.vm.vm_id, retry_after_s, now
            )
        pool = self.pool(wanted.group, self.is_own(server), now)
        return ending is not None and note_ending(pool, server, ending, now)

    def is_own(self, server: Server) -> bool:
        """Return whether a server is in this entry's failure domain."""
        return server.vm.failure_domain == self.board.identity.failure_domain

    def add_load(self, group: GroupName, server: Server, change: int) -> None:
        """Count a change of load until the sums are made anew."""
        record = self.pools.get((group, self.is_own(server)))
        if record is not None:
            record.pool.total_load += change

    def ejected(self, now: float) -> int:
        """Return how many servers are ejected."""
        pools = (record.pool.servers for record in self.pools.values())
        return sum(server.ejected_until > now for server in chain(*pools))
