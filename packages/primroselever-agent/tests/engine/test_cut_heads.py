"""Answers of an engine or of a plain service that end inside their head."""

from __future__ import annotations

import eventlet
import pytest

from primroselever_agent.engine.engine_client import EngineClient
from primroselever_agent.engine.plain_client import PlainClient
from primroselever_agent.exceptions import BackendError, UnansweredCallError
from primroselever_core.identifiers import WeightsDigest

from .test_engine_client import RUN

HEAD = b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\n"


class CuttingServer:
    """A server that sends some bytes as its answer, and closes the connection."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.socket = eventlet.listen(("127.0.0.1", 0))
        self.url = "http://{}:{}".format(*self.socket.getsockname())
        eventlet.spawn(self.serve)

    def serve(self) -> None:
        connection, _address = self.socket.accept()
        self.socket.close()
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65536)
        connection.sendall(self.answer)
        connection.close()


# Guards against a caller that gets an empty answer as a whole one, because its plain
# service ended the connection inside the head.
def test_a_plain_answer_whose_head_is_cut_is_a_failure_that_may_have_run():
    for size in range(len(HEAD)):
        service = CuttingServer(HEAD[:size])
        with pytest.raises(BackendError) as exc_info:
            list(PlainClient(service.url).run(RUN, b"", 0))
        assert not exc_info.value.never_ran


# Guards against an engine that seems to hold no weights, and a piece or an order that
# seems to be taken: an empty answer of an engine is one without fields.
@pytest.mark.parametrize(
    "call",
    [
        lambda client: client.state(),
        lambda client: client.put_chunk(WeightsDigest("d"), 0, b""),
    ],
    ids=["state", "chunk"],
)
def test_a_call_whose_answer_is_cut_in_its_head_is_unanswered(call):
    for size in range(len(HEAD)):
        engine = CuttingServer(HEAD[:size])
        with pytest.raises(UnansweredCallError):
            call(EngineClient(engine.url))
