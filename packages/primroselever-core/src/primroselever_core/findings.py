"""
Findings: the problems in a file, their places and their remedies.

A validation collects all findings and reports them together, sorted by place, so that
an operator can correct a file in one pass.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """
    One problem at one place.

    ``place`` names the file and the path in it, such as
    ``profiles.jsonc: profiles[0].version``; ``remedy`` says what to do.
    """

    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}; {self.remedy}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Return all findings as text, one per line, sorted by place."""
    return "\n".join(str(finding) for finding in sorted(findings))
