"""Exceptions of the node package; messages name the subject and a remedy."""

from __future__ import annotations

from primroselever_core.exceptions import PrimroseleverError


class PlatformError(PrimroseleverError):
    """A platform service could not be read."""


class WeightSourceError(PrimroseleverError):
    """A chunk or manifest could not be read from the weight store or the origin."""


class WeightSourceStatusError(WeightSourceError):
    """The weight store or the origin responded with an error status."""


class AdminError(PrimroseleverError):
    """The admin port of a process did not return a valid response."""


class ExplainError(PrimroseleverError):
    """A query to /explain is invalid; the message says how to correct it."""


class ListenError(PrimroseleverError):
    """The process cannot listen on an address from its settings."""
