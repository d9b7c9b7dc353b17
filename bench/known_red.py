"""
Tests that are known to fail for a real fault, listed in KNOWN-RED.txt.

An entry is one line with four parts separated by bars. Lines that start with # are
comments:

    test identifier | command and seed | what was seen | issue
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

PARTS_PER_ENTRY = 4


class KnownRedError(ValueError):
    """The list is invalid; the message names the line and the expected format."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry; ``test`` identifies a test or all cases of a parametrized test."""

    test: str
    command: str
    seen: str
    issue: str

    def names(self, node_id: str) -> bool:
        """Return whether the entry covers the test with a node identifier."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} ({self.command}; {self.issue})"


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the entries of a list; raise ``KnownRedError`` if a line is invalid."""
    entries = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [part.strip() for part in line.split("|")]
        if len(fields) != PARTS_PER_ENTRY or not all(fields):
            raise KnownRedError(
                f"KNOWN-RED.txt:{number}: expected test | command | seen | issue"
            )
        entries.append(KnownRed(*fields))
    return entries


def without_test(entries: Iterable[KnownRed], node_ids: Iterable[str]) -> list[str]:
    """Return the test identifiers of entries that match no collected test."""
    collected = list(node_ids)
    return [
        entry.test
        for entry in entries
        if not any(entry.names(node_id) for node_id in collected)
    ]
