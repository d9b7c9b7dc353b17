"""Back ends as stand-ins: model servers with a staging area, plain servers, origin."""

from __future__ import annotations

import hashlib
import itertools
import json
import random
import socket
import time
from typing import TYPE_CHECKING, Any

import eventlet

from bench.standins.base import (
    Reply,
    Request,
    StandIn,
    bytes_reply,
    json_reply,
    not_found,
)

from .ledger import Run, event

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from primroselever_node.http import StartResponse

    from .ledger import Ledger

PIECES = 8
PIECE_BYTES = 4096
SLOTS = 8
QUEUE = 8
EVENT_S = 0.03
PLAIN_S = 0.1
LOAD_S = 0.2
MODEL = "m"
ROT_GRACE_S = 3.0  # a piece that turned bad so lately may have been verified before


class CrashedError(Exception):
    """The back end crashed while it answered; its connections end unanswered."""


def piece(version: int, index: int) -> bytes:
    """Return the bytes of a piece of a version."""
    return random.Random(version * 1000 + index).randbytes(PIECE_BYTES)


class Origin(StandIn):
    """Sends manifests and pieces."""

    def answer(self, request: Request) -> Reply:
        """Answer for the version that the query names."""
        version = int(request.query.get("version", "1"))
        if request.path.startswith("/manifest/"):
            digests = [
                hashlib.sha256(piece(version, index)).hexdigest()
                for index in range(PIECES)
            ]
            return json_reply({"digests": digests})
        if request.path.startswith("/piece/"):
            return bytes_reply(piece(version, int(request.query["num"])))
        return not_found()


class Backend(StandIn):
    """
    What all back ends share: identity, slots, and runs that a crash breaks off.

    ``start`` counts the starts; runs of an earlier start end unanswered.
    """

    numbers = itertools.count(1)

    def __init__(self, ledger: Ledger, address: tuple[str, int], domain: str) -> None:
        super().__init__()
        self.ledger = ledger
        self.address = address
        self.domain = domain
        self.restart()

    def restart(self) -> None:
        """Begin a new start with an identity of its own."""
        self.server_id = f"i-{next(self.numbers):04d}"
        self.born_ms = int(time.time() * 1000)
        self.down = False
        self.running = 0

    def crash(self) -> None:
        """Break off all runs; nothing is answered until the next start."""
        self.server_id = f"{self.server_id}-dead"
        self.down = True

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, or end its connection unanswered."""
        try:
            return super().__call__(environ, start_response)
        except CrashedError:
            environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
            start_response("500 Crashed", [])
            return []

    def refusal(self, request: Request) -> Reply | None:
        """Return why a request is not run, None if it is."""
        if self.down:
            raise CrashedError
        if request.headers.get("Expect-Instance") != self.server_id:
            return not_run(request, "421 Misdirected Request")
        if self.running >= SLOTS + QUEUE:
            return not_run(request, "503 Service Unavailable")
        return None

    def begin(self, request: Request) -> Run:
        """Note a run."""
        run = Run(self.server_id, time.monotonic(), request.headers.get("Tenant", ""))
        self.ledger.ran(request.headers["Request-Id"], run)
        self.running += 1
        return run

    def pause(self, run: Run, seconds: float) -> None:
        """Work for a while; raise if the back end crashed meanwhile."""
        eventlet.sleep(seconds)
        if run.server != self.server_id:
            run.broken = True
            raise CrashedError

    def headers(self, request: Request, run: Run) -> list[tuple[str, str]]:
        """Return the headers of an answer."""
        return [
            ("Request-Id", request.headers["Request-Id"]),
            ("Response-Seal", f"{run.server}.{run.at:.6f}"),
        ]


class PlainServer(Backend):
    """Answers each request after a short while with a body of its own."""

    def answer(self, request: Request) -> Reply:
        """Run a request."""
        refused = self.refusal(request)
        if refused is not None:
            return refused
        run = self.begin(request)
        run.body = f"{request.headers['Request-Id']} at {run.server}".encode()
        try:
            self.pause(run, PLAIN_S)
        finally:
            self.running -= 1
        headers = [
            *self.headers(request, run),
            ("Content-Length", str(len(run.body))),
        ]
        return Reply("200 OK", [run.body], headers)


class ModelServer(Backend):
    """A model server with a staging area that a crash doesn't empty."""

    def __init__(self, ledger: Ledger, address: tuple[str, int], domain: str) -> None:
        self.staged = {index: piece(1, index) for index in range(PIECES)}
        self.rotten: dict[int, float] = {}
        super().__init__(ledger, address, domain)
        self.version = 1

    def restart(self) -> None:
        """Start without loaded weights."""
        super().restart()
        self.version = 0
        self.loaded_at = 0.0
        self.loading = False
        self.orders = 0

    def rot(self, index: int) -> None:
        """Turn a staged piece bad."""
        if index in self.staged:
            self.staged[index] = b"rot" + self.staged[index][3:]
            self.rotten[index] = time.monotonic()

    def answer(self, request: Request) -> Reply:
        """Answer the agent, or run a request."""
        if self.down:
            raise CrashedError
        if request.path == "/report":
            return json_reply(self.report())
        if request.path == "/order":
            return self.order(request.json())
        if request.path.startswith("/stage-put/"):
            index = int(request.query["num"])
            self.staged[index] = request.body
            self.rotten.pop(index, None)
            return json_reply({})
        if request.path.startswith("/stage-get/"):
            return self.stage_get(request)
        return self.stream(request)

    def report(self) -> dict[str, Any]:
        """Return what the server says of itself."""
        models = [{"name": MODEL, "version": self.version}] if self.version else []
        return {
            "born": self.born_ms,
            "models": models,
            "busy": self.loading,
            "seq": self.orders,
            "running": min(self.running, SLOTS),
            "queued": max(0, self.running - SLOTS),
            "pace": 1.0,
        }

    def stage_get(self, request: Request) -> Reply:
        """Return a staged piece, or which there are."""
        if "num" not in request.query:
            return json_reply({"held": sorted(self.staged)})
        data = self.staged.get(int(request.query["num"]))
        return not_found() if data is None else bytes_reply(data)

    def order(self, order: dict[str, Any]) -> Reply:
        """Begin to load what is staged."""
        if order.get("op") != "start":
            return json_reply({}, "400 Bad Request")
        if self.loading or order.get("precondition", self.orders) != self.orders:
            return json_reply({}, "409 Conflict")
        self.orders += 1
        self.loading = True
        self.check_staged(int(order["version"]))
        eventlet.spawn(self.load, int(order["version"]), self.server_id)
        return json_reply({}, "202 Accepted")

    def check_staged(self, version: int) -> None:
        """Note a breach if a piece is missing, spoilt or of another version."""
        now = time.monotonic()
        for index in range(PIECES):
            if self.staged.get(index) == piece(version, index):
                continue
            if now - self.rotten.get(index, 0.0) > ROT_GRACE_S:
                self.ledger.breach(
                    "whole", f"{self.server_id}: piece {index} of version {version}"
                )

    def load(self, version: int, server_id: str) -> None:
        """Load once what runs has ended."""
        while self.running and server_id == self.server_id:
            eventlet.sleep(0.01)
        eventlet.sleep(LOAD_S)
        if server_id == self.server_id:
            self.version, self.loading = version, False
            self.loaded_at = time.monotonic()

    def stream(self, request: Request) -> Reply:
        """Run a request whose path ends with the number of its events."""
        refused = self.refusal(request)
        if refused is not None:
            return refused
        if self.loading or not self.version:
            return not_run(request, "503 Service Unavailable")
        wanted = request.headers.get("Expect-Version")
        if wanted is not None and int(wanted) != self.version:
            return not_run(request, "421 Misdirected Request")
        run = self.begin(request)
        headers = [*self.headers(request, run), ("Content-Type", "text/event-stream")]
        return Reply("200 OK", self.events(request, run), headers)

    def events(self, request: Request, run: Run) -> Iterator[bytes]:
        """Yield the events that are wanted."""
        request_id = request.headers["Request-Id"]
        last = int(request.path.rsplit("/", 1)[1])
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        try:
            for number in range(first, last + 1):
                self.pause(run, EVENT_S)
                yield event(request_id, number)
        finally:
            self.running = max(0, self.running - 1)


def not_run(request: Request, status: str) -> Reply:
    """Return the refusal of a request that did not run."""
    body = json.dumps({"problem": status}).encode()
    headers = [
        ("Request-Id", request.headers.get("Request-Id", "")),
        ("Not-Run", "1"),
        ("Content-Length", str(len(body))),
    ]
    return Reply(status, [body], headers)
