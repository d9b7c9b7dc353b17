"""
When an engine stops taking work to load new weights.

Answers the pattern of a fleet that switches under load: an engine that loads ends what
it runs first and takes nothing new meanwhile, and if all did so at once there would be
none. Engines of a group close one after the other by rank. The first ones close while
their last pieces are still on the way, so that they have ended their work when these
arrive; the last one closes when old weights may begin no request any more.
"""

from __future__ import annotations

CLOSE_AHEAD_S = 1.6  # the usual time in which an engine ends most of what it runs
BOUND_MARGIN_S = 1.2  # entries send nothing to old weights so long before the bound


def closing_time(
    complete_at: float, bound_at: float, rank: int, group_size: int
) -> float:
    """
    Return when an engine that serves old weights stops taking work.

    ``complete_at`` is when its staging area is expected to be complete, ``bound_at``
    when old weights may begin no request any more; ``rank`` counts from 0.
    """
    first = complete_at - CLOSE_AHEAD_S
    last = max(first, bound_at - BOUND_MARGIN_S)
    if group_size < 2:
        return first
    return first + (last - first) * min(1.0, rank / (group_size - 1))


def expected_complete_at(
    begun_at: float, held_at_begin: int, held: int, total: int, now: float
) -> float | None:
    """Return when a fill will be complete at its pace so far, None while unknown."""
    gained = held - held_at_begin
    if held >= total:
        return now
    if gained <= 0:
        return None
    return now + (now - begun_at) * (total - held) / gained
