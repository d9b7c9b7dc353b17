"""
Drawn sequences of requests to a server that writes its refusals once more.

Copies come before, with or behind the answer, or while the connection is idle, on the
same connection or another one, and are split at any byte. They have the identifier of
the refused request, which a caller may use again, or none.
"""

from __future__ import annotations

import re
from dataclasses import replace
from itertools import count
from random import Random

import eventlet
import h11
import pytest

from primroselever_core.catalogue.model import RouteKind

from .conftest import STREAM_END, Backend, chunk, make_route, read_all, request

SEEDS = range(40)
REQUESTS = 6
PROMISES = (408, 421, 429, 503)
KINDS = ("read", "order", "ask", "tell")
STREAMS = ("ask", "tell")  # of these, only the first one may be resumed
REPEATABLE = ("read", "ask")
REALITIES = ("refused", "refused", "done", "done", "failed", "reset", "silent", "begun")

pytestmark = pytest.mark.usefixtures("short_silence")


class FaultyServer(Backend):
    """
    A server that answers as drawn, or always in order if it is ``sound``.

    ``runs`` holds the numbers of the requests that it ran, ``refused`` the refusals
    that it wrote, and ``answered`` counts its answers that did not break off.
    """

    numbers = count(1)

    def __init__(self, name: str, service: str, draw: Random, names: bool) -> None:
        super().__init__(name, service)
        self.draw = draw
        self.names = names
        self.sound = True
        self.copies_unnamed = False
        self.runs: list[int] = []
        self.refused: list[bytes] = []
        self.answered = 0

    def serve(self, connection) -> None:
        refused_here: list[bytes] = []
        data = b""
        try:
            while received := connection.recv(65536):
                data += received
                if b"\r\n\r\n" not in data:
                    continue
                self.requests.append(data)
                data = b""
                self.answer(connection, refused_here)
        except OSError:
            pass  # the entry closed the connection
        connection.close()

    def answer(self, connection, refused_here: list[bytes]) -> None:
        """Run or refuse a request, and write its answer among copies."""
        request_id = self.header(b"x-request") or b""
        reality = "done" if self.sound else self.draw.choice(REALITIES)
        front, behind, late = b"", b"", b""
        if not self.sound:
            front = self.draw_copies(refused_here)
        if reality == "refused":
            answer = self.make_refusal(request_id)
            self.refused.append(answer)
            refused_here.append(answer)
        else:
            run = next(self.numbers)
            self.runs.append(run)
            answer = self.make_answer(reality, request_id, run)
        if not self.sound and reality in ("refused", "done", "failed"):
            behind = self.draw_copies(refused_here)
            late = self.draw_copies(refused_here)
        self.write(connection, front + answer + behind)
        if reality in ("reset", "begun"):
            raise OSError
        if reality == "silent":
            connection.recv(1)
            raise OSError
        self.answered += 1
        if late:
            eventlet.sleep(0.001)
            connection.sendall(late)
        if b"Connection: close" in answer and self.draw.random() < 0.5:
            raise OSError

    def draw_copies(self, refused_here: list[bytes]) -> bytes:
        """Return copies of refusals, mostly none."""
        # Without an identifier, a copy on another connection cannot be told.
        refused = (self.refused if self.names else refused_here)[-3:]
        if not refused or self.draw.random() < 0.4:
            return b""
        copies = self.draw.choices(refused, k=self.draw.choice((1, 1, 2, 3)))
        if self.copies_unnamed and self.draw.random() < 0.3:
            copies = [strip_identifier(each) for each in copies]
        return b"".join(copies)

    def make_refusal(self, request_id: bytes) -> bytes:
        status = self.draw.choice(PROMISES)
        body = self.draw.choice((b"", b"full"))
        head = b"HTTP/1.1 %d No\r\nx-request: %s\r\n" % (status, request_id)
        if self.draw.random() < 0.7:
            head += b"x-not-run: 1\r\n"
        if self.draw.random() < 0.2:
            head += b"Connection: close\r\n"
        refusal = head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        return refusal if self.names else strip_identifier(refusal)

    def make_answer(self, reality: str, request_id: bytes, run: int) -> bytes:
        status = 500 if reality == "failed" else 200
        head = b"HTTP/1.1 %d X\r\nx-request: %s\r\n" % (status, request_id)
        if not self.names:
            head = strip_identifier(head)
        if reality in ("reset", "silent"):
            return b""
        body = b"run %d." % run
        if self.service == "plain" or reality == "failed":
            length = len(body) + (reality == "begun")
            return head + b"Content-Length: %d\r\n\r\n%s" % (length, body)
        stream = head + b"Transfer-Encoding: chunked\r\n\r\n"
        stream += chunk(b"id: 1\ndata: %s\n\n" % body)
        if reality == "done":
            stream += chunk(b"id: 2\ndata: %s\n\n" % body) + STREAM_END
        return stream

    def write(self, connection, data: bytes) -> None:
        """Write bytes in up to three segments."""
        cuts = sorted(self.draw.choices(range(len(data) + 1), k=self.draw.randrange(3)))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            if start < end:
                connection.sendall(data[start:end])
                eventlet.sleep(self.draw.choice((0, 0.001)))


def strip_identifier(response: bytes) -> bytes:
    """Return a response without the identifier of its request."""
    lines = response.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.startswith(b"x-request:"))


def configure(entry) -> None:
    """Add a route for streams that may not be resumed, and allow two attempts."""
    catalogue = entry.board.catalogue
    tell = make_route(RouteKind.STREAMING, "tell", objective_s=0.4, resumable=False)
    routes = (*catalogue.configuration.routes, tell)
    routes = tuple(replace(each, max_attempts=2, timeout_s=5.0) for each in routes)
    configuration = replace(catalogue.configuration, revision=2, routes=routes)
    catalogue.configure(configuration, 1.0)


def send(entry, kind: str, number: int, request_id: bytes) -> bytes:
    """Return the response to a request."""
    for backend in entry.board.backends.backends.values():
        # After a failure or a refusal it would get no request for some time.
        backend.marked_full_until = backend.mismatched_until = 0.0
        backend.ejected_until = 0.0
        backend.outcomes.clear()
    method = "GET" if kind == "read" else "POST"
    # Some servers never answer. Only where another one can, is there a need to wait.
    waits = kind in REPEATABLE and len(entry.backends) > 1
    headers = ["x-left: 5000" if waits else "x-left: 80"]
    data = request(
        f"/{kind}/{number}", method, b"" if kind == "read" else b"p", headers
    ).replace(b"x-request: r1", b"x-request: " + request_id)
    if kind in STREAMS:
        data = data.replace(b"x-key", b"x-model: m\r\nx-key")
    connection = entry.connect()
    connection.sendall(data)
    return read_all(connection)


def read_body(response: bytes) -> bytes:
    """Return the body of a response, as far as it came."""
    reader = h11.Connection(h11.CLIENT)
    reader.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    reader.send(h11.EndOfMessage())
    reader.receive_data(response)
    body = b""
    while not isinstance(event := reader.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            break
        if isinstance(event, h11.Data):
            body += event.data
    return body


def make_servers(entry, kind: str, draw: Random) -> list[FaultyServer]:
    """Add a faulty server, which may be known already, and maybe a sound one."""
    service = "engine" if kind in STREAMS else "plain"
    names = draw.random() < 0.8
    servers = [
        FaultyServer(name, service, draw, names) for name in draw.choice(("a", "ab"))
    ]
    entry.backends.extend(servers)
    entry.apply_listing()
    if draw.random() < 0.7:
        for number in range(100, 120):
            if not servers[0].answered:
                send(entry, kind, number, b"w%d" % number)
    servers[0].copies_unnamed = names and servers[0].answered > 0
    servers[0].sound = False
    return servers


# Guards against callers that are told that a request has not run although a server ran
# it, that get the answer of another request, or none although some server can answer,
# and against a request that must not run twice and does.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("seed", SEEDS)
def test_repeated_refusals_mislead_no_caller(entry, kind, seed):
    draw = Random(f"{kind} {seed}")
    configure(entry)
    servers = make_servers(entry, kind, draw)
    request_id = b"r1"
    for number in range(REQUESTS):
        known = {run for server in servers for run in server.runs}
        response = send(entry, kind, number, request_id)
        status = int(response[9:12])
        runs = {run for server in servers for run in server.runs} - known
        told = set(map(int, re.findall(rb"run (\d+)\.", read_body(response))))
        assert told <= runs
        assert not (status in PROMISES and runs)
        if kind in REPEATABLE:
            assert status == 200 or len(servers) == 1
        else:
            assert len(runs) <= 1
        if status == 200 and not told:
            assert kind == "tell"  # broken off before its first event
        if draw.random() < 0.2 or not (status in PROMISES or kind in REPEATABLE):
            request_id = b"r%d" % (number + 2)
