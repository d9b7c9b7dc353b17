"""A stand-in for a model engine, whose tokens contain the digest of its weights."""

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
    Loads versions and streams answers.

    Faults: ``honours_fencing``: whether orders with an old fencing number are refused;
    ``first_token_s`` and ``token_s``: the times before tokens; ``tokens``: the length
    of an answer; ``stamps``: tokens contain the time at which they are sent;
    ``capacity``: the number of runs above which all runs slow down, 0 for no limit;
    ``load_lag_s``: the age of the reported load; ``prefixes``: the size of the prefix
    cache; ``miss_s``: the time that a cache miss adds; ``crash_on``: a text in a body
    that crashes the engine. ``crash`` in a control request ends all runs and drops the
    weights, as a crash with a restart does.

    For each chunk that the engine receives it keeps the digest but not the bytes.
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
        self.prefix_cache = PrefixCache(int(self.faults["prefixes"]))
        self.load_history: deque[tuple[float, int]] = deque(maxlen=4096)
        self.digest = ""
        self.mixed_runs = 0
        self.fencing = 0
        self.chunk_digests: dict[str, dict[int, str]] = {}
        self.in_flight = 0
        self.crashes = 0
        self.runs: dict[str, int] = {}
        self.bodies: Counter[str] = Counter()
        self.cancelled: set[str] = set()
        self.orders: list[dict[str, Any]] = []

    def counters(self) -> dict[str, Any]:
        """Return the runs by identifier and body, the orders and the cache's hits."""
        return {
            "runs": self.runs,
            "bodies": self.bodies,
            "orders": self.orders,
            "digest": self.digest,
            "handed": self.chunk_digests,
            "mixed": self.mixed_runs,
            "in_flight": self.in_flight,
            "crashes": self.crashes,
            "hits": self.prefix_cache.hits,
            "misses": self.prefix_cache.misses,
        }

    def control(self, request: Request) -> Reply:
        """Crash if the request says so, otherwise set faults."""
        if request.method == "POST" and request.json().get("crash"):
            self.crash()
            return json_reply({"crashes": self.crashes})
        return super().control(request)

    def crash(self) -> None:
        """End all runs and drop the weights."""
        self.crashes += 1
        self.digest = ""
        self.fencing = 0
        self.chunk_digests.clear()

    def change_in_flight(self, change: int) -> None:
        """Change the number of runs in flight and record it with the time."""
        self.in_flight += change
        self.load_history.append((time.monotonic(), self.in_flight))

    def reported_load(self) -> int:
        """Return the number of runs in flight ``load_lag_s`` ago."""
        seen_until = time.monotonic() - self.faults["load_lag_s"]
        earlier_counts = (
            count for at, count in reversed(self.load_history) if at <= seen_until
        )
        return next(earlier_counts, 0)

    def slowdown_factor(self) -> float:
        """Return the factor by which concurrent runs slow each other down."""
        capacity = self.faults["capacity"]
        return max(1.0, self.in_flight / capacity) if capacity else 1.0

    def answer(self, request: Request) -> Reply:
        """Answer a request of the engine's protocol."""
        chunk = CHUNK_PATH.match(request.path)
        if chunk is not None and request.method == "PUT":
            digests_by_index = self.chunk_digests.setdefault(chunk["digest"], {})
            digests_by_index[int(chunk["index"])] = xxhash.xxh3_128_hexdigest(
                request.body
            )
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
            return self.load_version(request.json())
        if request.path == "/v1/generate":
            return self.start_run(request.json())
        return not_found()

    def load_version(self, order: dict[str, Any]) -> Reply:
        """Load the version that an order names."""
        if self.faults["honours_fencing"] and order["fencing"] < self.fencing:
            return json_reply({"problem": "old fencing number"}, "409 Conflict")
        if len(self.chunk_digests.get(order["digest"], {})) != order["chunks"]:
            return json_reply({"problem": "chunks are missing"}, "422 Unprocessable")
        self.orders.append(order)
        self.fencing = order["fencing"]
        self.digest = order["digest"]
        return json_reply({"digest": self.digest, "fencing": self.fencing})

    def start_run(self, fields: dict[str, Any]) -> Reply:
        """Count a run and return its streamed answer."""
        if not self.digest:
            return json_reply({"problem": "no weights"}, "503 Service Unavailable")
        run_id = fields["run_id"]
        self.runs[run_id] = self.runs.get(run_id, 0) + 1
        self.bodies[fields["body"]] += 1
        hit = self.prefix_cache.record_use(fields["workspace"], fields["body"])
        first_token_s = self.faults["first_token_s"]
        if not hit:
            first_token_s += self.faults["miss_s"]
        return Reply(body=self.stream_records(run_id, fields["body"], first_token_s))

    def format_token(self, body_hash: str, number: int) -> str:
        """Return the text of a token: digest, body hash, number and time stamp."""
        stamp = f"@{time.monotonic():.6f}" if self.faults["stamps"] else ""
        return f"{self.digest[:8]}:{body_hash}:{number}{stamp} "

    def stream_records(
        self, run_id: str, body: str, first_token_s: float
    ) -> Iterator[bytes]:
        """Yield the records of an answer; the first and the last name the digest."""
        self.change_in_flight(1)
        crashes = self.crashes
        crash_on = self.faults["crash_on"]
        body_hash = xxhash.xxh3_64_hexdigest(body.encode())[:8]
        try:
            digest = self.digest
            yield encode_record({"start": {"digest": digest}})
            eventlet.sleep(first_token_s * self.slowdown_factor())
            count = int(self.faults["tokens"])
            for number in range(count):
                if run_id in self.cancelled:
                    return
                if crash_on and crash_on in body and crashes == self.crashes:
                    self.crash()
                if crashes != self.crashes:
                    raise ConnectionError("the engine crashed")
                yield encode_record({"text": self.format_token(body_hash, number)})
                eventlet.sleep(self.faults["token_s"] * self.slowdown_factor())
            self.mixed_runs += digest != self.digest
            yield encode_record({"end": {"digest": self.digest, "tokens": count}})
        finally:
            self.change_in_flight(-1)


def encode_record(fields: dict[str, Any]) -> bytes:
    """Return a record as one line of the stream."""
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
