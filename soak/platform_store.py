"""The platform's store as a stand-in: keys with revisions, read and watched."""

from __future__ import annotations

import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any

import eventlet

from bench.standins.base import Reply, Request, StandIn, json_reply, not_found

WATCH_STEP_S = 0.02
PAGE = 50  # items in one answer
SLOW_S = 0.25


@dataclass(slots=True)
class Change:
    """One write or removal of a key; ``value`` is None for a removal."""

    revision: int
    key: str
    value: Any


@dataclass(slots=True)
class StoreState:
    """
    The history of all keys.

    ``stale_by`` serves reads as of so many revisions ago; changes up to ``compacted``
    are not to be had by watches.
    """

    changes: list[Change] = field(default_factory=list)
    compacted: int = 0
    down: bool = False
    slow: bool = False
    stale_by: int = 0

    @property
    def revision(self) -> int:
        """Return the newest revision."""
        return len(self.changes)

    def write(self, key: str, value: Any) -> int:
        """Write a key, or remove it with None; return the revision."""
        self.changes.append(Change(len(self.changes) + 1, key, value))
        return self.revision

    def as_of(self, revision: int, prefix: str) -> list[Change]:
        """Return the latest change of each key that was there at a revision."""
        latest: dict[str, Change] = {}
        for change in self.changes[:revision]:
            if change.key.startswith(prefix):
                latest[change.key] = change
        return [latest[key] for key in sorted(latest) if latest[key].value is not None]


class PlatformStore(StandIn):
    """Answers full reads, page by page, and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.state = StoreState()

    def answer(self, request: Request) -> Reply:
        """Answer a read or a watch."""
        state = self.state
        if state.down:
            return json_reply({"problem": "away"}, "503 Service Unavailable")
        if state.slow:
            eventlet.sleep(SLOW_S)
        if request.path == "/kv-range":
            return self.read(request)
        if request.path == "/kv-watch":
            return self.watch(request)
        return not_found()

    def read(self, request: Request) -> Reply:
        """Answer one page of a full read."""
        revision = max(0, self.state.revision - self.state.stale_by)
        items = self.state.as_of(revision, request.query["path_prefix"])
        after = request.query.get("after", "")
        items = [item for item in items if item.key > after]
        return json_reply(
            {
                "current_rev": revision,
                "items": [shown(item) for item in items[:PAGE]],
                "truncated": len(items) > PAGE,
            }
        )

    def watch(self, request: Request) -> Reply:
        """Answer with what changed, at once or when something does."""
        state = self.state
        after = int(request.query["after"])
        prefix = request.query["path_prefix"]
        deadline = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if after < state.compacted:
                return json_reply({"problem": "history is gone"}, "410 Gone")
            found = [c for c in state.changes[after:] if c.key.startswith(prefix)]
            if found or time.monotonic() >= deadline or state.down:
                break
            eventlet.sleep(WATCH_STEP_S)
        return json_reply(
            {"current_rev": state.revision, "events": [shown(c) for c in found]}
        )


def shown(change: Change) -> dict[str, Any]:
    """Return a change as the store sends it."""
    if change.value is None:
        return {"key": change.key, "removed": True, "revision": change.revision}
    value = base64.b64encode(json.dumps(change.value).encode()).decode()
    return {"key": change.key, "value": value, "revision": change.revision}
