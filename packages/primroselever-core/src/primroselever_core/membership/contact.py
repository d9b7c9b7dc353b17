"""
Whether this process is in touch, and whether it slept through something.

A process that was paused wakes up believing what was true before. Until it has
heard a peer or the platform after that, or knows that it is cut off from all of
them, it refuses what was buffered meanwhile and gives no orders.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..board import Blackboard

BEAT_INTERVAL_S = 0.25
PAUSE_S = 2.0
CUT_OFF_FAILURES = 6
CUT_OFF_WAIT_S = 3.0


@dataclass(slots=True)
class Contact:
    """
    When the process last ran, heard somebody and was found to have paused.

    ``confirm_after`` is the time after which somebody must be heard; at its start
    a process has heard nobody. ``failures`` counts the calls to others that failed
    since then, without one that succeeded.
    """

    beat_at: float | None = None
    heard_at: float | None = None
    confirm_after: float | None = None
    failures: int = 0
    pauses: int = 0


def beat(contact: Contact, now: float) -> bool:
    """Note that the process runs; return whether it had been paused."""
    paused = slept(contact, now)
    if contact.beat_at is None or paused:
        contact.confirm_after = now
        contact.failures = 0
    if paused:
        contact.pauses += 1
    contact.beat_at = now
    return paused


def slept(contact: Contact, now: float) -> bool:
    """Return whether the last beat lies so far back that it was a pause."""
    return contact.beat_at is not None and now - contact.beat_at > PAUSE_S


def heard(contact: Contact, now: float) -> None:
    """
    Note that a peer or the platform answered a call that was made after waking.

    Before the pause is noticed, an answer may be one that waited in a buffer.
    """
    if not slept(contact, now):
        contact.heard_at = now
        contact.failures = 0


def missed(contact: Contact, now: float) -> None:
    """Note that a call to a peer or the platform failed."""
    if not slept(contact, now):
        contact.failures += 1


def confirmed(contact: Contact, now: float) -> bool:
    """Return whether somebody was heard since the start or the last pause."""
    if contact.confirm_after is None or slept(contact, now):
        return False
    if contact.heard_at is not None and contact.heard_at >= contact.confirm_after:
        return True
    return cut_off(contact, now)


def cut_off(contact: Contact, now: float) -> bool:
    """Return whether the process tried for a while and nobody answered."""
    return (
        contact.confirm_after is not None
        and contact.failures >= CUT_OFF_FAILURES
        and now - contact.confirm_after >= CUT_OFF_WAIT_S
    )


def may_give_orders(board: Blackboard, now: float) -> bool:
    """Return whether an engine may be given orders on what this process knows."""
    return confirmed(board.members.contact, now)


def refuses_starts(board: Blackboard, now: float) -> bool:
    """
    Return whether starts are refused, since they may have waited out a pause.

    A process that has only begun is not refused by this: nothing can have been
    buffered for an incarnation that nobody knew.
    """
    contact = board.members.contact
    if slept(contact, now):
        return True
    return contact.pauses > 0 and not confirmed(contact, now)
