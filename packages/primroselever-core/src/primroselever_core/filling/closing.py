"""When an engine that serves old weights closes for new ones, and when it reopens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .fetch_plan import Decision
from .switching import CLOSE_AHEAD_S, closing_time

if TYPE_CHECKING:
    from .fetch_plan import FetchPlan
    from .section import FillingBoard, WantedWeights

MIN_SHARE_FOR_PLAN = 0.4  # of the pieces; with fewer, the rate is uncertain
MIN_PLAN_CHANGE_S = 0.15  # smaller changes of a plan are not reported
REOPEN_MARGIN_S = 0.5  # a closed engine reopens if its fill is this much delayed


def plan_closing(
    board: FillingBoard, plan: FetchPlan, wanted: WantedWeights, now: float
) -> Decision | None:
    """
    Update when the engine closes, and whether it is closed.

    Return the decision if one was made. The caller reports a change of
    ``board.switching`` to entries at once.
    """
    if not plan.may_serve(now):
        board.closes_at = None
        return None
    progress, held = plan.progress[wanted.version], plan.held(wanted.version)
    missing = progress.missing(held)
    if len(held) < MIN_SHARE_FOR_PLAN * (len(held) + len(missing)):
        return None
    complete_at = progress.expected_complete_at(held, now)
    if complete_at is None:
        return reopen(board, wanted)
    drain_s = board.drain_times.expected_s()
    new_closes_at = closing_time(
        complete_at, wanted.bound_at, wanted.rank, wanted.group_size, drain_s
    )
    previous_closes_at = board.closes_at
    if previous_closes_at is None or (
        # An engine that has closed is idle later and would seem to need no time. The
        # turn of one that waits with all pieces does not change with the time.
        missing
        and not board.switching
        and abs(previous_closes_at - new_closes_at) > MIN_PLAN_CHANGE_S
    ):
        board.closes_at = new_closes_at
    ahead_s = max(CLOSE_AHEAD_S, drain_s)
    closes_at = min(board.closes_at or new_closes_at, new_closes_at)
    should_close = closes_at <= now and complete_at - now <= ahead_s
    if should_close:
        board.switching = True
    elif board.switching and complete_at - now > ahead_s + REOPEN_MARGIN_S:
        return reopen(board, wanted)
    if previous_closes_at is not None:
        return None
    return Decision(
        "switch planned",
        f"{wanted.model}/{wanted.version}",
        f"in {new_closes_at - now:.2f} s",
        "engines of a group close one after the other",
        {
            "rank": wanted.rank,
            "group_size": wanted.group_size,
            "complete_in_s": round(complete_at - now, 2),
            "drain_s": round(drain_s, 2),
        },
    )


def reopen(board: FillingBoard, wanted: WantedWeights) -> Decision | None:
    """
    Have the engine accept work again and cancel the plan to close it.

    The last pieces are delayed, and serving old weights is better than serving nothing.
    """
    if board.closes_at is None and not board.switching:
        return None
    board.closes_at = None
    board.switching = False
    return Decision(
        "switch delayed",
        f"{wanted.model}/{wanted.version}",
        "open",
        "the last pieces have not arrived",
        {},
    )
