"""Signatures that prevent tickets from being forged or altered."""

from __future__ import annotations

import hashlib

from itsdangerous import BadSignature, Signer

from .operation_ticket import OperationTicket

SALT = "primroselever.operation-ticket"


class TicketSigner:
    """
    Signs and verifies tickets with a secret key.

        >>> TicketSigner(b"key").verify("1:vm:1:1:1:f.forged") is None
        True
    """

    def __init__(self, key: bytes) -> None:
        self.signer = Signer(
            key, salt=SALT, key_derivation="hmac", digest_method=hashlib.sha256
        )

    def sign(self, ticket: OperationTicket) -> str:
        """Return the text of a ticket with its signature."""
        return self.signer.sign(ticket.to_text()).decode("ascii")

    def verify(self, text: str) -> OperationTicket | None:
        """Return the ticket in a signed text, or None if the signature is invalid."""
        try:
            return OperationTicket.parse(self.signer.unsign(text).decode("utf-8"))
        except (BadSignature, UnicodeError):
            return None


def read_unverified(text: str) -> OperationTicket | None:
    """Return the ticket in a signed text without verification, for routing only."""
    return OperationTicket.parse(text.rpartition(".")[0])
