"""Issue of operation tickets, and checks of tickets that are presented."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..outcomes import NotRun, Reason, Unknown
from ..runs.start_book import StartStanding
from .operation_ticket import OperationTicket

if TYPE_CHECKING:
    from ..identifiers import (
        Fingerprint,
        Incarnation,
        ServiceName,
        VmId,
        WorkspaceName,
    )
    from ..runs.start_book import StartBook

MAX_KEYS = 50_000
KEYS_FULL_RETRY_S = 30.0


@dataclass(frozen=True, slots=True)
class KeyScope:
    """An idempotency key within its service and workspace."""

    service: ServiceName
    workspace: WorkspaceName
    key: str


@dataclass(slots=True)
class TicketBook:
    """
    The tickets of one agent incarnation.

    A ticket without an idempotency key uses no memory until it starts.
    ``tickets_by_key`` holds the tickets of up to ``max_keys`` idempotency keys, the
    oldest ticket first.
    """

    vm_id: VmId
    incarnation: Incarnation
    starts: StartBook
    max_keys: int = MAX_KEYS
    last_sequence: int = 0
    tickets_by_key: dict[KeyScope, OperationTicket] = field(default_factory=dict)

    def issue(
        self, fingerprint: Fingerprint, scope: KeyScope | None
    ) -> OperationTicket | NotRun:
        """
        Return a new ticket or, for a known key, the ticket issued for it before.

        A key that is reused with another body is refused. A key whose ticket has a
        tombstone, and so never ran, gets a new ticket.
        """
        if scope is None:
            return self.new_ticket(fingerprint)
        issued = self.tickets_by_key.get(scope)
        if issued is not None and not self.has_tombstone(issued):
            if issued.fingerprint != fingerprint:
                return NotRun(Reason.KEY_REUSED)
            return issued
        if (
            issued is None
            and len(self.tickets_by_key) >= self.max_keys
            and not self.drop_oldest_key()
        ):
            return NotRun(Reason.OVERLOADED, KEYS_FULL_RETRY_S)
        # A key with a new ticket moves to the end, so that the oldest ticket is first.
        self.tickets_by_key.pop(scope, None)
        ticket = self.tickets_by_key[scope] = self.new_ticket(fingerprint)
        return ticket

    def new_ticket(self, fingerprint: Fingerprint) -> OperationTicket:
        """Return a ticket with the next sequence number."""
        self.last_sequence += 1
        return OperationTicket(
            self.vm_id,
            self.incarnation,
            self.starts.newest_epoch,
            self.last_sequence,
            fingerprint,
        )

    def has_tombstone(self, ticket: OperationTicket) -> bool:
        """Return whether a ticket has a tombstone: it never ran and never will."""
        standing = self.starts.standing(ticket.run_id, ticket.epoch)
        return standing is StartStanding.TOMBSTONE

    def drop_oldest_key(self) -> bool:
        """
        Drop the oldest key if its ticket can no longer start.

        Return whether it was dropped.
        """
        scope, ticket = next(iter(self.tickets_by_key.items()))
        if ticket.epoch >= self.starts.oldest_open_epoch:
            return False
        del self.tickets_by_key[scope]
        return True

    def close_epoch(self) -> None:
        """Open a new epoch; drop the closed epoch's keys whose tickets never ran."""
        closing_epoch = self.starts.oldest_open_epoch
        kept = {}
        for scope, ticket in self.tickets_by_key.items():
            standing = self.starts.standing(ticket.run_id, ticket.epoch)
            unused = standing in (StartStanding.NEW, StartStanding.TOMBSTONE)
            if ticket.epoch != closing_epoch or not unused:
                kept[scope] = ticket
        self.starts.advance_epoch()
        if self.starts.oldest_open_epoch > closing_epoch:
            self.tickets_by_key = kept

    def check(
        self, ticket: OperationTicket | None, fingerprint: Fingerprint
    ) -> NotRun | Unknown | None:
        """
        Return why a verified ticket cannot start here, or None if it can.

        ``ticket`` is None if its signature is invalid. A ticket of another incarnation
        may have run there and never runs here.
        """
        if ticket is None or ticket.fingerprint != fingerprint:
            return NotRun(Reason.TICKET_INVALID)
        if (ticket.vm_id, ticket.incarnation) != (self.vm_id, self.incarnation):
            return Unknown(Reason.TICKET_GONE)
        return None
