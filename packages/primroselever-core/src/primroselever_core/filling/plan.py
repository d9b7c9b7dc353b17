"""
The order in which an agent fetches and loads published versions, and how fast.

The engine serves old weights until their bound, less the margin of entries. The order
of versions is the one that leaves it without weights that may serve for the shortest
time, computed from the pieces still missing, the rate of the link, the pieces available
now and the bounds. Pieces of both versions are kept in memory, so that a change of the
order loses nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .progress import MAX_WAITING
from .switching import BOUND_MARGIN_S, LOAD_S

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from .progress import FetchProgress
    from .section import WantedWeights

# Engines of a group close one after the other for a switch, while a missed bound closes
# all of them. A switch of one engine therefore costs less than the time it is closed.
SWITCH_COST_S = 0.2
# The least gain for which the order is changed. Estimates vary by this much from one
# piece to the next. It is below the cost of a switch, so that an engine which waits for
# its turn does not switch twice.
CHANGE_GAIN_S = 0.1
# The least gain for which a version with missing pieces is put back. Its calls in
# flight still use the link for 0.6 s, and the origin may fail before it has sent the
# other one.
FILL_GAIN_S = 0.4
# Right after a change, a larger gain is needed. Each change reads the staging area back
# and writes it again, and pieces that arrive unevenly caused up to 12 changes in 6 s.
STEADY_GAIN_S = 0.6
STEADY_S = 1.5
# While an engine serves, requests share the link with the slices in flight. Two slices
# delay requests by at most 35 ms on a 4 Mbit/s link.
SLICE_BYTES = 8192
MAX_CONCURRENT_SLICES = 2
# At 10 ms each way, two slices of 8 KiB use 0.8 of a 4.7 Mbit/s link, four use all of
# it.
MAX_URGENT_SLICES = 4
# Six slices of 16 KiB keep a 4 Mbit/s link with about 10 ms delay busy. Each is
# answered within 0.2 s, so that a call that waits for the origin is recognized.
FULL_SLICE_BYTES = 16_384
MAX_CONCURRENT_PIECES = 6
SLICED_SHARE = 0.8  # of the link's rate that two slices at once reach
URGENT_MARGIN_S = 0.5  # to verify the staging area and for pieces that arrive late


@dataclass(frozen=True, slots=True)
class Remaining:
    """
    What is left of a version.

    ``fetch_s`` is how long the link needs for its missing pieces and ``available_in_s``
    in how many seconds entries are expected to hold them. ``started`` says whether a
    piece is held, ``confirmed`` whether one has arrived from an entry.
    """

    fetch_s: float
    available_in_s: float = 0.0
    started: bool = False
    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class FetchPace:
    """How pieces are requested: how many at once, in slices of ``slice_bytes``."""

    name: str
    concurrent: int
    slice_bytes: int


RELAXED = FetchPace("relaxed", MAX_CONCURRENT_SLICES, SLICE_BYTES)
URGENT = FetchPace("urgent", MAX_URGENT_SLICES, SLICE_BYTES)
FULL = FetchPace("full", MAX_CONCURRENT_PIECES, FULL_SLICE_BYTES)


def unserved_s(
    order: Sequence[tuple[WantedWeights, Remaining]],
    served_until: float,
    now: float,
) -> float:
    """
    Return for how long the engine has no weights that may serve, and cost of switches.

    ``order`` holds one version or two, which are loaded in this order. The engine
    serves what it has until ``served_until``. While the first version is not available,
    the link fetches the second one.
    """
    unserved = 0.0
    covered_until = max(now, served_until)
    fetch_s = 0.0
    loaded_at = now
    for position, (_wanted, remaining) in enumerate(order):
        fetch_s += remaining.fetch_s
        own_s = remaining.available_in_s + remaining.fetch_s
        loaded_at = max(loaded_at, now + max(fetch_s, own_s)) + LOAD_S
        unserved += max(0.0, loaded_at - covered_until)
        if position + 1 < len(order):
            lapses_at = order[position + 1][0].bound_at - BOUND_MARGIN_S
            covered_until = max(covered_until, loaded_at, lapses_at)
            unserved += SWITCH_COST_S
            if lapses_at <= loaded_at:
                unserved += LOAD_S  # loaded in vain
    return unserved


def choose_order(
    newer: Sequence[WantedWeights],
    remaining: dict[int, Remaining],
    served_until: float,
    chosen: int,
    now: float,
    change_gain_s: float = CHANGE_GAIN_S,
) -> list[WantedWeights]:
    """
    Return the versions to load in this order, the newest one last.

    ``newer`` holds the versions that are newer than the served one, oldest first, and
    ``chosen`` is the version being filled, 0 for none; it is replaced only if that
    saves ``change_gain_s``, more while pieces of it are missing. A version of which no
    piece has arrived is not put before one that is started, since it may not arrive at
    all.
    """
    newest = newer[-1]
    orders = [[older, newest] for older in newer[:-1]] + [[newest]]
    if not remaining[newest.version].confirmed:
        started = [
            order
            for order in orders[:-1]
            if remaining[order[0].version].started
            and newest.bound_at - BOUND_MARGIN_S
            > now + remaining[order[0].version].fetch_s + LOAD_S
        ]
        orders = started or orders

    def cost(order: list[WantedWeights]) -> tuple[float, int]:
        pairs = [(wanted, remaining[wanted.version]) for wanted in order]
        kept = 0.0
        if order[0].version == chosen:
            missing = remaining[chosen].fetch_s > 0
            kept = max(change_gain_s, FILL_GAIN_S if missing else 0.0)
        return unserved_s(pairs, served_until, now) - kept, len(order)

    return min(orders, key=cost)


def link_order(
    newer: Sequence[WantedWeights],
    order: Sequence[WantedWeights],
    remaining: dict[int, Remaining],
    now: float,
) -> list[WantedWeights]:
    """
    Return the versions to fetch, at most two, the one to load first before the other.

    Where the newest version alone is to be loaded, the link also fetches the latest
    older one that could be loaded before it lapses, while the newest is unavailable.
    """
    if len(order) > 1 or len(newer) < 2 or not remaining[newer[-1].version].fetch_s:
        return list(order)
    lapses_at = newer[-1].bound_at - BOUND_MARGIN_S
    useful = [
        older
        for older in newer[:-1]
        if now + remaining[older.version].fetch_s + LOAD_S < lapses_at
    ]
    return [*order, *useful[-1:]]


def choose_pace(
    may_serve: bool, fills: Sequence[tuple[int, float]], rate: float, now: float
) -> FetchPace:
    """
    Return how to request pieces.

    ``fills`` holds, for each version in order, the bytes missing and the time until
    which the engine serves without it; ``rate`` is the link's in bytes per second.
    Small slices leave room for requests while time is left. A fill that would come too
    late gets more of the link, since the engine then serves nothing.
    """
    if not may_serve:
        return FULL
    pace = RELAXED
    fetch_s = 0.0
    for missing_bytes, served_until in fills:
        if not missing_bytes:
            continue
        fetch_s += missing_bytes / rate
        left_s = served_until - URGENT_MARGIN_S - LOAD_S - now
        if fetch_s > left_s:
            return FULL
        if fetch_s / SLICED_SHARE > left_s:
            pace = URGENT
    return pace


def choose_request(
    order: Sequence[FetchProgress],
    held: Sequence[Collection[int]],
    pace: FetchPace,
    now: float,
    link_delay_s: float = 0.0,
) -> tuple[FetchProgress, int] | None:
    """
    Return the version and index of the piece to request next, None to wait.

    ``order`` holds the versions to fetch, the chosen one first, and ``held`` the pieces
    held of each. Calls that wait for the origin do not count against the pace; those
    that are late by ``link_delay_s`` may wait in the link instead. One piece of each
    further version is requested in any case, to learn if it is available.
    """
    waiting = [progress.waiting_count(now, link_delay_s) for progress in order]
    for progress, progress_held in zip(order[1:], held[1:], strict=True):
        if not progress.confirmed and not progress.requested:
            index = progress.next_piece(progress_held, now)
            if index is not None:
                return progress, index
    transferring = sum(len(progress.requested) for progress in order) - sum(waiting)
    if transferring >= pace.concurrent:
        return None
    for progress, progress_held, count in zip(order, held, waiting, strict=True):
        if count >= MAX_WAITING:
            continue
        index = progress.next_piece(progress_held, now)
        if index is not None:
            return progress, index
    return None
