"""Errors of the agent package."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.exceptions import PrimroseleverError

if TYPE_CHECKING:
    from primroselever_core.outcomes import Reason


class BackendError(PrimroseleverError):
    """
    The engine or plain service did not complete a run.

    ``never_ran`` means that the run provably did not begin there.
    """

    def __init__(self, reason: Reason, message: str, never_ran: bool = False) -> None:
        super().__init__(message)
        self.reason = reason
        self.never_ran = never_ran


class EngineCallError(PrimroseleverError):
    """A call to the engine got no reply, an error status or an invalid reply."""


class UnansweredCallError(EngineCallError):
    """A call to the engine got no answer; the engine may act on it now or later."""
