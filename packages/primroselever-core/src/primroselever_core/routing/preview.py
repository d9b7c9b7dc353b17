"""Copies of a router, to find out what it would choose without changing its state."""

from __future__ import annotations

from copy import copy, deepcopy
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..suspects.section import SuspectsSection
from .router import CachedPool, DuplicateRuns, Router
from .section import Server, ServersSection

if TYPE_CHECKING:
    from ..board import Blackboard
    from .pool import Pool


def copy_router(router: Router) -> Router:
    """
    Return a copy of a router, with a board of its own, for choices without effect.

    A choice creates servers and pools, refreshes their loads, takes units of the link
    budget, advances the random generator and drops what expired. All of this is
    copied, so that the copy chooses what the router would choose now.
    """
    return RouterCopier(router).copy_router()


@dataclass(slots=True)
class RouterCopier:
    """Copies one router; each server is copied once, wherever it is referenced."""

    router: Router
    servers: dict[int, Server] = field(default_factory=dict)

    def copy_router(self) -> Router:
        """Return the copy."""
        router = self.router
        return replace(
            router,
            board=self.copy_board(router.board),
            random=copy(router.random),
            spill_budget=replace(router.spill_budget),
            retries=replace(router.retries),
            full_marks=deepcopy(router.full_marks),
            pools={
                key: CachedPool(self.copy_pool(cached.pool), cached.next_check_at)
                for key, cached in router.pools.items()
            },
            duplicates={
                fingerprint: DuplicateRuns(
                    self.copy_server(duplicate.server), duplicate.count
                )
                for fingerprint, duplicate in router.duplicates.items()
            },
        )

    def copy_board(self, board: Blackboard) -> Blackboard:
        """Return a board whose sections may be changed by a choice."""
        servers = {
            vm_id: self.copy_server(server)
            for vm_id, server in board.servers.servers.items()
        }
        return replace(
            board,
            members=replace(board.members, subsets=dict(board.members.subsets)),
            servers=ServersSection(servers),
            suspects=SuspectsSection(dict(board.suspects.records)),
        )

    def copy_pool(self, pool: Pool) -> Pool:
        """Return a pool of the copied servers; the points of the ring are shared."""
        return replace(
            pool,
            servers=[self.copy_server(server) for server in pool.servers],
            usable=[self.copy_server(server) for server in pool.usable],
            ring_servers=[self.copy_server(server) for server in pool.ring_servers],
        )

    def copy_server(self, server: Server) -> Server:
        """Return the copy of a server."""
        server_copy = self.servers.get(id(server))
        if server_copy is None:
            server_copy = self.servers[id(server)] = replace(server)
        return server_copy
