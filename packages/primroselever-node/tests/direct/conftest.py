from __future__ import annotations

import socket
import struct

import eventlet
import pytest


class ScriptedServer:
    """Answers each received chunk with the next bytes of a script."""

    def __init__(self) -> None:
        self.socket = eventlet.listen(("127.0.0.1", 0))
        self.address = self.socket.getsockname()
        self.script: list[bytes] = []
        self.reset = False
        self.close = False
        self.accepted = 0
        eventlet.spawn(self.run)

    def run(self) -> None:
        while True:
            connection, _address = self.socket.accept()
            self.accepted += 1
            eventlet.spawn(self.serve, connection)

    def serve(self, connection) -> None:
        while connection.recv(65536):
            connection.sendall(self.script.pop(0))
            if self.reset:
                eventlet.sleep(0.01)
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            if self.reset or self.close:
                break
        connection.close()


@pytest.fixture
def server():
    return ScriptedServer()


class ScriptedSource:
    """
    Returns or raises the outcomes of a script in turn, then blocks forever.

    An outcome may be a function, which is called at that time.
    """

    def __init__(self, *script) -> None:
        self.script = list(script)
        self.calls: list[tuple] = []

    def next_outcome(self, *call):
        self.calls.append(call)
        if not self.script:
            eventlet.sleep(3600)
        outcome = self.script.pop(0)
        if callable(outcome):
            outcome = outcome()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def read(self, part):
        return self.next_outcome("read")

    def watch(self, part, after, wait_s):
        return self.next_outcome("watch", after, wait_s)
