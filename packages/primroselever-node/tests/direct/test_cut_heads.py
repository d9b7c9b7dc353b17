"""Short calls whose server ends the connection inside the head of its answer."""

from __future__ import annotations

import socket
import struct

import eventlet
import pytest

from primroselever_node.direct.calls import HttpCaller
from primroselever_node.direct.responses import BrokenExchangeError

WHOLE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 12\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "connection": b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n",
    "no body": b"HTTP/1.1 204 None\r\n\r\n",
    "lf": b"HTTP/1.1 200 OK\nStore-Era: 1\nContent-Length: 12\n\n",
}
RESET = struct.pack("ii", 1, 0)
TIMEOUT_S = 5.0


class CuttingServer:
    """A server that gives a whole answer or a part of one on each connection."""

    def __init__(self, answers: list[bytes], *, reset: bool) -> None:
        self.answers = answers
        self.reset = reset
        self.socket = eventlet.listen(("127.0.0.1", 0))
        self.address = self.socket.getsockname()
        self.acceptor = eventlet.spawn(self.run)

    def run(self) -> None:
        while True:
            connection, _address = self.socket.accept()
            eventlet.spawn(self.serve, connection)

    def serve(self, connection) -> None:
        while connection.recv(65536):
            answer = self.answers.pop(0)
            connection.sendall(answer)
            if answer != WHOLE_ANSWER:
                break
        if self.reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()

    def close(self) -> None:
        self.acceptor.kill()
        self.socket.close()


def call(caller: HttpCaller, server: CuttingServer):
    return caller.call(server.address, "GET", "/", timeout_s=TIMEOUT_S, max_bytes=100)


# Guards against a cut answer that is taken for an empty one, on a new connection and on
# one that is kept after a whole answer, where the call is made a second time.
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("head", HEADS)
def test_a_call_whose_answer_is_cut_in_its_head_fails(head, kept, reset):
    for size in range(len(HEADS[head])):
        cut = HEADS[head][:size]
        server = CuttingServer([WHOLE_ANSWER] * kept + [cut, cut], reset=reset)
        caller = HttpCaller()
        if kept:
            assert call(caller, server).body == b"ok"
        with pytest.raises(BrokenExchangeError):
            call(caller, server)
        assert len(server.answers) == (0 if kept else 1)
        server.close()
