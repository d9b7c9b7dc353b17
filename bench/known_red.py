"""
Tests that are known to fail for a real fault, listed in KNOWN-RED.txt.

An entry is one line of four parts, divided by bars; a line that starts with # is
a comment:

    test identifier | command and seed | what was seen | issue
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

PARTS = 4


class KnownRedError(ValueError):
    """The list cannot be used; the message names the line and the remedy."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry; ``test`` names a test, or all cases of a parametrized one."""

    test: str
    command: str
    seen: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether the entry is about a test."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} ({self.command}; {self.issue})"


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the entries of a list, or raise ``KnownRedError``."""
    entries = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != PARTS or not all(parts):
            raise KnownRedError(
                f"KNOWN-RED.txt:{number}: write test | command | seen | issue"
            )
        entries.append(KnownRed(*parts))
    return entries


def without_test(entries: Iterable[KnownRed], node_ids: Iterable[str]) -> list[str]:
    """Return the entries that name no test, as text."""
    known = list(node_ids)
    return [
        entry.test
        for entry in entries
        if not any(entry.names(node_id) for node_id in known)
    ]
