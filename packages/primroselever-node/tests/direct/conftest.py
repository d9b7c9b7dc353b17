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
