"""A simulated platform store that serves reads and watches of versioned keys."""

from __future__ import annotations

import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any

import eventlet

from bench.standins.base import Reply, Request, StandIn, json_reply, not_found

WATCH_POLL_INTERVAL_S = 0.02
PAGE_SIZE = 50  # items
SLOW_RESPONSE_S = 0.25


@dataclass(slots=True)
class Change:
    """A write or removal of a key; ``value`` is None for a removal."""

    revision: int
    key: str
    value: Any
    written_at: float = 0.0


@dataclass(slots=True)
class StoreState:
    """
    The history of all keys, and the faults of the store.

    Reads return the state of ``stale_by`` revisions ago. Watches from a revision before
    ``compacted``, or after the newest one, fail. ``era`` counts the restores, after
    which revisions are given out again. ``down`` and ``slow`` count the faults that
    make it so, as faults overlap.
    """

    changes: list[Change] = field(default_factory=list)
    era: int = 1
    compacted: int = 0
    down: int = 0
    slow: int = 0
    stale_by: int = 0

    @property
    def revision(self) -> int:
        """Return the newest revision."""
        return len(self.changes)

    def write(self, key: str, value: Any) -> int:
        """Write a key, or remove it if the value is None; return the new revision."""
        change = Change(len(self.changes) + 1, key, value, time.monotonic())
        self.changes.append(change)
        return self.revision

    def revision_at(self, time_s: float) -> int:
        """Return the newest revision that was written at or before a time."""
        return sum(1 for change in self.changes if change.written_at <= time_s)

    def restore(self, revision: int) -> None:
        """Start the next era from a copy that was made at a revision."""
        del self.changes[revision:]
        self.compacted = min(self.compacted, revision)
        self.era += 1

    def live_keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix that have a value."""
        return [change.key for change in self.entries_at(self.revision, prefix)]

    def entries_at(self, revision: int, prefix: str) -> list[Change]:
        """Return the entries with a key prefix as of a revision, sorted by key."""
        latest: dict[str, Change] = {}
        for change in self.changes[:revision]:
            if change.key.startswith(prefix):
                latest[change.key] = change
        return [latest[key] for key in sorted(latest) if latest[key].value is not None]


class PlatformStore(StandIn):
    """Serves paged full reads and long-polling watches."""

    def __init__(self) -> None:
        super().__init__()
        self.state = StoreState()

    def answer(self, request: Request) -> Reply:
        """Answer a read or a watch, and name the era at the time of the answer."""
        reply = self.answer_in_era(request)
        reply.headers.append(("Store-Era", str(self.state.era)))
        return reply

    def answer_in_era(self, request: Request) -> Reply:
        """Answer a read or a watch."""
        state = self.state
        if state.down:
            return json_reply({"problem": "away"}, "503 Service Unavailable")
        if state.slow:
            eventlet.sleep(SLOW_RESPONSE_S)
        if request.path == "/kv-range":
            return self.handle_read(request)
        if request.path == "/kv-watch":
            return self.handle_watch(request)
        return not_found()

    def handle_read(self, request: Request) -> Reply:
        """Return one page of a full read."""
        revision = max(0, self.state.revision - self.state.stale_by)
        items = self.state.entries_at(revision, request.query["path_prefix"])
        after = request.query.get("after", "")
        items = [item for item in items if item.key > after]
        return json_reply(
            {
                "current_rev": revision,
                "items": [encode_change(item) for item in items[:PAGE_SIZE]],
                "truncated": len(items) > PAGE_SIZE,
            }
        )

    def handle_watch(self, request: Request) -> Reply:
        """Return later changes under a prefix; wait for one if there are none yet."""
        state = self.state
        after = int(request.query["after"])
        prefix = request.query["path_prefix"]
        deadline = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if not state.compacted <= after <= state.revision:
                return json_reply({"problem": "history is gone"}, "410 Gone")
            matching_changes = [
                change
                for change in state.changes[after:]
                if change.key.startswith(prefix)
            ]
            if matching_changes or time.monotonic() >= deadline or state.down:
                break
            eventlet.sleep(WATCH_POLL_INTERVAL_S)
        return json_reply(
            {
                "current_rev": state.revision,
                "events": [encode_change(change) for change in matching_changes],
            }
        )


def encode_change(change: Change) -> dict[str, Any]:
    """Return a change in the format of the store protocol."""
    if change.value is None:
        return {"key": change.key, "removed": True, "revision": change.revision}
    value = base64.b64encode(json.dumps(change.value).encode()).decode()
    return {"key": change.key, "value": value, "revision": change.revision}
