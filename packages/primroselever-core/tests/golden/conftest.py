"""
Golden sessions: readable logs of input events and output decisions.

A test drives pure controllers with a fake clock, records each event and decision as
a line, and compares the log with a snapshot:

    def test_ordinary_hour(session, snapshot):
        session.at(1.0)
        session.event("heartbeat", vm="lag-a-1", leaving=True)
        session.decision("route", subject="run 1", choice="lag-a-2", reason="...")
        assert session.text() == snapshot
"""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest


@dataclass(slots=True)
class Session:
    """A log of events and decisions; ``now`` is the fake clock in seconds."""

    now: float = 0.0
    lines: list[str] = field(default_factory=list)

    def at(self, now: float) -> None:
        """Move the clock forward."""
        assert now >= self.now
        self.now = now

    def event(self, name: str, **fields: object) -> None:
        """Record an input event."""
        self.lines.append(f"{self.now:9.3f}  > {name}{format_fields(fields)}")

    def decision(self, name: str, **fields: object) -> None:
        """Record an output decision."""
        self.lines.append(f"{self.now:9.3f} <  {name}{format_fields(fields)}")

    def text(self) -> str:
        """Return the recorded lines as text."""
        return "\n".join(self.lines)


def format_fields(fields: dict[str, object]) -> str:
    """Return fields as text, in the order of the arguments."""
    return "".join(f" {key}={value}" for key, value in fields.items())


@pytest.fixture
def session() -> Session:
    return Session()
