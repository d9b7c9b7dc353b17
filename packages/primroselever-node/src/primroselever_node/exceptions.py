"""Errors of the node package; each names the thing and the remedy."""

from __future__ import annotations

from primroselever_core.exceptions import PrimroseleverError


class PlatformError(PrimroseleverError):
    """A service of the platform could not be read."""


class WeightSourceError(PrimroseleverError):
    """A chunk or a manifest could not be read from the store or the origin."""


class SourceRefusedError(WeightSourceError):
    """The store or the origin answered, but not with what was asked for."""


class AdminError(PrimroseleverError):
    """The admin port of a running process gave no answer."""


class ExplainError(PrimroseleverError):
    """A question to /explain has no answer; the message says what to ask."""


class ListenError(PrimroseleverError):
    """An address of the settings cannot be listened on."""
