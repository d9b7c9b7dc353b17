"""Issuing tickets and checking those that come back."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..outcomes import NotRun, Reason, Unknown
from ..runs.start_book import Standing
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

    A ticket without a key costs no memory until it starts. ``keyed`` holds the
    ticket of each idempotency key, the oldest first, at most ``max_keys``.
    """

    vm_id: VmId
    incarnation: Incarnation
    starts: StartBook
    max_keys: int = MAX_KEYS
    last_sequence: int = 0
    keyed: dict[KeyScope, OperationTicket] = field(default_factory=dict)

    def issue(
        self, fingerprint: Fingerprint, scope: KeyScope | None
    ) -> OperationTicket | NotRun:
        """
        Return a new ticket or, for a known key, the one that it got before.

        A key that comes with another body is refused. A key whose ticket is
        known never to have run gets a new one.
        """
        if scope is None:
            return self.new_ticket(fingerprint)
        known = self.keyed.get(scope)
        if known is not None and not self.never_ran(known):
            if known.fingerprint != fingerprint:
                return NotRun(Reason.KEY_REUSED)
            return known
        if known is None and len(self.keyed) >= self.max_keys and not self.drop_key():
            return NotRun(Reason.OVERLOADED, KEYS_FULL_RETRY_S)
        # A key that gets a new ticket goes to the end: the oldest ticket stays first.
        self.keyed.pop(scope, None)
        ticket = self.keyed[scope] = self.new_ticket(fingerprint)
        return ticket

    def new_ticket(self, fingerprint: Fingerprint) -> OperationTicket:
        """Return a ticket with the next sequence number."""
        self.last_sequence += 1
        return OperationTicket(
            self.vm_id,
            self.incarnation,
            self.starts.epoch,
            self.last_sequence,
            fingerprint,
        )

    def never_ran(self, ticket: OperationTicket) -> bool:
        """Return whether a ticket is known never to run, nor to have run."""
        standing = self.starts.standing(ticket.run_id, ticket.epoch)
        return standing is Standing.TOMBSTONE

    def drop_key(self) -> bool:
        """Forget the oldest key if its ticket can start no more."""
        scope, ticket = next(iter(self.keyed.items()))
        if ticket.epoch >= self.starts.low_water:
            return False
        del self.keyed[scope]
        return True

    def close_epoch(self) -> None:
        """Open a new epoch; forget keys whose tickets will never have run."""
        closing = self.starts.low_water
        kept = {}
        for scope, ticket in self.keyed.items():
            standing = self.starts.standing(ticket.run_id, ticket.epoch)
            unused = standing in (Standing.NEW, Standing.TOMBSTONE)
            if ticket.epoch != closing or not unused:
                kept[scope] = ticket
        self.starts.advance()
        if self.starts.low_water > closing:
            self.keyed = kept

    def check(
        self, ticket: OperationTicket | None, fingerprint: Fingerprint
    ) -> NotRun | Unknown | None:
        """
        Return why a verified ticket starts nothing here, or None.

        ``ticket`` is None if its signature is not good. One of another
        incarnation may have run there and never runs here.
        """
        if ticket is None or ticket.fingerprint != fingerprint:
            return NotRun(Reason.TICKET_INVALID)
        if (ticket.vm_id, ticket.incarnation) != (self.vm_id, self.incarnation):
            return Unknown(Reason.TICKET_GONE)
        return None
