"""The simulated store gives out revisions again after a restore, in a new era."""

from __future__ import annotations

import base64
import json
from typing import Any

from bench.standins.base import Reply, Request
from soak.platform_store import PlatformStore


def get(store: PlatformStore, path: str, **query: str) -> Reply:
    return store.answer(Request("GET", path, {"path_prefix": "op/", **query}, {}, b""))


def decode(reply: Reply) -> Any:
    return json.loads(b"".join(reply.body))


def test_restore_takes_writes_back_and_starts_an_era() -> None:
    """
    A store that kept its era or its later writes would test nothing.

    Revisions must be given out again, so that one revision means two states.
    """
    store = PlatformStore()
    for value in ("first", "second", "third"):
        store.state.write("op/config", value)
    store.state.restore(1)
    store.state.write("op/config", "another second")
    reply = get(store, "/kv-range")
    assert ("Store-Era", "2") in reply.headers
    page = decode(reply)
    assert page["current_rev"] == 2
    value = json.loads(base64.b64decode(page["items"][0]["value"]))
    assert value == "another second"


def test_watch_from_revision_that_the_store_lacks_is_gone() -> None:
    """A watch that waited for the lost revisions would hide the restore."""
    store = PlatformStore()
    for value in ("first", "second", "third"):
        store.state.write("op/config", value)
    store.state.restore(1)
    reply = get(store, "/kv-watch", after="3")
    assert reply.status.startswith("410")
    assert ("Store-Era", "2") in reply.headers
    assert get(store, "/kv-watch", after="1").status.startswith("200")


def test_failing_store_names_its_era() -> None:
    store = PlatformStore()
    store.state.down += 1
    reply = get(store, "/kv-range")
    assert reply.status.startswith("503")
    assert ("Store-Era", "1") in reply.headers
