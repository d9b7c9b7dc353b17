"""Errors of the core package; each message states the problem and the remedy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .findings import format_findings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .findings import Finding


class PrimroseleverError(Exception):
    """Base class of all errors that the system raises itself."""


class FindingsError(PrimroseleverError):
    """Rejection of an invalid file; ``findings`` holds all problems found in it."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__(format_findings(findings))
        self.findings = sorted(findings)
