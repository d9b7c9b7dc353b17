"""
The time at which an engine closes, that is, stops accepting work to load new weights.

An engine finishes its running requests before it loads weights and accepts no new ones
meanwhile; if all engines did so at once, none would be available. Engines of a group
therefore close one after another by rank. The first ones close while their last pieces
are still in transit, so that their work is finished when these arrive. The last one
closes early enough to load the new weights before entries stop using the old ones, if
under half of the engines are closed at a time nevertheless.
"""

from __future__ import annotations

from ..catalogue.published_weights import OLD_WEIGHTS_MARGIN_S

CLOSE_AHEAD_S = 1.6  # an engine usually finishes most of its requests within this
LOAD_S = 0.3  # for an engine to load weights that are staged
STALL_S = 1.0  # a fill without a new piece for this long has stalled
# Entries stop using old weights this long before the bound, where engines are loaded.
BOUND_MARGIN_S = OLD_WEIGHTS_MARGIN_S


def closing_time(
    complete_at: float,
    bound_at: float,
    rank: int,
    group_size: int,
    drain_s: float = CLOSE_AHEAD_S,
) -> float:
    """
    Return when an engine that serves old weights stops accepting work.

    ``complete_at`` is when its staging area is expected to be complete; from
    ``bound_at`` on, old weights may not begin a request. ``rank`` counts from 0.
    ``drain_s`` is how long the running requests of the engine take to finish. It does
    not close longer than this before ``complete_at``, as it would only wait.
    """
    planned_s = max(drain_s, CLOSE_AHEAD_S)
    first_at = complete_at - planned_s
    spread_at = first_at
    if group_size > 1:
        last_at = last_closing_time(
            first_at, bound_at - BOUND_MARGIN_S, planned_s + LOAD_S, group_size
        )
        spread_at += (last_at - first_at) * min(1.0, rank / (group_size - 1))
    return max(complete_at - drain_s, spread_at)


def last_closing_time(
    first_at: float, lapses_at: float, closed_s: float, group_size: int
) -> float:
    """
    Return when the last engine of a group closes.

    It has loaded when old weights lapse, unless more than half of the engines would be
    closed at a time. An engine is without usable weights for ``closed_s`` whether it
    closes earlier or when they lapse, so that a larger spread costs no engine time.
    Later than that it would wait without being closed.
    """
    half_open_at = first_at + closed_s * (group_size - 1) / (group_size // 2)
    return max(first_at, min(lapses_at, max(half_open_at, lapses_at - closed_s)))


def expected_complete_at(
    started_at: float,
    held_at_start: int,
    held: int,
    total: int,
    last_piece_at: float,
    now: float,
) -> float | None:
    """
    Return when a fill will be complete at its rate so far.

    ``held_at_start``, ``held`` and ``total`` are numbers of pieces. Return None before
    any progress, and when no piece has arrived for a while: the rate says nothing then.
    """
    fetched = held - held_at_start
    if held >= total:
        return now
    if fetched <= 0 or now - last_piece_at > STALL_S:
        return None
    return now + (now - started_at) * (total - held) / fetched
