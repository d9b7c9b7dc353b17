"""
Whether this process is in contact with others, and whether it was paused.

A process that resumes after a pause still holds the state from before it. Until a
peer or the platform has answered since then, or the process finds that it is cut
off from all of them, it refuses all starts, since they may have been buffered during
the pause, and gives no orders to its engine.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..board import Blackboard

TICK_INTERVAL_S = 0.25
PAUSE_THRESHOLD_S = 2.0
CUT_OFF_FAILURES = 6
CUT_OFF_WAIT_S = 3.0


@dataclass(slots=True)
class Contact:
    """
    The times of the last tick and the last answer, and the pauses so far.

    A tick is the regular record that the process runs. ``confirm_after`` is the time
    of the start or of the last pause, after which a peer or the platform has to
    answer before the process counts as in contact. ``failures`` counts the failed
    calls to others since that time or since the last answer.
    """

    last_tick_at: float | None = None
    last_answer_at: float | None = None
    confirm_after: float | None = None
    failures: int = 0
    pauses: int = 0


def record_tick(contact: Contact, now: float) -> bool:
    """Record that the process runs; return whether it was paused before."""
    paused = paused_since_last_tick(contact, now)
    if contact.last_tick_at is None or paused:
        contact.confirm_after = now
        contact.failures = 0
    if paused:
        contact.pauses += 1
    contact.last_tick_at = now
    return paused


def paused_since_last_tick(contact: Contact, now: float) -> bool:
    """Return whether the process was paused since its last recorded tick."""
    return (
        contact.last_tick_at is not None
        and now - contact.last_tick_at > PAUSE_THRESHOLD_S
    )


def record_answer(contact: Contact, now: float) -> None:
    """
    Record that a peer or the platform answered a call.

    An answer that is read after a pause but before the next tick is ignored: it may
    have waited in a buffer during the pause.
    """
    if not paused_since_last_tick(contact, now):
        contact.last_answer_at = now
        contact.failures = 0


def record_failed_call(contact: Contact, now: float) -> None:
    """Record that a call to a peer or the platform failed."""
    if not paused_since_last_tick(contact, now):
        contact.failures += 1


def is_in_touch(contact: Contact, now: float) -> bool:
    """
    Return whether this process is in contact since its start or its last pause.

    A process that is cut off from all others also counts as in touch, so that it
    continues to work on its own.
    """
    if contact.confirm_after is None or paused_since_last_tick(contact, now):
        return False
    if (
        contact.last_answer_at is not None
        and contact.last_answer_at >= contact.confirm_after
    ):
        return True
    return is_cut_off(contact, now)


def is_cut_off(contact: Contact, now: float) -> bool:
    """
    Return whether this process appears to be cut off from all others.

    This is so once ``CUT_OFF_FAILURES`` calls in a row have failed and the start or
    the last pause is at least ``CUT_OFF_WAIT_S`` ago.
    """
    return (
        contact.confirm_after is not None
        and contact.failures >= CUT_OFF_FAILURES
        and now - contact.confirm_after >= CUT_OFF_WAIT_S
    )


def may_give_orders(board: Blackboard, now: float) -> bool:
    """Return whether this process may give an engine orders based on what it knows."""
    return is_in_touch(board.members.contact, now)


def refuses_starts(board: Blackboard, now: float) -> bool:
    """
    Return whether starts are refused because they may predate a pause.

    A process that has just started accepts starts: no peer knew its incarnation
    before, so no start can have been buffered for it.
    """
    contact = board.members.contact
    if paused_since_last_tick(contact, now):
        return True
    return contact.pauses > 0 and not is_in_touch(contact, now)
