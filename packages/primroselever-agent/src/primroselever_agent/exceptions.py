"""Errors of the agent package; each names the thing and the remedy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.exceptions import PrimroseleverError

if TYPE_CHECKING:
    from primroselever_core.outcomes import Reason


class BackendError(PrimroseleverError):
    """
    A run could not be finished by the engine or plain service.

    ``never_ran`` says that it provably did not begin there.
    """

    def __init__(self, reason: Reason, message: str, never_ran: bool = False) -> None:
        super().__init__(message)
        self.reason = reason
        self.never_ran = never_ran


class OrderError(PrimroseleverError):
    """The engine did not carry out an order."""
