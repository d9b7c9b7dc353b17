"""
Links between failure domains, and from one to the platform: TCP forwarders.

A link delays, limits its rate, can be cut, and can lose track of the connections
that are open: these go silent for good while new ones work. What was once swallowed
leaves a hole in a stream, so a connection that a cut has touched stays silent too.
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
PIECES_ON_THE_WAY = 256
CONNECT_TIMEOUT_S = 2.0


@dataclass(slots=True)
class Path:
    """
    The way between two places, shared by all links on it.

    ``delay_s`` is one way; ``rate`` is in bytes a second each way, 0 for no limit.
    ``cut_way`` is "there" or "back" while only that way is cut.
    """

    name: str
    delay_s: float = 0.0
    rate: float = 0.0
    cut: bool = False
    cut_way: str = ""
    connections: list[Connection] = field(default_factory=list)
    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def due(self, direction: str, size: int) -> float:
        """Return when bytes that leave now arrive."""
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
    """One forwarded connection; a silent one swallows everything for good."""

    path: Path
    near: Any = None
    silent: bool = False
    silent_way: str = ""

    def swallows(self, way: str = "there") -> bool:
        """Return whether nothing passes any more that way."""
        self.silent = self.silent or self.path.cut
        self.silent_way = self.silent_way or self.path.cut_way
        return self.silent or self.silent_way == way

    def reset(self) -> None:
        """End the connection so that the near side gets a reset."""
        self.silent = True
        linger = struct.pack("ii", 1, 0)
        with suppress(OSError):  # it has ended already
            self.near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.near.shutdown(socket.SHUT_RD)


class Links(StandIn):
    """
    All links of a fleet, with one control page.

    ``links`` are objects with ``path``, ``host``, ``port`` and ``target``. In a
    control request ``cut`` and ``heal`` name paths to cut and to mend, ``silence``
    those whose open connections go silent.
    """

    def __init__(self, **faults: Any) -> None:
        links = faults.pop("links", [])
        super().__init__(**faults)
        self.paths: dict[str, Path] = {}
        for link in links:
            path = self.paths.setdefault(link["path"], Path(link["path"]))
            path.delay_s = link.get("delay_s", 0.0)
            path.rate = link.get("rate", 0.0)
            listener = listen(link["host"], link["port"])
            eventlet.spawn(self.accept, listener, path, tuple(link["target"]))

    def control(self, request: Request) -> Reply:
        """Cut, heal or silence paths; return how they are."""
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
        """Return each path's open connections, and which are cut."""
        return {
            "open": {name: len(path.connections) for name, path in self.paths.items()},
            "cut": sorted(name for name, path in self.paths.items() if path.cut),
        }

    def answer(self, request: Request) -> Reply:
        """Answer nothing but the control page."""
        return not_found()

    def accept(self, listener: Any, path: Path, target: tuple[str, int]) -> None:
        """Forward every connection to a link's address."""
        while True:
            near, _ = listener.accept()
            eventlet.spawn_n(self.forward, near, path, target)

    def forward(self, near: Any, path: Path, target: tuple[str, int]) -> None:
        """Forward one connection until either side closes it."""
        connection = Connection(path, near)
        path.connections.append(connection)
        try:
            if connection.swallows():
                while near.recv(READ_BYTES):
                    pass
                return
            with eventlet.Timeout(CONNECT_TIMEOUT_S):
                far = eventlet.connect(target)
            there = eventlet.spawn(self.carry, near, far, connection, "there")
            self.carry(far, near, connection, "back")
            there.wait()
        except (OSError, eventlet.Timeout):
            pass
        finally:
            near.close()
            path.connections.remove(connection)

    def carry(self, source: Any, sink: Any, connection: Connection, way: str) -> None:
        """Carry bytes one way, late and in order."""
        pieces = LightQueue(PIECES_ON_THE_WAY)
        writer = eventlet.spawn(self.deliver, pieces, sink, connection, way)
        try:
            while data := source.recv(READ_BYTES):
                if not connection.swallows(way):
                    pieces.put((connection.path.due(way, len(data)), data))
        except OSError:
            pass
        pieces.put((time.monotonic() + connection.path.delay_s, b""))
        writer.wait()

    def deliver(
        self, pieces: LightQueue, sink: Any, connection: Connection, way: str
    ) -> None:
        """Hand over each piece when it is due; pass an end on unless silent."""
        while True:
            due, data = pieces.get()
            eventlet.sleep(max(0.0, due - time.monotonic()))
            if connection.swallows(way):
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
