"""The VM list: what it was told, shown with a lag."""

from __future__ import annotations

import time
from typing import Any

from .base import Reply, Request, StandIn, json_reply, not_found


class VmList(StandIn):
    """
    Shows VMs as they were ``lag_s`` seconds ago.

    ``vms`` in a control request replaces the list. Faults: ``lag_s``, ``down``.
    """

    def __init__(self, **faults: Any) -> None:
        super().__init__(**{"lag_s": 0.0, "down": False, **faults})
        self.history: list[tuple[float, list[dict[str, Any]]]] = [
            (0.0, faults.pop("vms", []))
        ]
        self.faults.pop("vms", None)
        self.calls = 0

    def counters(self) -> dict[str, Any]:
        """Return the calls so far."""
        return {"calls": self.calls}

    def control(self, request: Request) -> Reply:
        """Replace the list, set faults."""
        fields = request.json() if request.method == "POST" else {}
        if "vms" in fields:
            self.history.append((time.monotonic(), fields.pop("vms")))
        self.faults.update(fields)
        return json_reply({"faults": self.faults, **self.counters()})

    def answer(self, request: Request) -> Reply:
        """Show the list."""
        if request.path != "/v1/vms":
            return not_found()
        self.calls += 1
        if self.faults["down"]:
            return json_reply({"problem": "down"}, "503 Service Unavailable")
        until = time.monotonic() - self.faults["lag_s"]
        shown = [vms for since, vms in self.history if since <= until]
        reply = json_reply({"vms": shown[-1] if shown else []})
        etag = f'"{len(shown)}"'
        if request.headers.get("If-None-Match") == etag:
            return Reply("304 Not Modified", [], [("ETag", etag)])
        reply.headers.append(("ETag", etag))
        return reply
