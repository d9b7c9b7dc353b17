"""A stand-in for a plain service that counts its calls."""

from __future__ import annotations

from collections import Counter
from typing import Any

import eventlet

from .base import Reply, Request, StandIn, json_reply, not_found


class PlainService(StandIn):
    """
    Counts calls by their body.

    Faults: ``call_s``: the duration of a call; ``break_after``: the connection breaks
    after the call was counted, without an answer.
    """

    def __init__(self, **faults: Any) -> None:
        super().__init__(**{"call_s": 0.01, "break_after": False, **faults})
        self.calls: Counter[str] = Counter()

    def counters(self) -> dict[str, Any]:
        """Return the number of calls by body."""
        return {"calls": self.calls}

    def answer(self, request: Request) -> Reply:
        """Count a call and return its order and count."""
        if not request.path.startswith("/v1/calls/") or request.method != "POST":
            return not_found()
        order = request.body.decode()
        self.calls[order] += 1
        eventlet.sleep(self.faults["call_s"])
        if self.faults["break_after"]:
            raise ConnectionError("connection broken by the fault break_after")
        return json_reply({"order": order, "count": self.calls[order]})
