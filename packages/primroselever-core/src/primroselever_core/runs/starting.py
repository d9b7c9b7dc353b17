"""Decision on whether a start that an agent receives runs, and the reply to it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ..outcomes import NotRun, Reason, Unknown
from .registry import Run, RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..identifiers import Fingerprint, Incarnation, RunId
    from ..tickets.operation_ticket import OperationTicket
    from ..tickets.ticket_book import TicketBook
    from .registry import RunRegistry


class StartState(StrEnum):
    """The reply of an agent to a start; the values are sent on the wire."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Start:
    """
    A start as received by an agent.

    ``needs_ticket`` is set for non-idempotent calls. ``ticket`` is None if there is no
    ticket or its signature is invalid.
    """

    run_id: RunId
    incarnation: Incarnation
    epoch: int
    fingerprint: Fingerprint
    needs_ticket: bool = False
    ticket: OperationTicket | None = None


def start_run(
    start: Start,
    tickets: TicketBook,
    registry: RunRegistry,
    new_run: Callable[[RunId, int], Run | NotRun],
    now: float,
) -> Run | NotRun | Unknown:
    """
    Record a run that starts now, or return its earlier run or ending.

    ``new_run`` is called only for an identifier that is new here. It returns the run to
    record, or a refusal, which is final for this identifier.
    """
    if start.needs_ticket:
        problem = tickets.check(start.ticket, start.fingerprint)
        if problem is not None:
            return problem
        assert start.ticket is not None
        run_id, epoch = start.ticket.run_id, start.ticket.epoch
    elif start.incarnation != tickets.incarnation:
        return Unknown(Reason.SERVER_LOST)
    else:
        run_id, epoch = start.run_id, start.epoch
    recorded = registry.look_up_run(run_id, epoch)
    if recorded is not None:
        return recorded
    run = new_run(run_id, epoch)
    if isinstance(run, NotRun):
        return registry.refuse_start(run_id, epoch, run)
    return registry.admit(run, now)


def resolve_run(
    run_id: RunId,
    incarnation: Incarnation,
    epoch: int,
    tickets: TicketBook,
    registry: RunRegistry,
) -> Run | NotRun | Unknown:
    """Return a run or its ending; a run that has not started is refused permanently."""
    if incarnation != tickets.incarnation:
        return Unknown(Reason.SERVER_LOST)
    return registry.resolve(run_id, epoch)


def ending_of_start_reply(
    state: str, reason: str, retry_after_s: float | None
) -> NotRun | Unknown | None:
    """Return the ending in the reply to a start, or None if the start was accepted."""
    if state == StartState.ACCEPTED:
        return None
    if state == StartState.REFUSED:
        return NotRun(Reason(reason), retry_after_s)
    return Unknown(Reason(reason), retry_after_s)


def ending_of_resolve_reply(
    state: str, reason: str, retry_after_s: float | None
) -> NotRun | Unknown | None:
    """Return the ending in the reply to a resolve, or None if the agent has the run."""
    if state == RunState.NOT_RUN:
        return NotRun(Reason(reason or Reason.TOMBSTONE), retry_after_s)
    if state == RunState.MISSING:
        return Unknown(Reason(reason or Reason.SERVER_LOST), retry_after_s)
    return None
