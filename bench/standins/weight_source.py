"""A stand-in for the weight store and the origin, with generated versions."""

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

WEIGHTS_PATH = re.compile(
    r"^/v1/weights/(?P<model>[^/]+)/(?P<adapter>[^/]+)/(?P<version>[^/]+)"
    r"/(?P<what>manifest|chunks/(?P<index>\d+))$"
)
PIECE_BYTES = 1 << 16


class WeightSource(StandIn):
    """
    Serves any requested version, with content generated from its name.

    Faults: ``length`` and ``chunk_bytes``: the sizes of a version and its chunks;
    ``bytes_per_s``: the rate limit, 0 for none; ``salt``: changes the content of all
    versions; ``salted_chunks``: limits that to the first chunks; ``holds``: false for
    a source without versions; ``corrupt`` and ``truncate``: the number of next chunks
    to damage; ``down``: answers 503.
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
        self.chunk_cache: dict[tuple[str, int], bytes] = {}

    def counters(self) -> dict[str, Any]:
        """Return the bytes of chunks that were sent, and the chunks that were read."""
        return {"sent_bytes": self.sent_bytes, "chunks_read": self.chunks_read}

    def answer(self, request: Request) -> Reply:
        """Return a manifest or a chunk."""
        match = WEIGHTS_PATH.match(request.path)
        if self.faults["down"]:
            return json_reply({"problem": "down"}, "503 Service Unavailable")
        if match is None or not self.faults["holds"]:
            return not_found()
        name = f"{match['model']}/{match['adapter']}/{match['version']}"
        if match["index"] is None:
            return json_reply(self.build_manifest(match))
        data = self.apply_damage(self.build_chunk(name, int(match["index"])))
        self.chunks_read += 1
        headers = [("Content-Length", str(len(data)))]
        return Reply(body=self.yield_paced(data), headers=headers)

    def apply_damage(self, data: bytes) -> bytes:
        """Return a chunk, damaged while ``corrupt`` or ``truncate`` is above 0."""
        if self.faults["corrupt"] > 0:
            self.faults["corrupt"] -= 1
            return bytes([data[0] ^ 1]) + data[1:]
        if self.faults["truncate"] > 0:
            self.faults["truncate"] -= 1
            return data[: len(data) // 2]
        return data

    def build_manifest(self, match: re.Match[str]) -> dict[str, Any]:
        """Return the manifest of a version."""
        name = f"{match['model']}/{match['adapter']}/{match['version']}"
        length, chunk_bytes = self.faults["length"], self.faults["chunk_bytes"]
        count = -(-length // chunk_bytes)
        return {
            "model": match["model"],
            "adapter": None if match["adapter"] == "none" else match["adapter"],
            "version": match["version"],
            "length": length,
            "chunk_bytes": chunk_bytes,
            "chunks": [chunk_digest(self.build_chunk(name, i)) for i in range(count)],
        }

    def build_chunk(self, name: str, index: int) -> bytes:
        """Return the bytes of a chunk, generated from its name, index and salt."""
        salt = self.faults["salt"] if index < self.faults["salted_chunks"] else ""
        key = (f"{salt}{name}", index)
        if key not in self.chunk_cache:
            size = min(
                self.faults["chunk_bytes"],
                self.faults["length"] - index * self.faults["chunk_bytes"],
            )
            self.chunk_cache[key] = Random(f"{key}").randbytes(size)
        return self.chunk_cache[key]

    def yield_paced(self, data: bytes) -> Iterator[bytes]:
        """Yield the bytes at the rate limit, which all readers share."""
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            eventlet.sleep(self.reserve_delay_s(len(piece)))
            self.sent_bytes += len(piece)
            yield piece

    def reserve_delay_s(self, size: int) -> float:
        """Reserve bytes of the rate limit; return the seconds to wait for them."""
        rate = self.faults["bytes_per_s"]
        if not rate:
            return 0.0
        now = time.monotonic()
        if self.bucket is None or self.bucket.rate != rate:
            self.bucket = TokenBucket(rate, PIECE_BYTES, PIECE_BYTES, now)
        return self.bucket.reserve_units(size, now) - now
