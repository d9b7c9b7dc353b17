"""
Kept connections to back ends, by the identity of the server at the other end.

An address may be given to another server, so connections are not shared between
identities. A server that has ended takes its connections with it.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .. import clock
from .exchange import HttpConnection

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroselever_core.catalogue.model import Address

CONNECT_S = 0.25  # links add some 10 ms; a lost packet is sent again after 0.2 s
DEFAULT_IDLE_S = 2.0  # for servers that do not say how long they keep a connection
IDLE_MARGIN_S = 0.5  # the server's timeout may run while a request is on its way
KEPT_FOR_EACH = 32


class ConnectionPool:
    """Opens and keeps connections."""

    def __init__(self) -> None:
        self.idle: dict[str, list[HttpConnection]] = defaultdict(list)
        self.opened = 0

    def take(
        self, server_id: str, address: Address, deadline: float, used_within_s: float
    ) -> HttpConnection:
        """
        Return a kept connection that was used lately, or a new one.

        Raise ``ConnectError`` when none can be opened.
        """
        now = clock.now()
        kept = self.idle.get(server_id, [])
        while kept:
            connection = kept.pop()
            fresh = now - connection.used_at <= used_within_s
            if (
                now < connection.usable_until
                and connection.address == address
                and connection.idle_and_silent()
            ):
                if fresh:
                    return connection
                kept.insert(0, connection)
                if all(now - one.used_at > used_within_s for one in kept):
                    break
                continue
            connection.abort()
        self.opened += 1
        return HttpConnection(address, min(deadline, now + CONNECT_S))

    def give_back(
        self, server_id: str, connection: HttpConnection, idle_s: float
    ) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        kept = self.idle[server_id]
        if len(kept) < KEPT_FOR_EACH and connection.finish(idle_s):
            kept.append(connection)
        else:
            connection.abort()

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Close what is kept to servers that are gone, or was kept too long."""
        now = clock.now()
        for server_id in list(self.idle):
            kept = self.idle[server_id]
            gone = server_id not in server_ids
            for connection in kept[:]:
                if gone or now >= connection.usable_until:
                    kept.remove(connection)
                    connection.abort()
            if not kept:
                del self.idle[server_id]


def idle_seconds(keep_alive: bytes) -> float:
    """Return for how long a connection may idle, from a ``Keep-Alive`` header."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
