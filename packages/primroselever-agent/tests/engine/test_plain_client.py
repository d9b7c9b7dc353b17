from __future__ import annotations

import socket
import struct

import eventlet
import pytest

from primroselever_agent.engine.plain_client import PlainClient
from primroselever_agent.exceptions import BackendError
from primroselever_core.outcomes import Reason

from .test_engine_client import RUN

UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


class PlainService:
    """A plain service that sends half an answer without a length, then ends it."""

    def __init__(
        self, *, reset: bool, request_bytes: int = 65536, floods: bool = False
    ) -> None:
        self.reset = reset
        self.floods = floods
        self.sent_bytes = 0
        self.request_bytes = request_bytes
        self.socket = eventlet.listen(("127.0.0.1", 0))
        eventlet.spawn(self.serve)

    def serve(self) -> None:
        connection, _address = self.socket.accept()
        connection.recv(self.request_bytes)
        connection.sendall(UNFRAMED_HEAD + b"half")
        while self.floods:
            try:
                connection.sendall(b"x" * 65536)
                self.sent_bytes += 65536
            except OSError:
                self.floods = False
        eventlet.sleep(0.02)
        if self.reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()

    @property
    def url(self) -> str:
        return "http://{}:{}".format(*self.socket.getsockname())


# Guards against half an answer that is passed on as a whole one: green sockets return
# no bytes after a reset, as at an orderly end.
def test_answer_without_length_that_is_reset_is_a_failure():
    service = PlainService(reset=True)
    with pytest.raises(BackendError):
        list(PlainClient(service.url).run(RUN, b"", 0))


# Guards against the same if the write of the request met the reset.
def test_answer_that_is_reset_while_its_request_is_written_is_a_failure():
    service = PlainService(reset=True, request_bytes=100)
    with pytest.raises(BackendError):
        list(PlainClient(service.url).run(RUN, bytes(20_000_000), 0))


def test_answer_without_length_is_complete_at_an_orderly_end():
    service = PlainService(reset=False)
    assert list(PlainClient(service.url).run(RUN, b"", 0)) == [b"half"]


# Guards against an answer without end that is kept in memory until its time is up.
def test_answer_that_exceeds_the_limit_of_answers_is_a_failure():
    service = PlainService(reset=False, floods=True)
    with eventlet.Timeout(3), pytest.raises(BackendError) as exc_info:
        list(PlainClient(service.url).run(RUN, b"", 0))
    assert exc_info.value.reason is Reason.ANSWER_DAMAGED
    assert not exc_info.value.never_ran
    eventlet.sleep(0.05)
    assert not service.floods
