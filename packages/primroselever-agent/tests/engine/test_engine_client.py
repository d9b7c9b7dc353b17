from __future__ import annotations

import gc
from typing import TYPE_CHECKING, Any

import eventlet
import pytest

from primroselever_agent.engine.engine_client import (
    MAX_RECORD_BYTES,
    MAX_STATE_BYTES,
    EngineClient,
)
from primroselever_agent.exceptions import (
    BackendError,
    EngineCallError,
    UnansweredCallError,
)
from primroselever_core.identifiers import (
    Fingerprint,
    RunId,
    ServiceName,
    WorkspaceName,
)
from primroselever_core.outcomes import Reason
from primroselever_core.runs.answer_buffer import AnswerBuffer
from primroselever_core.runs.registry import Run
from primroselever_node.http import HttpServer
from primroselever_node.listen import listen

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from primroselever_node.http import StartResponse

RUN = Run(
    run_id=RunId("r1"),
    service=ServiceName("summaries"),
    workspace=WorkspaceName("ministry"),
    fingerprint=Fingerprint("f1"),
    idempotent=True,
    deadline=0.0,
    answer=AnswerBuffer(100),
    weights_digest="v1",
)


class FakeEngine:
    """A fake engine that answers each call with the same status and body."""

    status = "200 OK"
    body = b""

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        start_response(self.status, [("Content-Length", str(len(self.body)))])
        return [self.body]


class FakeReply:
    """A reply whose body is already received."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    def stream(self, _size: int) -> Iterator[bytes]:
        yield self.body


@pytest.fixture
def engine() -> FakeEngine:
    return FakeEngine()


@pytest.fixture
def client(engine: FakeEngine) -> Iterator[EngineClient]:
    server = HttpServer(engine, "127.0.0.1", 0)
    server.start()
    yield EngineClient(f"http://{server.host}:{server.port}")
    server.stop()


@pytest.mark.parametrize(
    "line",
    [b"<html>", b"[1]", b"7", b'{"end": ', b'{"end": 7}', b'{"start": "v1"}'],
)
def test_a_line_that_is_no_record_ends_the_run_as_failed(
    client: EngineClient, line: bytes
) -> None:
    with pytest.raises(BackendError) as exc_info:
        list(client.read_records(RUN, FakeReply(line + b"\n")))
    assert exc_info.value.reason is Reason.ENGINE_FAILED


@pytest.mark.parametrize(
    ("status", "reason", "never_ran"),
    [
        ("503 Service Unavailable", Reason.NO_WEIGHTS, True),
        ("500 Internal Server Error", Reason.ENGINE_REFUSED, False),
        ("504 Gateway Timeout", Reason.ENGINE_REFUSED, False),
    ],
)
def test_only_status_503_proves_that_nothing_ran(
    engine: FakeEngine,
    client: EngineClient,
    status: str,
    reason: Reason,
    never_ran: bool,
) -> None:
    engine.status = status

    with pytest.raises(BackendError) as exc_info:
        list(client.run(RUN, b"tender 12", 5))

    assert (exc_info.value.reason, exc_info.value.never_ran) == (reason, never_ran)


def test_a_run_whose_answer_breaks_off_may_have_run(
    engine: FakeEngine, client: EngineClient
) -> None:
    engine.body = b'{"start": {"digest": "v1"}}\n{"text": "half"}\n'

    with pytest.raises(BackendError) as exc_info:
        list(client.run(RUN, b"tender 12", 5))

    assert (exc_info.value.reason, exc_info.value.never_ran) == (
        Reason.ENGINE_FAILED,
        False,
    )


@pytest.mark.parametrize(
    "body",
    [
        b"not yet",
        b"[1, 2]",
        b"7",
        b'{"fencing": "seven"}',
        b'{"in_flight": [1]}',
        b'{"fencing": Infinity}',
    ],
)
def test_a_state_that_cannot_be_read_raises_engine_call_error(
    engine: FakeEngine, client: EngineClient, body: bytes
) -> None:
    engine.body = body
    with pytest.raises(EngineCallError):
        client.state()


def test_a_run_that_cannot_be_cancelled_is_logged(
    client: EngineClient, caplog: pytest.LogCaptureFixture
) -> None:
    """The engine may go on with it, and has a slot less meanwhile."""
    unused = listen("127.0.0.1", 0)
    client.url = f"http://127.0.0.1:{unused.getsockname()[1]}"
    unused.close()

    client.cancel(RUN)

    assert "r1" in caplog.text


# Guards against a record or a reply without end that is kept in memory.
def test_records_and_replies_of_an_engine_are_bounded(
    engine: FakeEngine, client: EngineClient
) -> None:
    with pytest.raises(BackendError) as exc_info:
        list(client.read_records(RUN, FakeReply(b"x" * (MAX_RECORD_BYTES + 1))))
    assert exc_info.value.reason is Reason.ANSWER_DAMAGED
    engine.body = b" " * (MAX_STATE_BYTES + 1)
    with pytest.raises(EngineCallError, match="more than"):
        client.state()


# Guards against clients that cannot call twice: a green socket that is collected closes
# the descriptor, also that of a connection in the pool that shares it.
def test_kept_connection_serves_several_calls(
    engine: FakeEngine, client: EngineClient
) -> None:
    engine.body = b"{}"
    for _ in range(3):
        client.state()
        gc.collect()
    (pool,) = client.http.pools._container.values()
    assert pool.num_connections == 1


# Guards against an engine that serves although it may still accept an order.
@pytest.mark.parametrize(
    ("status", "unanswered"),
    [
        ("409 Conflict", False),
        ("422 Unprocessable", False),
        ("500 Internal Server Error", True),
        ("504 Gateway Timeout", True),
    ],
)
def test_an_error_status_says_whether_the_engine_acted_on_a_call(
    engine: FakeEngine, client: EngineClient, status: str, unanswered: bool
) -> None:
    engine.status = status
    with pytest.raises(EngineCallError) as caught:
        client.put_chunk("d", 0, b"x")
    assert isinstance(caught.value, UnansweredCallError) is unanswered


def test_a_call_that_reached_no_engine_is_not_unanswered() -> None:
    listener = listen("127.0.0.1", 0)
    port = listener.getsockname()[1]
    listener.close()
    with pytest.raises(EngineCallError) as caught:
        EngineClient(f"http://127.0.0.1:{port}").state()
    assert not isinstance(caught.value, UnansweredCallError)


def test_a_call_whose_connection_ends_is_unanswered() -> None:
    listener = listen("127.0.0.1", 0)

    def close_connections() -> None:
        while True:
            connection, _address = listener.accept()
            connection.recv(100)
            connection.close()

    server = eventlet.spawn(close_connections)
    port = listener.getsockname()[1]
    with pytest.raises(UnansweredCallError):
        EngineClient(f"http://127.0.0.1:{port}").state()
    server.kill()
    listener.close()
