"""The ends of responses, without a network: each row of the table of the decision."""

from __future__ import annotations

import os
from dataclasses import dataclass

import pytest
from hypothesis import given, settings, strategies

from primroselever_node.direct import responses
from primroselever_node.direct.responses import (
    AnswerTooLargeError,
    BrokenExchangeError,
    ConnectionEnd,
    Framing,
    MalformedAnswerError,
    ResponseEnd,
    ResponseReader,
)

OK = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nrequest-id: r0\r\n"
FUZZ_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "300"))


def start(method: bytes = b"GET") -> ResponseReader:
    reader = ResponseReader()
    reader.start_request(method, b"/", [(b"Host", b"h")], b"")
    return reader


def read(reader: ResponseReader):
    """Return the head, the body so far, and the end or None."""
    head = reader.head or reader.next_head(b"r1", b"request-id")
    body = b""
    while head is not None and (part := reader.next_part()) is not None:
        if isinstance(part, ResponseEnd):
            return head, body, part
        body += part
    return head, body, None


@pytest.mark.parametrize(
    ("method", "data", "framing"),
    [
        (b"HEAD", OK + b"Content-Length: 5\r\n\r\n", Framing.NO_BODY),
        (b"GET", OK.replace(b"200", b"204") + b"\r\n", Framing.NO_BODY),
        (
            b"GET",
            OK.replace(b"200", b"304") + b"Content-Length: 5\r\n\r\n",
            Framing.NO_BODY,
        ),
        (b"GET", OK + b"Content-Length: 4\r\n\r\nbody", Framing.LENGTH),
        (
            b"GET",
            OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            Framing.CHUNKS,
        ),
        (
            b"GET",
            OK
            + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"4\r\nbody\r\n0\r\n\r\n",
            Framing.CHUNKS,
        ),
    ],
)
def test_framing_completes_a_response(method, data, framing):
    reader = start(method)
    reader.receive_data(data)
    head, body, end = read(reader)
    assert (head.framing, end) == (framing, ResponseEnd.FRAMED)
    assert body == (b"" if framing is Framing.NO_BODY else b"body")
    assert reader.prepare_for_reuse()


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_server_that_closes_completes_a_response_without_length(version):
    reader = start()
    reader.receive_data(OK.replace(b"1.1", version) + b"\r\nbody")
    assert read(reader)[1:] == (b"body", None)
    reader.receive_end()
    head, _body, end = read(reader)
    assert (head.framing, end) == (Framing.CONNECTION, ResponseEnd.CLOSED)
    assert not reader.prepare_for_reuse()


# Guards against a reset or an own shutdown that completes a response, since a read
# cannot tell it from an orderly end.
@pytest.mark.parametrize("end", [ConnectionEnd.RESET, ConnectionEnd.SHUT_DOWN])
@pytest.mark.parametrize("data", [b"", OK, OK + b"\r\n", OK + b"\r\nbody"])
def test_other_ends_of_the_connection_complete_nothing(end, data):
    reader = start()
    if data:
        reader.receive_data(data)
    read(reader)
    reader.record_end(end)
    with pytest.raises(BrokenExchangeError, match=end):
        reader.receive_end()


def test_first_end_that_is_seen_holds():
    reader = start()
    reader.record_end(ConnectionEnd.RESET)
    reader.record_end(ConnectionEnd.CLOSED)
    assert reader.connection_end is ConnectionEnd.RESET


@pytest.mark.parametrize(
    "data",
    [
        OK[:-3],
        OK + b"Content-Length: 5\r\n\r\nbody",
        OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nbody",
        OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
    ],
)
def test_server_that_closes_before_the_framing_ends_breaks_off(data):
    reader = start()
    reader.receive_data(data)
    read(reader)
    with pytest.raises(BrokenExchangeError):
        reader.receive_end()
        read(reader)


@pytest.mark.parametrize("data", [b"no response\r\n\r\n", b"\x00" * 70_000])
def test_bytes_that_are_no_response_raise_an_error(data):
    reader = start()
    with pytest.raises(MalformedAnswerError):
        reader.receive_data(data)
        read(reader)


def test_head_and_informational_responses_are_bounded():
    reader = start()
    with pytest.raises(MalformedAnswerError):
        reader.receive_data(OK + b"x-long: " + b"x" * responses.MAX_HEAD_BYTES)
        read(reader)
    informational = b"HTTP/1.1 103 Early\r\n\r\n"
    reader = start()
    reader.receive_data(informational * responses.MAX_INFORMATIONAL_RESPONSES)
    reader.receive_data(OK + b"Content-Length: 0\r\n\r\n")
    assert read(reader)[2] is ResponseEnd.FRAMED
    reader = start()
    reader.receive_data(informational * (responses.MAX_INFORMATIONAL_RESPONSES + 1))
    with pytest.raises(MalformedAnswerError):
        read(reader)


def test_responses_to_other_requests_are_skipped_twice():
    foreign = FOREIGN + b"Content-Length: 2\r\n\r\nno"
    own = OK + b"Content-Length: 2\r\n\r\nok"
    reader = start()
    reader.receive_data(foreign * 2 + own)
    assert read(reader)[1:] == (b"ok", ResponseEnd.FRAMED)
    assert not reader.prepare_for_reuse()
    reader = start()
    reader.receive_data(foreign * 3 + own)
    with pytest.raises(MalformedAnswerError):
        read(reader)


@pytest.mark.parametrize(
    ("framing", "error"),
    [
        (b"", MalformedAnswerError),
        (
            b"Content-Length: %d\r\n" % (2 * responses.MAX_FOREIGN_BYTES),
            AnswerTooLargeError,
        ),
    ],
)
def test_response_to_another_request_without_end_is_not_read_on(framing, error):
    reader = start()
    reader.receive_data(FOREIGN + framing + b"\r\n")
    with pytest.raises(error):
        for _ in range(100):
            reader.receive_data(bytes(65536))
            read(reader)


def test_bytes_after_a_response_prevent_reuse():
    reader = start()
    reader.receive_data(OK + b"Content-Length: 2\r\n\r\nok" + b"x")
    assert read(reader)[1:] == (b"ok", ResponseEnd.FRAMED)
    assert not reader.prepare_for_reuse()


@dataclass(frozen=True, slots=True)
class Drawn:
    """
    A drawn response, of which ``sent`` bytes are sent and then ``end`` takes place.

    ``end`` None means that the connection stays open. Without length or chunks, all
    that was sent of the body is the body, since nothing else marks its end.
    """

    framing: Framing
    body: bytes
    data: bytes
    sent: int
    extra: bytes
    end: ConnectionEnd | None

    @property
    def is_complete(self) -> bool:
        if self.framing is Framing.CONNECTION:
            head_sent = self.sent >= len(self.data) - len(self.body)
            return head_sent and self.end is ConnectionEnd.CLOSED
        return self.sent == len(self.data)

    @property
    def sent_body(self) -> bytes:
        if self.framing is Framing.CONNECTION:
            return self.body[: len(self.body) - (len(self.data) - self.sent)]
        return self.body


@strategies.composite
def drawn_responses(draw) -> Drawn:
    framing = draw(strategies.sampled_from(list(Framing)[1:]))
    parts = draw(strategies.lists(strategies.binary(min_size=1, max_size=12)))
    body = b"".join(parts)
    foreign = FOREIGN + b"Content-Length: 3\r\n\r\nnot"
    data = foreign * draw(strategies.integers(0, 2))
    data += b"HTTP/1.1 103 Early\r\n\r\n" * draw(strategies.integers(0, 2))
    if framing is Framing.LENGTH:
        data += OK + b"Content-Length: %d\r\n\r\n" % len(body) + body
    elif framing is Framing.CHUNKS:
        data += OK + b"Transfer-Encoding: chunked\r\n\r\n"
        data += b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        data += b"0\r\n\r\n"
    else:
        data += OK + b"\r\n" + body
    cut = draw(strategies.booleans())
    sent = draw(strategies.integers(0, len(data))) if cut else len(data)
    extra = b""
    if sent == len(data) and framing is not Framing.CONNECTION:
        extra = draw(strategies.sampled_from([b"", b"x", foreign]))
    ends = [None, ConnectionEnd.CLOSED, ConnectionEnd.RESET, ConnectionEnd.SHUT_DOWN]
    return Drawn(framing, body, data, sent, extra, draw(strategies.sampled_from(ends)))


@given(drawn_responses(), strategies.lists(strategies.integers(0, 400), max_size=8))
@settings(max_examples=FUZZ_EXAMPLES, derandomize=True, deadline=None)
def test_response_is_complete_exactly_if_its_server_completed_it(drawn, cuts):
    wire = drawn.data[: drawn.sent] + drawn.extra
    reader = start()
    body, end, broken = b"", None, False
    edges = [0, *sorted(min(cut, len(wire)) for cut in cuts), len(wire)]
    try:
        for first, last in zip(edges, edges[1:], strict=False):
            if first < last:
                reader.receive_data(wire[first:last])
            if end is None:
                _head, part, end = read(reader)
                body += part
        if drawn.end is not None and end is None:
            reader.record_end(drawn.end)
            reader.receive_end()
            _head, part, end = read(reader)
            body += part
    except BrokenExchangeError:
        broken = True
    assert drawn.body.startswith(body)
    assert (end is not None) == drawn.is_complete
    if drawn.is_complete:
        assert body == drawn.sent_body
        is_clean = not drawn.extra and drawn.framing is not Framing.CONNECTION
        is_clean = is_clean and not drawn.data.startswith(FOREIGN)
        assert reader.prepare_for_reuse() == is_clean
    else:
        assert broken == (drawn.end is not None)
