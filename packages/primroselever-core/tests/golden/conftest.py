"""
Golden sessions: events in, decisions out, one readable line each.

A test drives pure controllers with a fake clock and writes down what goes in and
what comes out:

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
    """What happened, in order; ``now`` is the fake clock, in seconds."""

    now: float = 0.0
    lines: list[str] = field(default_factory=list)

    def at(self, now: float) -> None:
        """Move the clock forward."""
        assert now >= self.now
        self.now = now

    def event(self, name: str, **fields: object) -> None:
        """Write down an event that goes in."""
        self.lines.append(f"{self.now:9.3f}  > {name}{shown(fields)}")

    def decision(self, name: str, **fields: object) -> None:
        """Write down a decision that comes out."""
        self.lines.append(f"{self.now:9.3f} <  {name}{shown(fields)}")

    def text(self) -> str:
        """Return the whole session, a line each."""
        return "\n".join(self.lines)


def shown(fields: dict[str, object]) -> str:
    """Return fields as text, in the order in which they were given."""
    return "".join(f" {key}={value}" for key, value in fields.items())


@pytest.fixture
def session() -> Session:
    return Session()
