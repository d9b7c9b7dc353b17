"""
The time at which an engine closes, that is, stops accepting work to load new weights.

An engine finishes its running requests before it loads weights and accepts no new ones
meanwhile; if all engines did so at once, none would be available. Engines of a group
therefore close one after another by rank. The first ones close while their last pieces
are still in transit, so that their work is finished when these arrive. The last one
closes shortly before the bound, from which on old weights may not begin a request.
"""

from __future__ import annotations

CLOSE_AHEAD_S = 1.6  # an engine usually finishes most of its requests within this
STALL_S = 1.0  # a fill without a new piece for this long has stalled
BOUND_MARGIN_S = 1.2  # entries stop using old weights this long before the bound


def closing_time(
    complete_at: float, bound_at: float, rank: int, group_size: int
) -> float:
    """
    Return when an engine that serves old weights stops accepting work.

    ``complete_at`` is when its staging area is expected to be complete; from
    ``bound_at`` on, old weights may not begin a request. ``rank`` counts from 0.
    """
    first_at = complete_at - CLOSE_AHEAD_S
    last_at = max(first_at, bound_at - BOUND_MARGIN_S)
    if group_size < 2:
        return first_at
    return first_at + (last_at - first_at) * min(1.0, rank / (group_size - 1))


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
