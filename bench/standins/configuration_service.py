"""A stand-in for the configuration service, from which values are read or watched."""

from __future__ import annotations

import time
from typing import Any

from eventlet import Timeout
from eventlet.event import Event

from primroselever_core.budgets import TokenBucket

from .base import Reply, Request, StandIn, json_reply, not_found

DEFAULT_CALLS_PER_S = 2000.0


class ConfigurationService(StandIn):
    """
    Holds values with revisions; ``publish`` in a control request adds new ones.

    Faults: ``down``: answers 503; ``stale``: the last revision that it shows, 0 for
    no limit; ``calls_per_s``: the rate of calls above which it answers 429.
    """

    def __init__(self, **faults: Any) -> None:
        defaults = {"down": False, "stale": 0, "calls_per_s": DEFAULT_CALLS_PER_S}
        super().__init__(**{**defaults, **faults})
        self.values: dict[str, list[tuple[int, str]]] = {}
        self.revision = 0
        self.calls = 0
        self.waiting = 0
        self.refused = 0
        self.changed = Event()
        self.reset_call_budget()

    def reset_call_budget(self) -> None:
        """Set a full budget of calls at the limit ``calls_per_s``."""
        rate = float(self.faults["calls_per_s"])
        self.call_budget = TokenBucket.full(rate, rate, time.monotonic())

    def counters(self) -> dict[str, Any]:
        """Return the numbers of calls, refused and waiting calls, and the revision."""
        return {
            "calls": self.calls,
            "waiting": self.waiting,
            "refused": self.refused,
            "revision": self.revision,
        }

    def control(self, request: Request) -> Reply:
        """Publish values and set faults."""
        fields = request.json() if request.method == "POST" else {}
        for name, text in fields.pop("publish", {}).items():
            self.revision += 1
            self.values.setdefault(name, []).append((self.revision, text))
        self.faults.update(fields)
        if "calls_per_s" in fields:
            self.reset_call_budget()
        self.changed.send()
        self.changed = Event()
        return json_reply({"faults": self.faults, **self.counters()})

    def answer(self, request: Request) -> Reply:
        """Return a value, or a newer one if the query has ``after``."""
        name = request.path.removeprefix("/v1/values/")
        if name == request.path or request.method != "GET":
            return not_found()
        self.calls += 1
        if self.faults["down"]:
            return json_reply({"problem": "down"}, "503 Service Unavailable")
        if not self.call_budget.take_units(1, time.monotonic()):
            self.refused += 1
            return json_reply({"problem": "call limit"}, "429 Too Many Requests")
        if "after" in request.query:
            return self.wait_for_newer_value(
                name, int(request.query["after"]), request.query
            )
        value = self.find_visible_value(name)
        return not_found() if value is None else value_reply(*value)

    def find_visible_value(self, name: str) -> tuple[int, str] | None:
        """Return the newest revision of a value that ``stale`` allows, or None."""
        stale = self.faults["stale"]
        visible = [v for v in self.values.get(name, ()) if not stale or v[0] <= stale]
        return visible[-1] if visible else None

    def wait_for_newer_value(
        self, name: str, after: int, query: dict[str, str]
    ) -> Reply:
        """Return a value newer than ``after``, or 204 after ``wait_s`` seconds."""
        deadline = time.monotonic() + float(query.get("wait_s", "0"))
        self.waiting += 1
        try:
            while not self.faults["down"]:
                value = self.find_visible_value(name)
                if value is not None and value[0] > after:
                    return value_reply(*value)
                with Timeout(max(0.0, deadline - time.monotonic()), False):
                    self.changed.wait()
                if time.monotonic() >= deadline:
                    return Reply("204 No Content", [], [("Content-Length", "0")])
        finally:
            self.waiting -= 1
        return json_reply({"problem": "down"}, "503 Service Unavailable")


def value_reply(revision: int, text: str) -> Reply:
    """Return the reply with a value and its revision."""
    body = text.encode()
    headers = [("X-Revision", str(revision)), ("Content-Length", str(len(body)))]
    return Reply("200 OK", [body], headers)
