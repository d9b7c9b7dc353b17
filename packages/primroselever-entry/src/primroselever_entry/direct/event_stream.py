"""
Streams of events, cut at the last whole event so that another back end can go on.

Format: the WHATWG's server-sent events; a blank line ends an event, whose ``id`` line
is what a resumed stream names as the last one that arrived.
"""

from __future__ import annotations

from dataclasses import dataclass

END = b"\n\n"
ID_FIELD = b"id:"


@dataclass(slots=True)
class EventCutter:
    """Collects bytes and hands on whole events only."""

    partial: bytes = b""
    last_id: bytes = b""
    events: int = 0

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole now."""
        self.partial += data
        end = self.partial.rfind(END)
        if end < 0:
            return b""
        whole = self.partial[: end + len(END)]
        self.partial = self.partial[end + len(END) :]
        for event in whole.split(END):
            for line in event.split(b"\n"):
                if line.startswith(ID_FIELD):
                    self.last_id = line[len(ID_FIELD) :].strip()
                    self.events += 1
        return whole

    def restart(self) -> None:
        """Drop a part of an event before another back end goes on."""
        self.partial = b""
