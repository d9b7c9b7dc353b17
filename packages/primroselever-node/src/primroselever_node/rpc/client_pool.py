"""
Thrift clients, pooled by address.

A connection that breaks, or on which a call times out, is closed and never reused,
because a device between the two ends may have dropped its state of the connection.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass
from typing import Any

from thriftpy2.thrift import TApplicationException, TClient, TException

from primroselever_core.exceptions import PrimroseleverError

from .. import clock
from .counting_socket import MAX_KEPT_BUFFER_BYTES, CountingSocket
from .limits import MAX_REPLY_BYTES, MAX_SMALL_REPLY_BYTES

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTIONS_PER_ADDRESS = 8
IDLE_CONNECTION_S = 30.0
CLOSE_EXPIRED_INTERVAL_S = 10.0


class NeverSentError(PrimroseleverError):
    """The call was not sent, because no connection could be opened."""


class LostReplyError(PrimroseleverError):
    """The call may have reached the other process, but no valid reply arrived."""


@dataclass(slots=True)
class Connection:
    """An open connection; once idle it may be reused until ``usable_until``."""

    socket: CountingSocket
    client: Any
    usable_until: float


class ClientPool:
    """Opens, reuses and closes connections to other processes of the system."""

    def __init__(self, service: Any) -> None:
        self.service = service
        self.idle: dict[tuple[str, int], deque[Connection]] = defaultdict(deque)
        self.close_expired_at = clock.now() + CLOSE_EXPIRED_INTERVAL_S

    def call(
        self, address: tuple[str, int], method: str, *args: Any, timeout_s: float
    ) -> Any:
        """
        Call a method and return its result.

        Connecting, sending and receiving take at most ``timeout_s`` seconds together.

        Raise ``NeverSentError`` if the call was certainly not sent, and
        ``LostReplyError`` if it may have been. A pooled connection that turns out
        to be closed raises ``LostReplyError``.
        """
        deadline = clock.now() + timeout_s
        connection = self.acquire_connection(address, timeout_s)
        connection.socket.deadline = deadline
        connection.socket.begin_message()
        connection.socket.max_message_bytes = MAX_REPLY_BYTES.get(
            method, MAX_SMALL_REPLY_BYTES
        )
        try:
            call_method = getattr(connection.client, method)
        except AttributeError:
            connection.socket.close()
            raise
        try:
            result = call_method(*args)
        except TApplicationException as exc:
            self.release_connection(address, connection)
            raise LostReplyError(f"{method} at {address} failed: {exc}") from exc
        except (TException, OSError, EOFError) as exc:
            connection.socket.close()
            raise LostReplyError(f"{method} at {address} got no reply") from exc
        except Exception as exc:
            # The decoder raises several kinds of errors for bytes that are no reply.
            connection.socket.close()
            message = f"{method} at {address} got an unreadable reply: {exc!r}"
            raise LostReplyError(message) from exc
        except BaseException:
            connection.socket.close()
            raise
        self.release_connection(address, connection)
        return result

    def call_with_retry(
        self, address: tuple[str, int], method: str, *args: Any, timeout_s: float
    ) -> Any:
        """
        Make an idempotent call; retry it once if a pooled connection may be dead.

        When a process restarts, the pooled connections of its peers to it are dead.
        """
        has_pooled = bool(self.idle.get(address))
        deadline = clock.now() + timeout_s
        try:
            return self.call(address, method, *args, timeout_s=timeout_s)
        except LostReplyError:
            if not has_pooled or clock.now() >= deadline:
                raise
        self.close_idle_connections(address)
        return self.call(address, method, *args, timeout_s=deadline - clock.now())

    def acquire_connection(
        self, address: tuple[str, int], timeout_s: float
    ) -> Connection:
        """Return a pooled connection or open a new one within ``timeout_s`` seconds."""
        now = clock.now()
        if now >= self.close_expired_at:
            self.close_expired_connections(now)
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if connection.usable_until > now:
                return connection
            connection.socket.close()
        return self.open_connection(address, timeout_s)

    def open_connection(
        self, address: tuple[str, int], timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Connection:
        """Open a connection, or raise ``NeverSentError``."""
        if timeout_s <= 0:
            raise NeverSentError(f"no time is left to connect to {address}")
        socket = CountingSocket(
            *address,
            connect_timeout=min(timeout_s, CONNECT_TIMEOUT_S) * 1000,
            max_message_bytes=MAX_SMALL_REPLY_BYTES,
        )
        try:
            socket.open()
        # The last three are of a host or port that no address has.
        except (TException, OSError, OverflowError, TypeError, ValueError) as exc:
            raise NeverSentError(f"cannot connect to {address}") from exc
        return Connection(socket, TClient(self.service, socket.new_protocol()), 0.0)

    def release_connection(
        self, address: tuple[str, int], connection: Connection
    ) -> None:
        """Return a connection to the pool, or close it if the pool is full."""
        idle = self.idle[address]
        socket = connection.socket
        if len(idle) >= IDLE_CONNECTIONS_PER_ADDRESS:
            connection.socket.close()
            return
        if socket.largest_read_bytes > MAX_KEPT_BUFFER_BYTES:
            connection.client = TClient(self.service, socket.new_protocol())
        connection.usable_until = clock.now() + IDLE_CONNECTION_S
        idle.append(connection)

    def close_expired_connections(self, now: float) -> None:
        """
        Close the connections that have been idle for too long.

        Heartbeats go to constantly changing addresses, most of which are not called
        again soon. Without this, each would hold a socket open at both ends
        indefinitely.
        """
        self.close_expired_at = now + CLOSE_EXPIRED_INTERVAL_S
        for address, idle in list(self.idle.items()):
            while idle and idle[0].usable_until <= now:
                idle.popleft().socket.close()
            if not idle:
                del self.idle[address]

    def close_idle_connections(self, address: tuple[str, int]) -> None:
        """Close all idle connections to an address, after a call to it failed."""
        for connection in self.idle.pop(address, ()):
            connection.socket.close()
