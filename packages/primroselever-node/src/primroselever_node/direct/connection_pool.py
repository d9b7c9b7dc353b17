"""
A pool of idle connections to back ends and to the platform's services.

Connections to back ends are keyed by server identifier, others by ``HOST:PORT``.

An address may be reassigned to another server, so connections are not shared between
server identifiers. The connections to a server that is gone are closed.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .. import clock
from .exchange import HttpConnection

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroselever_core.catalogue.model import Address

CONNECT_TIMEOUT_S = 0.25  # links add about 10 ms; lost packets are resent after 0.2 s
DEFAULT_IDLE_S = 2.0  # for servers that send no Keep-Alive timeout
IDLE_MARGIN_S = 0.5  # the server's timeout may expire while a request is in transit
MAX_IDLE_PER_SERVER = 32


class ConnectionPool:
    """Opens connections, and keeps them between requests."""

    def __init__(self) -> None:
        self.idle: dict[str, list[HttpConnection]] = defaultdict(list)
        self.opened_count = 0

    def acquire_connection(
        self,
        server_id: str,
        address: Address,
        deadline: float,
        used_within_s: float,
        request_id: bytes = b"",
    ) -> HttpConnection:
        """
        Return a connection used in the last ``used_within_s`` seconds, or a new one.

        No request with the identifier ``request_id`` was answered on it. Raise
        ``ConnectError`` if none can be opened.
        """
        now = clock.now()
        idle_connections = self.idle.get(server_id, [])

        def suits(candidate: HttpConnection) -> bool:
            recently_used = now - candidate.last_used_at <= used_within_s
            return recently_used and not candidate.reader.has_answered(request_id)

        while idle_connections:
            connection = idle_connections.pop()
            if (
                now < connection.usable_until
                and connection.address == address
                and connection.is_reusable()
            ):
                if suits(connection):
                    return connection
                idle_connections.insert(0, connection)
                if not any(map(suits, idle_connections)):
                    break
                continue
            connection.abort()
        self.opened_count += 1
        return HttpConnection(address, min(deadline, now + CONNECT_TIMEOUT_S))

    def release_connection(
        self, server_id: str, connection: HttpConnection, idle_s: float
    ) -> None:
        """Keep a connection for at most ``idle_s`` seconds, or close it if unusable."""
        idle_connections = self.idle[server_id]
        if len(idle_connections) < MAX_IDLE_PER_SERVER and connection.prepare_for_reuse(
            idle_s
        ):
            idle_connections.append(connection)
        else:
            connection.abort()

    def close_removed_servers(self, server_ids: Collection[str]) -> None:
        """Close connections to servers not in ``server_ids``, and expired ones."""
        now = clock.now()
        for server_id in list(self.idle):
            idle_connections = self.idle[server_id]
            server_gone = server_id not in server_ids
            for connection in idle_connections[:]:
                if server_gone or now >= connection.usable_until:
                    idle_connections.remove(connection)
                    connection.abort()
            if not idle_connections:
                del self.idle[server_id]


def allowed_idle_s(keep_alive: bytes) -> float:
    """Return a ``Keep-Alive`` timeout less ``IDLE_MARGIN_S``, or ``DEFAULT_IDLE_S``."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
