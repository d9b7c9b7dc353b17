"""A stand-in for the platform's VM list, which shows changes with a lag."""

from __future__ import annotations

import time
from typing import Any

from .base import Reply, Request, StandIn, json_reply, not_found


class VmList(StandIn):
    """
    Shows the VM list as it was ``lag_s`` seconds ago.

    ``vms`` in a control request replaces the list. Faults: ``lag_s``, and ``down``:
    answers 503.
    """

    def __init__(self, **faults: Any) -> None:
        super().__init__(**{"lag_s": 0.0, "down": False, **faults})
        self.history: list[tuple[float, list[dict[str, Any]]]] = [
            (0.0, faults.pop("vms", []))
        ]
        self.faults.pop("vms", None)
        self.calls = 0

    def counters(self) -> dict[str, Any]:
        """Return the number of calls."""
        return {"calls": self.calls}

    def control(self, request: Request) -> Reply:
        """Replace the list and set faults."""
        fields = request.json() if request.method == "POST" else {}
        if "vms" in fields:
            self.history.append((time.monotonic(), fields.pop("vms")))
        self.faults.update(fields)
        return json_reply({"faults": self.faults, **self.counters()})

    def answer(self, request: Request) -> Reply:
        """Return the visible list, or 304 if the caller has it."""
        if request.path != "/v1/vms":
            return not_found()
        self.calls += 1
        if self.faults["down"]:
            return json_reply({"problem": "down"}, "503 Service Unavailable")
        shown_at = time.monotonic() - self.faults["lag_s"]
        visible = [vms for since, vms in self.history if since <= shown_at]
        reply = json_reply({"vms": visible[-1] if visible else []})
        etag = f'"{len(visible)}"'
        if request.headers.get("If-None-Match") == etag:
            return Reply("304 Not Modified", [], [("ETag", etag)])
        reply.headers.append(("ETag", etag))
        return reply
