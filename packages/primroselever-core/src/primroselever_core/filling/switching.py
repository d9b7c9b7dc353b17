"""
When a back end whose staging area is complete loads the new weights.

Answers the pattern of a fleet that switches under load: a server that loads takes no
new work, and if all did so at once there would be none. Servers of a group switch one
after the other by rank, spread over the time that is left until old weights may no
longer begin a request. A server without weights serves nothing and loads at once.
"""

from __future__ import annotations

LOAD_MARGIN_S = 0.4  # the switch begins this long before the bound, for the order itself


def switch_at(
    completed_at: float,
    bound_at: float,
    rank: int,
    group_size: int,
    serving: bool,
) -> float:
    """
    Return when a back end is ordered to load.

    ``completed_at`` is when its staging area was complete, ``bound_at`` when the old
    version may begin no request any more; ``rank`` counts from 0 within the group.
    """
    if not serving:
        return completed_at
    last = max(completed_at, bound_at - LOAD_MARGIN_S)
    if group_size < 2:
        return completed_at
    return completed_at + (last - completed_at) * rank / (group_size - 1)
