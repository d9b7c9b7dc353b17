"""Signing tickets, so that none can be forged or altered."""

from __future__ import annotations

import hashlib

from itsdangerous import BadSignature, Signer

from .operation_ticket import OperationTicket

SALT = "primroselever.operation-ticket"


class TicketSigner:
    """
    Signs and verifies tickets with a key that is given from outside.

        >>> TicketSigner(b"key").verify("1:vm:1:1:1:f.forged") is None
        True
    """

    def __init__(self, key: bytes) -> None:
        self.signer = Signer(
            key, salt=SALT, key_derivation="hmac", digest_method=hashlib.sha256
        )

    def sign(self, ticket: OperationTicket) -> str:
        """Return a ticket's text with its signature."""
        return self.signer.sign(ticket.text()).decode("ascii")

    def verify(self, text: str) -> OperationTicket | None:
        """Return the ticket, or None if its signature is not good."""
        try:
            return OperationTicket.parse(self.signer.unsign(text).decode("utf-8"))
        except (BadSignature, UnicodeError):
            return None


def read_unverified(text: str) -> OperationTicket | None:
    """Return what a signed ticket says, for routing only."""
    return OperationTicket.parse(text.rpartition(".")[0])
