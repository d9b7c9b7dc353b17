"""
Choice of a server by prefix affinity within a load bound, else by two choices.

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
LOAD_BOUND_FACTOR = 1.25
AFFINITY_CANDIDATES = 4
SAMPLE_SIZE = 6  # servers drawn to find two that may be sent new work


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen server, the reason, and a summary of the candidates."""

    server: Server
    reason: str
    candidates: str


def choose_server(
    pool: Pool,
    prefix: int,
    excluded: Collection[VmId],
    now: float,
    random: Random,
) -> Choice | NotRun:
    """Return the server for a prefix, or ``NotRun`` if no server is usable."""
    pool.refresh_usable(now)
    choice = find_prefix_server(pool, prefix, excluded, now)
    return choice or choose_less_busy_of_two(pool, excluded, now, random)


def find_prefix_server(
    pool: Pool, prefix: int, excluded: Collection[VmId], now: float
) -> Choice | None:
    """Return the first server that a prefix maps to below the load bound, or None."""
    if not pool.usable:
        return None
    mean = (pool.total_load + 1) / len(pool.usable)
    max_load = math.ceil(LOAD_BOUND_FACTOR * mean)
    for server in pool.iter_ring(prefix, AFFINITY_CANDIDATES):
        eligible = server.vm.vm_id not in excluded and server.usable(now)
        if eligible and server.load() < max_load:
            return Choice(
                server,
                "holds the prefix",
                f"{describe_candidate(server)} bound:{max_load}",
            )
    return None


def choose_less_busy_of_two(
    pool: Pool, excluded: Collection[VmId], now: float, random: Random
) -> Choice | NotRun:
    """
    Return the server with the lower load of two usable ones, or ``NotRun`` if none is.

    The two are the first usable ones of a random sample or, if the sample has none, of
    the whole pool.
    """
    sample = random.sample(pool.usable, min(SAMPLE_SIZE, len(pool.usable)))
    pair = filter_usable(sample, excluded, now)[:2]
    if not pair:
        pair = filter_usable(pool.servers, excluded, now)[:2]
    if not pair:
        return NotRun(Reason.NO_SERVER, NO_SERVER_RETRY_S)
    chosen = min(pair, key=lambda server: server.load())
    return Choice(
        chosen, "least in flight of two", " ".join(map(describe_candidate, pair))
    )


def filter_usable(
    servers: Collection[Server], excluded: Collection[VmId], now: float
) -> list[Server]:
    """Return the servers that may be sent new work."""
    return [
        server
        for server in servers
        if server.vm.vm_id not in excluded and server.usable(now)
    ]


def describe_candidate(server: Server) -> str:
    """Return a summary of a candidate: its id, own runs and the runs of others."""
    return f"{server.vm.vm_id}:{server.in_flight}+{server.others_load:.0f}"
