"""A model engine that streams tokens made from its weights' digest."""

from __future__ import annotations

import json
import re
import time
from collections import Counter, deque
from typing import TYPE_CHECKING, Any

import eventlet
import xxhash

from .base import Reply, Request, StandIn, bytes_reply, json_reply, not_found
from .prefix_cache import PrefixCache

if TYPE_CHECKING:
    from collections.abc import Iterator

CHUNK_PATH = re.compile(r"^/v1/weights/(?P<digest>\w+)/chunks/(?P<index>\d+)$")
RUN_PATH = re.compile(r"^/v1/runs/(?P<run_id>\w+)$")


class Engine(StandIn):
    """
    Faults: ``honours_fencing``, ``token_s``, ``first_token_s``, ``tokens``, and
    ``stamps``: each token says when it was sent; ``capacity``, the runs beyond which
    all slow down (0: none); ``load_lag_s``, the age of the load that it reports;
    ``prefixes``, how many it holds, and ``miss_s``, what a prefix that it does not
    hold costs; ``crash_on``, a text whose requests crash it. ``crash`` in a control
    request ends all runs and loses the weights, as a crash and restart does.

    Chunks that are handed over are counted and their digests kept, not their
    bytes.
    """

    def __init__(self, **faults: Any) -> None:
        defaults = {
            "honours_fencing": True,
            "token_s": 0.005,
            "first_token_s": 0.02,
            "tokens": 10,
            "capacity": 0,
            "load_lag_s": 0.0,
            "prefixes": 16,
            "miss_s": 0.0,
            "stamps": False,
            "crash_on": "",
        }
        super().__init__(**{**defaults, **faults})
        self.cache = PrefixCache(int(self.faults["prefixes"]))
        self.load_history: deque[tuple[float, int]] = deque(maxlen=4096)
        self.digest = ""
        self.mixed = 0
        self.fencing = 0
        self.handed: dict[str, dict[int, str]] = {}
        self.in_flight = 0
        self.crashes = 0
        self.runs: dict[str, int] = {}
        self.bodies: Counter[str] = Counter()
        self.cancelled: set[str] = set()
        self.orders: list[dict[str, Any]] = []

    def counters(self) -> dict[str, Any]:
        """Return the runs by identifier and body, orders and the cache's use."""
        return {
            "runs": self.runs,
            "bodies": self.bodies,
            "orders": self.orders,
            "digest": self.digest,
            "handed": self.handed,
            "mixed": self.mixed,
            "in_flight": self.in_flight,
            "crashes": self.crashes,
            "hits": self.cache.hits,
            "misses": self.cache.misses,
        }

    def control(self, request: Request) -> Reply:
        """Set faults, or crash."""
        if request.method == "POST" and request.json().get("crash"):
            self.crash()
            return json_reply({"crashes": self.crashes})
        return super().control(request)

    def crash(self) -> None:
        """End all runs and lose the weights."""
        self.crashes += 1
        self.digest = ""
        self.fencing = 0
        self.handed.clear()

    def count(self, change: int) -> None:
        """Count runs in flight, and remember when how many were."""
        self.in_flight += change
        self.load_history.append((time.monotonic(), self.in_flight))

    def reported_load(self) -> int:
        """Return the runs in flight as they were ``load_lag_s`` ago."""
        seen_until = time.monotonic() - self.faults["load_lag_s"]
        known = (count for at, count in reversed(self.load_history) if at <= seen_until)
        return next(known, 0)

    def slowdown(self) -> float:
        """Return by how much runs are slowed down by one another."""
        capacity = self.faults["capacity"]
        return max(1.0, self.in_flight / capacity) if capacity else 1.0

    def answer(self, request: Request) -> Reply:
        """Answer the engine's protocol."""
        chunk = CHUNK_PATH.match(request.path)
        if chunk is not None and request.method == "PUT":
            handed = self.handed.setdefault(chunk["digest"], {})
            handed[int(chunk["index"])] = xxhash.xxh3_128_hexdigest(request.body)
            return bytes_reply(b"", "204 No Content")
        if RUN_PATH.match(request.path) and request.method == "DELETE":
            self.cancelled.add(request.path.rpartition("/")[2])
            return bytes_reply(b"", "204 No Content")
        if request.path == "/v1/state":
            return json_reply(
                {
                    "digest": self.digest,
                    "fencing": self.fencing,
                    "in_flight": self.reported_load(),
                }
            )
        if request.path == "/control/load":
            return json_reply({"in_flight": self.in_flight})
        if request.path == "/v1/orders":
            return self.carry_out(request.json())
        if request.path == "/v1/generate":
            return self.generate(request.json())
        return not_found()

    def carry_out(self, order: dict[str, Any]) -> Reply:
        """Carry out an order to load a version."""
        if self.faults["honours_fencing"] and order["fencing"] < self.fencing:
            return json_reply({"problem": "old fencing number"}, "409 Conflict")
        if len(self.handed.get(order["digest"], {})) != order["chunks"]:
            return json_reply({"problem": "chunks are missing"}, "422 Unprocessable")
        self.orders.append(order)
        self.fencing = order["fencing"]
        self.digest = order["digest"]
        return json_reply({"digest": self.digest, "fencing": self.fencing})

    def generate(self, fields: dict[str, Any]) -> Reply:
        """Stream an answer."""
        if not self.digest:
            return json_reply({"problem": "no weights"}, "503 Service Unavailable")
        run_id = fields["run_id"]
        self.runs[run_id] = self.runs.get(run_id, 0) + 1
        self.bodies[fields["body"]] += 1
        hit = self.cache.use(fields["workspace"], fields["body"])
        first_token_s = self.faults["first_token_s"]
        if not hit:
            first_token_s += self.faults["miss_s"]
        return Reply(body=self.tokens(run_id, fields["body"], first_token_s))

    def token(self, mark: str, number: int) -> str:
        """Return the text of one token."""
        stamp = f"@{time.monotonic():.6f}" if self.faults["stamps"] else ""
        return f"{self.digest[:8]}:{mark}:{number}{stamp} "

    def tokens(self, run_id: str, body: str, first_token_s: float) -> Iterator[bytes]:
        """Yield the records of an answer, with the digest at both ends."""
        self.count(1)
        crashes = self.crashes
        crash_on = self.faults["crash_on"]
        mark = xxhash.xxh3_64_hexdigest(body.encode())[:8]
        try:
            digest = self.digest
            yield record({"start": {"digest": digest}})
            eventlet.sleep(first_token_s * self.slowdown())
            count = int(self.faults["tokens"])
            for number in range(count):
                if run_id in self.cancelled:
                    return
                if crash_on and crash_on in body and crashes == self.crashes:
                    self.crash()
                if crashes != self.crashes:
                    raise ConnectionError("the engine crashed")
                yield record({"text": self.token(mark, number)})
                eventlet.sleep(self.faults["token_s"] * self.slowdown())
            self.mixed += digest != self.digest
            yield record({"end": {"digest": self.digest, "tokens": count}})
        finally:
            self.count(-1)


def record(fields: dict[str, Any]) -> bytes:
    """Return one line of the stream."""
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
