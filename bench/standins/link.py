"""A link between failure domains: relays TCP connections, or loses all bytes."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import eventlet

from .base import Reply, Request, StandIn, not_found

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

READ_BYTES = 1 << 16
POLL_S = 0.05


class Link(StandIn):
    """
    Relays from ports to ports on one host.

    ``routes`` lists pairs of a port and the port behind it. Fault: ``cut``: bytes
    stay where they are and new connections are not carried on, as when packets
    are lost; nobody is told.
    """

    def __init__(self, **faults: Any) -> None:
        routes = faults.pop("routes", [])
        super().__init__(**{"cut": False, "host": "127.0.0.1", **faults})
        self.carried_bytes = 0
        for port, behind in routes:
            listener = eventlet.listen((self.faults["host"], port), backlog=256)
            eventlet.spawn_n(self.accept, listener, behind)

    def counters(self) -> dict[str, Any]:
        """Return the bytes that were carried both ways."""
        return {"carried_bytes": self.carried_bytes}

    def accept(self, listener: GreenSocket, behind: int) -> None:
        """Carry each connection to a port on."""
        while True:
            near, _ = listener.accept()
            eventlet.spawn_n(self.connect, near, behind)

    def connect(self, near: GreenSocket, behind: int) -> None:
        """Open the other half of a connection once the link is whole."""
        self.wait_whole()
        try:
            far = eventlet.connect((self.faults["host"], behind))
        except OSError:
            near.close()
            return
        eventlet.spawn_n(self.carry, near, far)
        self.carry(far, near)

    def carry(self, source: GreenSocket, target: GreenSocket) -> None:
        """Carry one direction until either side closes."""
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                self.wait_whole()
                target.sendall(data)
                self.carried_bytes += len(data)
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(2)

    def wait_whole(self) -> None:
        """Block while the link is cut."""
        while self.faults["cut"]:
            eventlet.sleep(POLL_S)

    def answer(self, request: Request) -> Reply:
        """Answer nothing but the control page."""
        return not_found()
