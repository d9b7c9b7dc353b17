"""
Streams that broke off, and what the next servers answer, checked on the caller's bytes.

Each case is a way in which the first server breaks off, a framing, the answers of the
servers after it, a kind of caller and a kind of route. Whatever they are, the caller
gets one head and then the events in order, each once, and the response ends regularly
only after the last event. Limits on silence are shortened if a server is silent, and it
never goes on.
"""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass, replace
from itertools import product
from random import Random

import h11
import pytest

from primroselever_core.catalogue.model import Configuration, RouteKind
from primroselever_core.dispatch.buffers import BufferLimits
from primroselever_entry.direct import sending
from primroselever_node import clock
from primroselever_node.direct.exchange import receive_bytes

from .conftest import (
    CLOSE,
    HANG,
    LIMITS,
    RESET,
    STREAM_END,
    Entry,
    chunk,
    make_route,
    ok_response,
    request,
)

pytestmark = pytest.mark.usefixtures("long_limits")

EVENT_COUNT = 4
# A multiple of the number of shares; more drawn cases with FUZZ_EXAMPLES=5000.
DRAWN_COUNT = int(os.environ.get("FUZZ_EXAMPLES", "200"))
SHARES = 8
# How long a caller waits for a stream, and for one that a silent server leaves open.
LONG_MS, SHORT_MS = 3000, 100
SILENCE_S = 0.03
TYPE = b"Content-Type: text/event-stream\r\n"
ERROR = b"upstream failed"
ERROR_EVENT = b"event: error\ndata: failed\n\n"
ERROR_HEAD = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 15\r\n\r\n"
FRAMINGS = ("chunks", "length", "neither")
CALLERS = ("kept", "pipelined", "close", "HTTP/1.0")
# Where the first server breaks off, after the whole events that it has sent. A number
# is an offset in the next event.
BREAK_PLACES = ("nothing", "inside the head", "after the head", 1, 6, 12, -2, -1, "end")
BREAK_KINDS = (
    "reset",
    "close",
    "silence",
    "garbage",
    "error head",
    "wrong size",
    "large size",
)


def event(number: int, ids: bool = True, version: int = 3) -> bytes:
    identifier = b"id: %d\n" % number if ids else b""
    return identifier + b"weight-versions: %d\ndata: piece %d\n\n" % (version, number)


def head(status: bytes = b"200 OK", fields: bytes = b"", http: bytes = b"1.1") -> bytes:
    return b"HTTP/%s %s\r\nx-request: r1\r\n%s" % (http, status, fields)


def answer(status: bytes, body: bytes = ERROR, fields: bytes = b"") -> list[bytes]:
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return [head(status, fields) + length + body]


def framed(framing: str, events: list[bytes], fields: bytes = TYPE) -> list[bytes]:
    """Return a complete response of a server."""
    if framing == "chunks":
        start = head(fields=fields + b"Transfer-Encoding: chunked\r\n\r\n")
        return [start, *map(chunk, events), STREAM_END]
    if framing == "length":
        length = b"Content-Length: %d\r\n\r\n" % len(b"".join(events))
        return [head(fields=fields + length), *events]
    return [head(fields=fields + b"\r\n"), *events, CLOSE]


# What a next server makes of a request that resumes after an event.
ERRORS = {
    "500": answer(b"500 Failed"),
    "500, chunks": [
        head(b"500 Failed", b"Transfer-Encoding: chunked\r\n\r\n"),
        chunk(ERROR + b"\n\n") + STREAM_END,
    ],
    "500, unframed": [head(b"500 Failed") + b"\r\n" + ERROR, CLOSE],
    "502": answer(b"502 Bad Gateway"),
    "503": answer(b"503 Unavailable"),
    "503 not run": answer(b"503 Unavailable", fields=b"x-not-run: 1\r\n"),
    "503, event stream": answer(b"503 Unavailable", b"data: full\n\n", TYPE),
    "429": answer(b"429 Many"),
    "429 not run": answer(b"429 Many", fields=b"x-not-run: 1\r\n"),
    "421": answer(b"421 Misdirected"),
    "404": answer(b"404 Unknown"),
    "204": [head(b"204 Nothing") + b"\r\n"],
    "206": answer(b"206 Partial", b"data: a\n\n", TYPE),
    "302": answer(b"302 Found", fields=b"Location: /\r\n"),
    "101": [b"HTTP/1.1 101 Switched\r\n\r\n" + ERROR],
    "JSON": answer(b"200 OK", b'{"error": 1}\n\n', b"Content-Type: text/json\r\n"),
    "JSON, untyped": answer(b"200 OK", b'{"error": 1}\n\n'),
    "error in chunks": framed("chunks", [ERROR + b"\n\n"]),
    "error after a comment": framed("chunks", [b": wait\n\n", ERROR + b"\n\n"]),
    "error event": framed("chunks", [ERROR_EVENT]),
    "empty": answer(b"200 OK", b"", TYPE),
    "empty chunks": framed("chunks", []),
    "empty, unframed": framed("neither", []),
    "comments": framed("chunks", [b": wait\n\n"]),
    "other request": [
        part.replace(b"x-request: r1", b"x-request: r0")
        for part in framed("length", [event(1)])
    ]
    + [HANG],
    "endless head": [head(fields=b"x-a: "), b"x" * 100, b"x" * 100, HANG],
    "large head": [head(fields=b"x-a: " + b"x" * 70_000)],
    "garbage": [b"\x16\x03\x01 no answer\r\n\r\n", CLOSE],
    "nothing": [HANG],
    "close": [CLOSE],
    "reset": [RESET],
}
# A stream of events after the last one; a number is where it begins instead of at the
# next event, None at the first one.
STREAMS = {
    "good": 1,
    "good, length": 1,
    "good, unframed": 1,
    "good, HTTP/1.0": 1,
    "good after 1xx": 1,
    "good, other version": 1,
    "good, retry first": 1,
    "good, byte order mark": 1,
    "first again": None,
    "gap": 2,
    "same again": 0,
    "untyped": 1,
    "breaks off": 1,
}
NEXT_ANSWERS = (*ERRORS, *STREAMS)


@dataclass(frozen=True)
class Case:
    """One case; ``sent`` is how many whole events the first server sends."""

    place: object
    kind: str
    framing: str
    sent: int
    following: tuple[str, ...]
    caller: str = "kept"
    resumable: bool = True
    ids: bool = True

    def events(self, first: int = 1, version: int = 3) -> list[bytes]:
        numbers = range(first, EVENT_COUNT + 1)
        return [event(number, self.ids, version) for number in numbers]


def first_parts(case: Case) -> list[bytes]:
    """Return what the first server sends until it breaks off."""
    events = case.events()
    start = framed(case.framing, events)[0]
    ends = {
        "reset": [RESET],
        "close": [CLOSE],
        "silence": [HANG],
        "garbage": [b"\x00\xff\r\n\r\n" * 3, CLOSE],
        "error head": [ERROR_HEAD + ERROR, CLOSE],
        "wrong size": [b"-1\r\n" + events[-1], CLOSE],
        "large size": [
            b"ff\r\n" + b"".join(events[case.sent :]) + b"\r\n" + STREAM_END,
            CLOSE,
        ],
    }[case.kind]
    if case.place == "nothing":
        return ends
    if case.place == "inside the head":
        return [start[:30], *ends]
    if case.place == "after the head":
        return [start, *ends]
    rest = events[case.sent] if case.sent < EVENT_COUNT else b""
    part = b"" if case.place == "end" else rest[: case.place]
    body = [*events[: case.sent], *([part] if part else [])]
    if case.framing == "chunks":
        body = [chunk(each) for each in body]
    return [start, *body, *ends]


def has_silent_server(case: Case) -> bool:
    """Return whether a server of a case sends nothing more on an open connection."""
    answers = [first_parts(case), *(ERRORS.get(name, ()) for name in case.following)]
    return any(HANG in parts for parts in answers)


def shorten_silence(monkeypatch) -> None:
    monkeypatch.setattr(sending, "MAX_STREAM_SILENCE_S", SILENCE_S)
    monkeypatch.setattr(sending, "MAX_SILENCE_FACTOR", SILENCE_S)


def next_parts(case: Case, name: str, backend):
    """Yield what a next server sends; a stream goes on after the requested event."""
    if name in ERRORS:
        yield from ERRORS[name]
        return
    after = int(backend.header(b"x-after") or 0)
    offset = STREAMS[name] if after else 1
    first = 1 if offset is None else after + offset
    events = case.events(first, 4 if "version" in name else 3)
    if name == "good, retry first":
        events.insert(0, b"retry: 100\n\n")
    if name == "good, byte order mark":
        events.insert(0, b"\xef\xbb\xbf")
    if name == "breaks off":
        yield from [*framed("chunks", events)[:2], RESET]
    elif name == "good, unframed":
        yield from framed("neither", events)
    elif name == "good, HTTP/1.0":
        parts = framed("neither", events)
        yield from [parts[0].replace(b"HTTP/1.1", b"HTTP/1.0"), *parts[1:]]
    elif name == "good, length":
        yield from framed("length", events)
    elif name == "good after 1xx":
        yield b"HTTP/1.1 103 Early\r\nx-request: r0\r\n\r\n"
        yield from framed("chunks", events)
    else:
        yield from framed("chunks", events, b"" if name == "untyped" else TYPE)


def make_entry(case: Case) -> Entry:
    """Return an entry with servers that are tried in the order of the case."""
    entry = Entry()
    configuration = entry.board.catalogue.configuration
    routes = (
        make_route(
            RouteKind.STREAMING,
            "ask",
            objective_s=0.4,
            resumable=case.resumable,
            timeout_s=LONG_MS / 1000,
            max_attempts=1 + len(case.following),
        ),
        make_route(RouteKind.IDEMPOTENT, "read"),
    )
    entry.board.catalogue.configure(
        Configuration(
            2, routes, configuration.services, LIMITS, configuration.workspaces
        ),
        2.0,
    )
    entry.add("plain").responses = [ok_response(b"second", b"r2")]
    entry.add("s0", "engine").responses = [first_parts(case)]
    for number, name in enumerate(case.following, 1):
        backend = entry.add(f"s{number}", "engine")
        backend.responses = [next_parts(case, name, backend)] * 2
        entry.board.backends.backends[backend.name].in_flight = 2 * number
    return entry


def first_request(case: Case, path: str, wait_ms: int) -> bytes:
    fields = ["x-model: m", f"x-left: {wait_ms}"]
    data = request(path, "POST", b"p", fields, close=case.caller == "close")
    if case.caller == "HTTP/1.0":
        data = data.replace(b"HTTP/1.1", b"HTTP/1.0")
    return data


def next_request() -> bytes:
    return request("/read/x").replace(b"x-request: r1", b"x-request: r2")


@dataclass
class Received:
    """What a caller got; ``after`` is what followed the first response."""

    status: int = 0
    fields: tuple = ()
    body: bytes = b""
    complete: bool = False
    reset: bool = False
    after: bytes = b""


def receive(connection) -> bytes | None:
    """Return what arrives, empty bytes at an orderly end and None after a reset."""
    try:
        return receive_bytes(connection, clock.now() + 3.0)
    except TimeoutError:
        raise
    except OSError:
        return None


def read_response(connection, parser: h11.Connection, received: Received) -> None:
    """Read a response until its end, or that of the connection."""
    while not received.complete:
        read = parser.next_event()
        if isinstance(read, h11.Response):
            received.status, received.fields = read.status_code, tuple(read.headers)
        elif isinstance(read, h11.Data):
            received.body += read.data
        elif isinstance(read, h11.EndOfMessage):
            received.complete = True
        elif read is not h11.NEED_DATA:
            return
        elif (data := receive(connection)) is None:
            received.reset = True
            return
        else:
            parser.receive_data(data)


def call(entry: Entry, case: Case, wait_ms: int, path: str = "/ask/x") -> Received:
    """Send a request, and another one if the connection allows it."""
    received = Received()
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
    parser.send(h11.EndOfMessage())
    connection = entry.connect()
    pipelined = next_request() if case.caller == "pipelined" else b""
    connection.sendall(first_request(case, path, wait_ms) + pipelined)
    with suppress(h11.RemoteProtocolError):  # it ended before the last byte or chunk
        read_response(connection, parser, received)
    received.after = parser.trailing_data[0]
    if received.complete and case.caller == "kept":
        connection.sendall(next_request())
    while not received.reset and (data := receive(connection)):
        received.after += data
    connection.close()
    return received


def count_whole_events(case: Case, body: bytes) -> tuple[int, bytes]:
    """Return how many of the right events begin a body, and what follows them."""
    body = body.removeprefix(b"\xef\xbb\xbf")
    body = body.replace(b"retry: 100\n\n", b"").replace(b": wait\n\n", b"")
    for number in range(EVENT_COUNT):
        for version in (3, 4):
            expected = event(number + 1, case.ids, version)
            if body.startswith(expected):
                body = body.removeprefix(expected)
                break
        else:
            return number, body
    return EVENT_COUNT, body


def check(case: Case, *, completes: bool = False) -> Received:
    """Make a case and check what the caller got, all of it if it ``completes``."""
    is_silent = has_silent_server(case)
    wait_ms = SHORT_MS if is_silent and not completes else LONG_MS
    entry = make_entry(case)
    with pytest.MonkeyPatch.context() as monkeypatch:
        if is_silent:
            shorten_silence(monkeypatch)
        try:
            received = call(entry, case, wait_ms)
        finally:
            entry.close()
    streamed = received.status == 200
    assert not completes or (streamed and received.complete)
    if streamed and is_other_answer(case, received):
        assert received.complete
    elif streamed:
        count, rest = count_whole_events(case, received.body)
        assert not received.complete or count == EVENT_COUNT
        if rest:
            # Only a stream that is not resumed is forwarded byte by byte.
            assert not case.resumable
            assert not received.complete
            assert event(count + 1, case.ids).startswith(rest)
        if case.sent:
            assert (b"content-type", b"text/event-stream") in received.fields
    elif received.status:
        assert b"data: piece" not in received.body
        assert received.complete
    if received.complete and case.caller in ("kept", "pipelined"):
        assert received.after.startswith(b"HTTP/1.1 200")
        assert received.after.endswith(b"\r\n\r\nsecond")
    else:
        assert received.after == b""
    if case.caller == "HTTP/1.0" and streamed:
        assert received.complete is not received.reset
    return received


def is_other_answer(case: Case, received: Received) -> bool:
    """Return whether no server had begun the stream, and one answered otherwise."""
    other_bodies = {
        "empty": [b""],
        "empty chunks": [b""],
        "comments": [b"", b": wait\n\n"],  # dropped while a server is silent
        "error event": [ERROR_EVENT],
    }
    return case.sent == 0 and any(
        received.body in other_bodies.get(name, ()) for name in case.following
    )


def is_possible(case: Case) -> bool:
    """Return whether the end of the first response can be told from its real end."""
    if isinstance(case.place, int):
        if case.place >= len(event(1, case.ids)) or case.sent == EVENT_COUNT:
            return False
    elif case.place != "end" and case.sent:
        return False
    if case.kind in ("garbage", "error head") and case.framing != "chunks":
        # Behind the beginning of an event, these bytes are part of its last line. A
        # stream that is not resumed is forwarded before its lines are complete.
        return case.resumable and isinstance(case.place, str)
    if case.kind == "wrong size":
        return case.framing == "chunks"
    if case.kind == "large size":
        # Elsewhere, the size would be a line of the event.
        return case.framing == "chunks" and case.place in ("after the head", "end")
    if case.place != "end" or not case.sent:
        return True
    if case.framing == "neither":
        return case.kind != "close"
    return case.framing == "chunks" or case.sent < EVENT_COUNT


# Guards against the answer of the next server, whatever it is, in the middle of a
# stream, and against its end as the end of the stream.
@pytest.mark.parametrize("caller", ["kept", "HTTP/1.0"])
@pytest.mark.parametrize("name", NEXT_ANSWERS)
def test_answer_of_the_next_server_is_no_part_of_a_stream(name, caller):
    for place, following in (("end", ("good",)), (6, (name,)), ("end", ())):
        case = Case(place, "reset", "chunks", 2, (name, *following), caller)
        completes = following == ("good",) or name.startswith("good")
        check(case, completes=completes)


# Guards against a stream that is joined wrongly because of where its server broke off.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", BREAK_KINDS)
@pytest.mark.parametrize("place", BREAK_PLACES)
def test_stream_is_resumed_wherever_it_broke_off(place, kind, framing):
    for sent in (0, EVENT_COUNT - 1):
        case = Case(place, kind, framing, sent, ("500", "good"))
        if is_possible(case):
            check(case, completes=True)


# Guards against a byte of an event at which a break would be taken for a border.
@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_is_resumed_at_each_byte_of_an_event(framing):
    for offset in range(1, len(event(2))):
        kind = ("reset", "close")[offset % 2]
        case = Case(offset, kind, framing, 1, ("404", "good"))
        check(case, completes=True)


# Guards against a stream without identifiers, or of a route that does not allow it,
# that is sent again behind events, and against its cut that looks complete.
@pytest.mark.parametrize("caller", CALLERS)
@pytest.mark.parametrize(("resumable", "ids"), [(False, True), (True, False)])
@pytest.mark.parametrize("kind", ["reset", "close", "silence"])
def test_stream_that_cannot_be_resumed_is_cut_off(caller, resumable, ids, kind):
    for place, name in product(("end", 6), ("good", "500")):
        case = Case(place, kind, "chunks", 2, (name,), caller, resumable, ids)
        assert not check(case).complete


def draw_case(random: Random) -> Case:
    while True:
        place = random.choice((*BREAK_PLACES, random.randrange(1, len(event(1)))))
        case = Case(
            place,
            random.choice(BREAK_KINDS),
            random.choice(FRAMINGS),
            random.randrange(EVENT_COUNT + 1),
            tuple(random.choices(NEXT_ANSWERS, k=random.choice((1, 2, 3)))),
            random.choice(CALLERS),
            random.random() < 0.8,
            random.random() < 0.8,
        )
        if is_possible(case):
            return case


# Guards against the combinations that nobody named.
@pytest.mark.parametrize("share", range(SHARES))
def test_drawn_streams_have_each_event_once_in_order(share):
    for number in range(share, DRAWN_COUNT, SHARES):
        check(draw_case(Random(number)))


PLAIN_BODY = b"a plain answer"
PLAIN_NEXT = {
    "good": (200, answer(b"200 OK", b"another whole answer")),
    "500": (500, ERRORS["500"]),
    "404": (404, ERRORS["404"]),
    "503": (502, ERRORS["503"]),
    "503 not run": (502, ERRORS["503 not run"]),
    "garbage": (502, ERRORS["garbage"]),
    "reset": (502, ERRORS["reset"]),
}


# Guards against the retry's answer behind a part of a plain answer that broke off, and
# against such a part that looks complete.
@pytest.mark.usefixtures("long_silence")
@pytest.mark.parametrize("caller", CALLERS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("name", PLAIN_NEXT)
@pytest.mark.parametrize("kept_bytes", [0, 100])
def test_plain_answer_that_broke_off_is_not_joined(name, framing, caller, kept_bytes):
    expected_status, next_answer = PLAIN_NEXT[name]
    response = b"".join(framed(framing, [PLAIN_BODY], b""))
    body_start = response.index(PLAIN_BODY)
    for size in (0, len(PLAIN_BODY) - 1):
        part = response[: body_start + size]
        entry = Entry()
        entry.flow.limits = replace(
            entry.flow.limits, buffers=BufferLimits(answer_bytes=kept_bytes)
        )
        # It gets the next request if it is no longer ejected.
        entry.add("a").responses = [[part, RESET], ok_response(b"second", b"r2")]
        entry.add("b").responses = [next_answer, ok_response(b"second", b"r2")]
        entry.board.backends.backends["b"].in_flight = 7
        case = Case("end", "reset", framing, 0, (), caller)
        try:
            received = call(entry, case, LONG_MS, "/read/y")
        finally:
            entry.close()
        if kept_bytes or not size:
            whole = next_answer[0].partition(b"\r\n\r\n")[2]
            assert received.status == expected_status
            assert received.complete
            assert received.body == whole or expected_status == 502
        else:
            assert received.status == 200
            assert received.body == PLAIN_BODY[:size]
            assert not received.complete
            assert received.after == b""
