"""The weight store and the origin: versions of made-up bytes, rate-limited."""

from __future__ import annotations

import re
import time
from random import Random
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.budgets import TokenBucket
from primroselever_core.transfer.manifest import chunk_digest

from .base import Reply, Request, StandIn, json_reply, not_found

if TYPE_CHECKING:
    from collections.abc import Iterator

PATH = re.compile(
    r"^/v1/weights/(?P<model>[^/]+)/(?P<adapter>[^/]+)/(?P<version>[^/]+)"
    r"/(?P<what>manifest|chunks/(?P<index>\d+))$"
)
PIECE_BYTES = 1 << 16


class WeightSource(StandIn):
    """
    Serves any version that is asked for, its bytes made from its name.

    Faults: ``length``, ``chunk_bytes``, ``bytes_per_s`` (0: no limit), ``salt``,
    which changes the content of all versions, ``salted_chunks``, which limits
    that to the first ones, ``holds``: false for a source without any version,
    ``corrupt`` and ``truncate``: how many of the next chunks are damaged, and
    ``down``.
    """

    def __init__(self, **faults: Any) -> None:
        defaults = {
            "length": 4 << 20,
            "chunk_bytes": 1 << 18,
            "bytes_per_s": 0,
            "salt": "",
            "salted_chunks": 1 << 30,
            "holds": True,
            "corrupt": 0,
            "truncate": 0,
            "down": False,
        }
        super().__init__(**{**defaults, **faults})
        self.sent_bytes = 0
        self.chunks_read = 0
        self.bucket: TokenBucket | None = None
        self.made: dict[tuple[str, int], bytes] = {}

    def counters(self) -> dict[str, Any]:
        """Return the bytes of chunks that were sent."""
        return {"sent_bytes": self.sent_bytes, "chunks_read": self.chunks_read}

    def answer(self, request: Request) -> Reply:
        """Serve a manifest or a chunk."""
        match = PATH.match(request.path)
        if self.faults["down"]:
            return json_reply({"problem": "down"}, "503 Service Unavailable")
        if match is None or not self.faults["holds"]:
            return not_found()
        name = f"{match['model']}/{match['adapter']}/{match['version']}"
        if match["index"] is None:
            return json_reply(self.manifest(match))
        data = self.damaged(self.chunk(name, int(match["index"])))
        self.chunks_read += 1
        headers = [("Content-Length", str(len(data)))]
        return Reply(body=self.paced(data), headers=headers)

    def damaged(self, data: bytes) -> bytes:
        """Return a chunk as the faults have it."""
        if self.faults["corrupt"] > 0:
            self.faults["corrupt"] -= 1
            return bytes([data[0] ^ 1]) + data[1:]
        if self.faults["truncate"] > 0:
            self.faults["truncate"] -= 1
            return data[: len(data) // 2]
        return data

    def manifest(self, match: re.Match[str]) -> dict[str, Any]:
        """Return a version's manifest."""
        name = f"{match['model']}/{match['adapter']}/{match['version']}"
        length, chunk_bytes = self.faults["length"], self.faults["chunk_bytes"]
        count = -(-length // chunk_bytes)
        return {
            "model": match["model"],
            "adapter": None if match["adapter"] == "none" else match["adapter"],
            "version": match["version"],
            "length": length,
            "chunk_bytes": chunk_bytes,
            "chunks": [chunk_digest(self.chunk(name, i)) for i in range(count)],
        }

    def chunk(self, name: str, index: int) -> bytes:
        """Return the bytes of a chunk, the same each time."""
        salt = self.faults["salt"] if index < self.faults["salted_chunks"] else ""
        key = (f"{salt}{name}", index)
        if key not in self.made:
            size = min(
                self.faults["chunk_bytes"],
                self.faults["length"] - index * self.faults["chunk_bytes"],
            )
            self.made[key] = Random(f"{key}").randbytes(size)
        return self.made[key]

    def paced(self, data: bytes) -> Iterator[bytes]:
        """Yield the bytes at the link's rate, shared by all readers."""
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            eventlet.sleep(self.delay(len(piece)))
            self.sent_bytes += len(piece)
            yield piece

    def delay(self, size: int) -> float:
        """Return for how many seconds the link is busy before these bytes."""
        rate = self.faults["bytes_per_s"]
        if not rate:
            return 0.0
        now = time.monotonic()
        if self.bucket is None or self.bucket.rate != rate:
            self.bucket = TokenBucket(rate, PIECE_BYTES, PIECE_BYTES, now)
        return self.bucket.reserve_units(size, now) - now
