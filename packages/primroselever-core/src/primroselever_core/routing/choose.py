"""
Which server runs a request: prefix affinity within a bound, else two choices.

Sources: Mitzenmacher, "The power of two choices in randomized load balancing",
IEEE Transactions on Parallel and Distributed Systems, 2001; Mirrokni, Thorup and
Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..outcomes import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from ..identifiers import VmId
    from .pool import Pool
    from .section import Server

NO_SERVER_RETRY_S = 2.0
LOAD_BOUND = 1.25
AFFINITY_TRIES = 4
SAMPLE_SIZE = 6


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen server, why, and the candidates in short."""

    server: Server
    reason: str
    candidates: str


def choose_server(
    pool: Pool,
    prefix: int,
    passed_over: Collection[VmId],
    now: float,
    random: Random,
) -> Choice | NotRun:
    """Return the server for a prefix, or ``NotRun`` when none is usable."""
    pool.refresh(now)
    choice = prefix_holder(pool, prefix, passed_over, now)
    return choice or less_busy_of_two(pool, passed_over, now, random)


def prefix_holder(
    pool: Pool, prefix: int, passed_over: Collection[VmId], now: float
) -> Choice | None:
    """Return a server that holds a prefix, if it is not busier than the others."""
    if not pool.usable:
        return None
    mean = (pool.total_load + 1) / len(pool.usable)
    bound = math.ceil(LOAD_BOUND * mean)
    for server in pool.along_ring(prefix, AFFINITY_TRIES):
        free = server.vm.vm_id not in passed_over and server.usable(now)
        if free and server.load() < bound:
            return Choice(server, "holds the prefix", f"{shown(server)} bound:{bound}")
    return None


def less_busy_of_two(
    pool: Pool, passed_over: Collection[VmId], now: float, random: Random
) -> Choice | NotRun:
    """Return the less busy of two random usable servers, or ``NotRun``."""
    sample = random.sample(pool.usable, min(SAMPLE_SIZE, len(pool.usable)))
    pair = usable_of(sample, passed_over, now)[:2]
    if not pair:
        pair = usable_of(pool.servers, passed_over, now)[:2]
    if not pair:
        return NotRun(Reason.NO_SERVER, NO_SERVER_RETRY_S)
    chosen = min(pair, key=lambda server: server.load())
    return Choice(chosen, "least in flight of two", " ".join(map(shown, pair)))


def usable_of(
    servers: Collection[Server], passed_over: Collection[VmId], now: float
) -> list[Server]:
    """Return the servers that may get new work."""
    return [
        server
        for server in servers
        if server.vm.vm_id not in passed_over and server.usable(now)
    ]


def shown(server: Server) -> str:
    """Return a candidate in short: own runs and those of others."""
    return f"{server.vm.vm_id}:{server.in_flight}+{server.others:.0f}"
