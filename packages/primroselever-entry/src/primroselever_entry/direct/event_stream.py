"""
Buffering of event streams, so that another back end can resume after a complete event.

The format is WHATWG server-sent events: a blank line ends an event. A resumed stream
sends the ``id`` of the last event that was received.
"""

from __future__ import annotations

from dataclasses import dataclass

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@dataclass(slots=True)
class EventBuffer:
    """
    Buffers the bytes that one back end sends and releases complete events only.

    ``partial_event`` is what has come of the next event, and ``last_event_id`` that of
    the last complete event, empty before the first one.
    """

    partial_event: bytes = b""
    last_event_id: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those of all events that are now complete."""
        self.partial_event += data
        end = self.partial_event.rfind(EVENT_END)
        if end < 0:
            return b""
        complete = self.partial_event[: end + len(EVENT_END)]
        self.partial_event = self.partial_event[end + len(EVENT_END) :]
        for event in complete.split(EVENT_END):
            for line in event.split(b"\n"):
                if line.startswith(ID_FIELD):
                    self.last_event_id = line[len(ID_FIELD) :].strip()
        return complete
