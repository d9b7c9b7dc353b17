"""
Links between failure domains, and from a domain to the platform: TCP forwarders.

A link adds delay and limits the rate. It can be cut, and it can silence its open
connections permanently while new ones work. Bytes that a cut discards leave a gap in
the stream, so a connection that was used during a cut stays silent as well.
"""

from __future__ import annotations

import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import eventlet
from eventlet.queue import LightQueue

from primroselever_core.budgets import TokenBucket
from primroselever_node.listen import listen

from .base import Reply, Request, StandIn, json_reply, not_found

READ_BYTES = 1 << 16
MAX_PIECES_IN_FLIGHT = 256
CONNECT_TIMEOUT_S = 2.0


@dataclass(slots=True)
class LinkPath:
    """
    A path from a failure domain to another or the platform, shared by its links.

    ``delay_s`` applies in each direction; ``rate`` is in bytes a second for each
    direction, 0 for no limit. ``cut_way`` is "there" or "back" while only that
    direction is cut.
    """

    name: str
    delay_s: float = 0.0
    rate: float = 0.0
    cut: bool = False
    cut_way: str = ""
    connections: list[Connection] = field(default_factory=list)
    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def compute_arrival_time(self, direction: str, size: int) -> float:
        """Return the time at which bytes that are sent now arrive."""
        now = time.monotonic()
        if not self.rate:
            return now + self.delay_s
        bucket = self.buckets.get(direction)
        if bucket is None or bucket.rate != self.rate:
            bucket = TokenBucket(self.rate, READ_BYTES, READ_BYTES, now)
            self.buckets[direction] = bucket
        return bucket.reserve_units(size, now) + self.delay_s

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in self.connections:
            connection.reset()


@dataclass(slots=True)
class Connection:
    """One forwarded connection; a silent one discards all data permanently."""

    path: LinkPath
    near_socket: Any = None
    silent: bool = False
    silent_direction: str = ""

    def discards_data(self, direction: str = "there") -> bool:
        """Return whether data in a direction is discarded; a cut makes that final."""
        self.silent = self.silent or self.path.cut
        self.silent_direction = self.silent_direction or self.path.cut_way
        return self.silent or self.silent_direction == direction

    def reset(self) -> None:
        """End the connection so that the near side receives a TCP reset."""
        self.silent = True
        linger = struct.pack("ii", 1, 0)
        with suppress(OSError):  # already closed
            self.near_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.near_socket.shutdown(socket.SHUT_RD)


class Links(StandIn):
    """
    All links of a fleet, with one control page.

    ``links`` are objects with ``path``, ``host``, ``port`` and ``target``, and
    optionally ``delay_s`` and ``rate``. A control request lists paths to cut under
    ``cut``, to restore under ``heal``, and those whose open connections go silent
    under ``silence``.
    """

    def __init__(self, **faults: Any) -> None:
        links = faults.pop("links", [])
        super().__init__(**faults)
        self.paths: dict[str, LinkPath] = {}
        for link in links:
            path = self.paths.setdefault(link["path"], LinkPath(link["path"]))
            path.delay_s = link.get("delay_s", 0.0)
            path.rate = link.get("rate", 0.0)
            listener = listen(link["host"], link["port"])
            eventlet.spawn(
                self.accept_connections, listener, path, tuple(link["target"])
            )

    def control(self, request: Request) -> Reply:
        """Cut, heal or silence paths, and return the counters."""
        fields = request.json() if request.method == "POST" else {}
        for name in fields.get("cut", ()):
            self.paths[name].cut = True
        for name in fields.get("heal", ()):
            self.paths[name].cut = False
        for name in fields.get("silence", ()):
            for connection in self.paths[name].connections:
                connection.silent = True
        return json_reply(self.counters())

    def counters(self) -> dict[str, Any]:
        """Return the number of open connections by path, and the paths that are cut."""
        return {
            "open": {name: len(path.connections) for name, path in self.paths.items()},
            "cut": sorted(name for name, path in self.paths.items() if path.cut),
        }

    def answer(self, request: Request) -> Reply:
        """Return 404, since only the control page is served."""
        return not_found()

    def accept_connections(
        self, listener: Any, path: LinkPath, target: tuple[str, int]
    ) -> None:
        """Forward each connection that a link's listener accepts."""
        while True:
            near_socket, _ = listener.accept()
            eventlet.spawn_n(self.forward_connection, near_socket, path, target)

    def forward_connection(
        self, near_socket: Any, path: LinkPath, target: tuple[str, int]
    ) -> None:
        """Forward one connection until either side closes it."""
        connection = Connection(path, near_socket)
        path.connections.append(connection)
        try:
            if connection.discards_data():
                while near_socket.recv(READ_BYTES):
                    pass
                return
            with eventlet.Timeout(CONNECT_TIMEOUT_S):
                far_socket = eventlet.connect(target)
            forwarder = eventlet.spawn(
                self.forward_bytes, near_socket, far_socket, connection, "there"
            )
            self.forward_bytes(far_socket, near_socket, connection, "back")
            forwarder.wait()
        except (OSError, eventlet.Timeout):
            pass
        finally:
            near_socket.close()
            path.connections.remove(connection)

    def forward_bytes(
        self, source: Any, sink: Any, connection: Connection, direction: str
    ) -> None:
        """Forward bytes in one direction, delayed and in order."""
        pieces = LightQueue(MAX_PIECES_IN_FLIGHT)
        writer = eventlet.spawn(
            self.deliver_pieces, pieces, sink, connection, direction
        )
        try:
            while data := source.recv(READ_BYTES):
                if not connection.discards_data(direction):
                    pieces.put(
                        (
                            connection.path.compute_arrival_time(direction, len(data)),
                            data,
                        )
                    )
        except OSError:
            pass
        pieces.put((time.monotonic() + connection.path.delay_s, b""))
        writer.wait()

    def deliver_pieces(
        self, pieces: LightQueue, sink: Any, connection: Connection, direction: str
    ) -> None:
        """Send each piece at its arrival time; at the end, shut down the sink."""
        while True:
            arrives_at, data = pieces.get()
            eventlet.sleep(max(0.0, arrives_at - time.monotonic()))
            if connection.discards_data(direction):
                if not data:
                    return
                continue
            try:
                if not data:
                    sink.shutdown(1)
                    return
                sink.sendall(data)
            except OSError:
                connection.silent = True
