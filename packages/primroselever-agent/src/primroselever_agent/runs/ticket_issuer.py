"""Signing tickets when they are issued, and verifying them at a start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import (
    Fingerprint,
    Incarnation,
    RunId,
    ServiceName,
    WorkspaceName,
)
from primroselever_core.outcomes import NotRun
from primroselever_core.runs.fingerprint import fingerprint_of
from primroselever_core.runs.starting import Start
from primroselever_core.tickets.ticket_book import KeyScope
from primroselever_node import clock

if TYPE_CHECKING:
    from primroselever_core.tickets.signing import TicketSigner
    from primroselever_core.tickets.ticket_book import TicketBook

EPOCH_DURATION_S = 600.0


class TicketIssuer:
    """Issues and verifies the tickets of this agent, and advances its epochs."""

    def __init__(self, book: TicketBook, signer: TicketSigner) -> None:
        self.book = book
        self.signer = signer
        self.epoch_ends_at = clock.now() + EPOCH_DURATION_S

    def issue(self, request: Any) -> str | NotRun:
        """Return a signed ticket, or why none is issued."""
        scope = None
        if request.idempotency_key:
            scope = KeyScope(
                ServiceName(request.service_name),
                WorkspaceName(request.workspace),
                request.idempotency_key,
            )
        ticket = self.book.issue(Fingerprint(request.fingerprint), scope)
        return ticket if isinstance(ticket, NotRun) else self.signer.sign(ticket)

    def read_start(self, request: Any) -> Start:
        """Return the start in a request, with its ticket if the signature is valid."""
        fingerprint = Fingerprint(request.fingerprint)
        needs_ticket = not request.idempotent
        if needs_ticket:
            body = request.body or b""
            fingerprint = fingerprint_of(request.service_name, request.workspace, body)
        return Start(
            run_id=RunId(request.run_id),
            incarnation=Incarnation(request.incarnation),
            epoch=request.epoch or 0,
            fingerprint=fingerprint,
            needs_ticket=needs_ticket,
            ticket=self.signer.verify(request.ticket) if needs_ticket else None,
        )

    def step(self) -> None:
        """Open a new epoch once this one is over or its record of starts is full."""
        if clock.now() >= self.epoch_ends_at or self.book.starts.is_full():
            self.book.close_epoch()
            self.epoch_ends_at = clock.now() + EPOCH_DURATION_S
