"""The configuration service: values with revisions, read and watched only."""

from __future__ import annotations

import time
from typing import Any

from eventlet import Timeout
from eventlet.event import Event

from primroselever_core.budgets import TokenBucket

from .base import Reply, Request, StandIn, json_reply, not_found

CALLS_PER_S = 2000.0


class ConfigurationService(StandIn):
    """
    Holds values; ``publish`` in a control request publishes a new one.

    Faults: ``down``; ``stale``: the revision at which it goes on answering; and
    ``calls_per_s``: the call limit, above which it answers 429.
    """

    def __init__(self, **faults: Any) -> None:
        known = {"down": False, "stale": 0, "calls_per_s": CALLS_PER_S}
        super().__init__(**{**known, **faults})
        self.values: dict[str, list[tuple[int, str]]] = {}
        self.revision = 0
        self.calls = 0
        self.waiting = 0
        self.refused = 0
        self.changed = Event()
        self.limit_calls()

    def limit_calls(self) -> None:
        """Start a full budget of calls."""
        rate = float(self.faults["calls_per_s"])
        self.bucket = TokenBucket.full(rate, rate, time.monotonic())

    def counters(self) -> dict[str, Any]:
        """Return the calls so far, and how many wait now."""
        return {
            "calls": self.calls,
            "waiting": self.waiting,
            "refused": self.refused,
            "revision": self.revision,
        }

    def control(self, request: Request) -> Reply:
        """Publish values, set faults."""
        fields = request.json() if request.method == "POST" else {}
        for name, text in fields.pop("publish", {}).items():
            self.revision += 1
            self.values.setdefault(name, []).append((self.revision, text))
        self.faults.update(fields)
        if "calls_per_s" in fields:
            self.limit_calls()
        self.changed.send()
        self.changed = Event()
        return json_reply({"faults": self.faults, **self.counters()})

    def answer(self, request: Request) -> Reply:
        """Read or watch a value."""
        name = request.path.removeprefix("/v1/values/")
        if name == request.path or request.method != "GET":
            return not_found()
        self.calls += 1
        if self.faults["down"]:
            return json_reply({"problem": "down"}, "503 Service Unavailable")
        if not self.bucket.take_units(1, time.monotonic()):
            self.refused += 1
            return json_reply({"problem": "call limit"}, "429 Too Many Requests")
        if "after" in request.query:
            return self.watch(name, int(request.query["after"]), request.query)
        found = self.current(name)
        return not_found() if found is None else value_reply(*found)

    def current(self, name: str) -> tuple[int, str] | None:
        """Return the newest revision of a value that is shown."""
        stale = self.faults["stale"]
        shown = [v for v in self.values.get(name, ()) if not stale or v[0] <= stale]
        return shown[-1] if shown else None

    def watch(self, name: str, after: int, query: dict[str, str]) -> Reply:
        """Wait for a newer value."""
        deadline = time.monotonic() + float(query.get("wait_s", "0"))
        self.waiting += 1
        try:
            while not self.faults["down"]:
                found = self.current(name)
                if found is not None and found[0] > after:
                    return value_reply(*found)
                with Timeout(max(0.0, deadline - time.monotonic()), False):
                    self.changed.wait()
                if time.monotonic() >= deadline:
                    return Reply("204 No Content", [], [("Content-Length", "0")])
        finally:
            self.waiting -= 1
        return json_reply({"problem": "down"}, "503 Service Unavailable")


def value_reply(revision: int, text: str) -> Reply:
    """Return the reply with a value."""
    body = text.encode()
    headers = [("X-Revision", str(revision)), ("Content-Length", str(len(body)))]
    return Reply("200 OK", [body], headers)
