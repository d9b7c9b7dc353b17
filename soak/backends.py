"""Simulated back ends: model servers, plain servers and the origin of weights."""

from __future__ import annotations

import functools
import hashlib
import itertools
import json
import random
import socket
import time
from contextlib import suppress
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

from .ledger import Arrival, ColdStart, Run

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroselever_node.http import StartResponse

    from .ledger import Ledger

PIECE_COUNT = 8
PIECE_BYTES = 4096
SLOTS = 8
QUEUE_LENGTH = 8
PLAIN_RUN_S = 0.1
RETRY_AFTER_S = 3  # in the refusals of a closed back end
COLD_START_S = 3.0


class UnframedResponse(Exception):  # noqa: N818
    """Raised to send the bytes of a response on the connection as they are."""

    def __init__(self, reply: Reply) -> None:
        super().__init__()
        self.reply = reply


class CrashedError(Exception):
    """Raised to close the connection of a request without an answer after a crash."""


@functools.cache
def make_piece(version: int, index: int) -> bytes:
    """Return the bytes of a piece of a weights version."""
    content = random.Random(version * 1000 + index).randbytes(PIECE_BYTES - 4)
    return version.to_bytes(4) + content


def piece_version(data: bytes) -> int:
    """Return the version to which the bytes of a piece belong, if they are valid."""
    return int.from_bytes(data[:4])


class Origin(StandIn):
    """Serves the manifests and pieces of weights, except until ``down_until``."""

    def __init__(self) -> None:
        super().__init__()
        self.down_until = 0.0

    def answer(self, request: Request) -> Reply:
        """Return the manifest or a piece of the requested version."""
        if time.monotonic() < self.down_until:
            return json_reply({"problem": "away"}, "503 Service Unavailable")
        version = int(request.query.get("version", "1"))
        if request.path.startswith("/manifest/"):
            digests = [
                hashlib.sha256(make_piece(version, index)).hexdigest()
                for index in range(PIECE_COUNT)
            ]
            return json_reply({"digests": digests})
        if request.path.startswith("/piece/"):
            return bytes_reply(make_piece(version, int(request.query["num"])))
        return not_found()


class Backend(StandIn):
    """
    Base class of the back ends, with a limit on runs and simulated crashes.

    ``server_id`` changes with every crash and start. Runs that began under another ID
    end without an answer. ``sequence`` counts the writes of the store entry. A back end
    that is ``leaving`` says so in all its answers. Until ``closed_until`` it refuses
    requests, and until ``silent_until`` it sends nothing, although it runs.
    ``listed_as_draining`` is the state that its store entry tells. Until
    ``unframed_until`` its responses have no length and end with their connection.
    ``rate_limit`` is the limit that it names in its answers, None for none. A plain
    server is cold until ``cold_until``, except after its start with the fleet.
    ``occupied`` counts requests of others than the fleet's callers.
    """

    server_numbers = itertools.count(1)

    def __init__(self, ledger: Ledger, address: tuple[str, int], domain: str) -> None:
        super().__init__()
        self.ledger = ledger
        self.address = address
        self.domain = domain
        self.silent_until = 0.0
        self.cold_until = 0.0
        self.restart()

    def restart(self) -> None:
        """Start a new incarnation with a new server ID."""
        self.server_id = f"i-{next(self.server_numbers):04d}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.down = False
        self.leaving = False
        self.listed_as_draining = False
        self.closed_until = 0.0
        self.unframed_until = 0.0
        self.rate_limit: float | None = None
        self.running = 0
        self.occupied = 0

    def crash(self) -> None:
        """Interrupt all runs and answer no request until the next start."""
        self.server_id = f"{self.server_id}-dead"
        self.down = True

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer a request, or shut down its connection after a crash."""
        try:
            return super().__call__(environ, start_response)
        except CrashedError:
            pass
        except UnframedResponse as exc:
            self.send_unframed(environ["wsgi.input"].get_socket(), exc.reply)
        with suppress(OSError):  # the entry closed it first
            environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
        start_response("500 Crashed", [])
        return []

    def send_unframed(self, connection: Any, reply: Reply) -> None:
        """Send a response without a length or chunks."""
        lines = [f"HTTP/1.1 {reply.status}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        with suppress(OSError, CrashedError):
            connection.sendall("\r\n".join([*lines, "", ""]).encode())
            for part in reply.body:
                connection.sendall(part)

    def check_admission(self, request: Request) -> Reply | None:
        """
        Return the refusal of a request, or None if it may run.

        Raise CrashedError while the back end is down.
        """
        if self.down:
            raise CrashedError
        server_id, now = request.headers.get("Expect-Instance"), time.monotonic()
        arrival = Arrival(request.headers.get("Request-Id", ""), server_id or "", now)
        arrival.priority = request.headers.get("Request-Priority", "")
        if server_id == self.server_id:
            self.ledger.arrivals.append(arrival)
        self.wait_while_silent()
        if self.down:
            raise CrashedError
        if server_id != self.server_id:
            return self.refuse(request, "421 Misdirected Request")
        now = time.monotonic()
        if now < self.closed_until:
            arrival.refused_at, arrival.closed_until = now, now + RETRY_AFTER_S
            return self.refuse(request, "503 Service Unavailable", RETRY_AFTER_S)
        if self.running + self.occupied >= SLOTS + QUEUE_LENGTH:
            return self.refuse(request, "503 Service Unavailable")
        return None

    def wait_while_silent(self) -> None:
        """Sleep until the end of a silence."""
        while (remaining_s := self.silent_until - time.monotonic()) > 0:
            eventlet.sleep(remaining_s)

    def refuse(
        self, request: Request, status: str, retry_after_s: int | None = None
    ) -> Reply:
        """Return a refusal that is marked as not run."""
        body = json.dumps({"problem": status}).encode()
        headers = [
            ("Request-Id", request.headers.get("Request-Id", "")),
            ("Not-Run", "1"),
            ("Content-Length", str(len(body))),
            *self.make_announcement(),
        ]
        if retry_after_s is not None:
            headers.append(("Retry-After", str(retry_after_s)))
        return Reply(status, [body], headers)

    def make_announcement(self) -> list[tuple[str, str]]:
        """Return the headers of a back end that leaves or names a limit."""
        headers = [("Server-Leaving", "1")] if self.leaving else []
        if self.rate_limit is not None:
            headers.append(("Server-Limit", f"{self.rate_limit:g}"))
        return headers

    def begin_run(self, request: Request) -> Run:
        """Record the start of a run and return it."""
        workspace = request.headers.get("Tenant", "")
        run = Run(self.server_id, time.monotonic(), workspace, self.domain)
        self.ledger.record_run(request.headers["Request-Id"], run)
        self.running += 1
        return run

    def simulate_work(self, run: Run, duration_s: float) -> None:
        """Sleep for a time; raise CrashedError if the back end crashed meanwhile."""
        eventlet.sleep(duration_s)
        self.wait_while_silent()
        if run.server_id != self.server_id:
            run.interrupted = True
            raise CrashedError

    def make_headers(self, request: Request, run: Run) -> list[tuple[str, str]]:
        """Return the headers that identify the request and its run."""
        run.leaving = self.leaving
        run.limited = self.rate_limit is not None
        return [
            ("Request-Id", request.headers["Request-Id"]),
            ("Response-Seal", run.seal),
            *self.make_announcement(),
        ]


class PlainServer(Backend):
    """Answers each request after a fixed delay with a body that identifies the run."""

    def __init__(self, ledger: Ledger, address: tuple[str, int], domain: str) -> None:
        super().__init__(ledger, address, domain)
        self.cold_until = 0.0

    def restart(self) -> None:
        """Start a new incarnation, which is cold."""
        super().restart()
        now = time.monotonic()
        self.cold_until = now + COLD_START_S
        if self.address[1]:  # not at the start of the fleet
            self.ledger.cold_starts.append(
                ColdStart(self.server_id, now, self.cold_until)
            )

    def cold_ms(self) -> int:
        """Return for how many milliseconds the server is still cold."""
        return max(0, round(1000 * (self.cold_until - time.monotonic())))

    def make_announcement(self) -> list[tuple[str, str]]:
        """Return the headers of all answers."""
        return [*super().make_announcement(), ("Cold-Ms", str(self.cold_ms()))]

    def answer(self, request: Request) -> Reply:
        """Run a request, or refuse it."""
        refusal = self.check_admission(request)
        if refusal is not None:
            return refusal
        run = self.begin_run(request)
        run.body = f"{request.headers['Request-Id']} at {run.server_id}".encode()
        try:
            self.simulate_work(run, PLAIN_RUN_S)
        finally:
            self.running -= 1
        headers = self.make_headers(request, run)
        if time.monotonic() < self.unframed_until:
            raise UnframedResponse(Reply("200 OK", [run.body], headers))
        headers.append(("Content-Length", str(len(run.body))))
        return Reply("200 OK", [run.body], headers)
