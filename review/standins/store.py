"""A stand-in for the platform's metadata store: reads, pages and watches."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from contextlib import suppress
from typing import Any

from .http import HttpError, Request, read_request, write_response

PAGE_ITEMS = 500


class Store:
    """Keeps keys with revisions, and answers ``/kv-key``, ``/kv-range``, ``/kv-watch``."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    async def write(self, key: str, value: Any) -> int:
        """Write a key, or remove it if the value is None; return the revision."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            known = self.items.get(key)
            event = {
                "key": key,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision,
                "created_rev": known["created_rev"] if known else self.revision,
                "lease": 0,
            }
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def serve(self, host: str) -> tuple[str, int]:
        """Start to serve on a free port; return the address."""
        server = await asyncio.start_server(self.handle, host, 0)
        return server.sockets[0].getsockname()[:2]

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        try:
            while request := await read_request(reader):
                status, value = await self.answer(request)
                body = json.dumps(value).encode()
                await write_response(
                    writer, status, [("Content-Type", "application/json")], body
                )
        except (OSError, HttpError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request: Request) -> tuple[int, Any]:
        """Return the status and the body of an answer."""
        query = request.query
        if request.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        prefix = query.get("path_prefix", "")
        if request.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "truncated": len(keys) > PAGE_ITEMS,
                "current_rev": self.revision,
            }
        if request.path != "/kv-watch":
            return 404, {}
        after_revision = int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after_revision
                and event["key"].startswith(prefix)
            ]
            remaining_s = until - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), remaining_s)
