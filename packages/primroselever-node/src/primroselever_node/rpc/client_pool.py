"""
Thrift clients, pooled by address.

A connection that fails or stays silent past its deadline is closed and never
used again, since something between the two ends may have lost track of it.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass
from typing import Any

from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TApplicationException, TClient, TException
from thriftpy2.transport import TCyBufferedTransportFactory

from primroselever_core.exceptions import PrimroseleverError

from .. import clock
from .counting_socket import CountingSocket

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTIONS_PER_ADDRESS = 8
IDLE_CONNECTION_S = 30.0
SWEEP_INTERVAL_S = 10.0


class NeverSentError(PrimroseleverError):
    """The call did not leave this process: no connection could be opened."""


class LostReplyError(PrimroseleverError):
    """The call may have arrived; its reply did not."""


@dataclass(slots=True)
class Connection:
    """An open connection that nobody uses until ``usable_until``."""

    socket: CountingSocket
    transport: Any
    client: Any
    usable_until: float


class ClientPool:
    """Opens, keeps and drops connections to other processes of the system."""

    def __init__(self, service: Any) -> None:
        self.service = service
        self.idle: dict[tuple[str, int], deque[Connection]] = defaultdict(deque)
        self.sweep_at = clock.now() + SWEEP_INTERVAL_S

    def call(
        self, address: tuple[str, int], method: str, *args: Any, timeout_s: float
    ) -> Any:
        """
        Call a method and return its result.

        Raise ``NeverSentError`` when the call certainly did not arrive, and
        ``LostReplyError`` when it may have. A kept connection that turns out to
        be closed counts as the latter.
        """
        connection = self.acquire(address)
        connection.socket.set_timeout(timeout_s * 1000)
        try:
            result = getattr(connection.client, method)(*args)
        except TApplicationException as exc:
            self.release(address, connection)
            raise LostReplyError(f"{method} at {address} failed: {exc}") from exc
        except (TException, OSError, EOFError) as exc:
            connection.transport.close()
            raise LostReplyError(f"{method} at {address} got no reply") from exc
        except BaseException:
            connection.transport.close()
            raise
        self.release(address, connection)
        return result

    def call_again(
        self, address: tuple[str, int], method: str, *args: Any, timeout_s: float
    ) -> Any:
        """
        Make a call that may be made twice, anew if a kept connection had ended.

        A process that was restarted leaves its peers with connections that are dead.
        """
        kept = bool(self.idle.get(address))
        deadline = clock.now() + timeout_s
        try:
            return self.call(address, method, *args, timeout_s=timeout_s)
        except LostReplyError:
            if not kept or clock.now() >= deadline:
                raise
        self.forget(address)
        return self.call(address, method, *args, timeout_s=deadline - clock.now())

    def acquire(self, address: tuple[str, int]) -> Connection:
        """Return a kept connection or a new one."""
        now = clock.now()
        if now >= self.sweep_at:
            self.sweep(now)
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if connection.usable_until > now:
                return connection
            connection.transport.close()
        return self.open(address)

    def open(self, address: tuple[str, int]) -> Connection:
        """Open a connection, or raise ``NeverSentError``."""
        socket = CountingSocket(*address, connect_timeout=CONNECT_TIMEOUT_S * 1000)
        transport = TCyBufferedTransportFactory().get_transport(socket)
        try:
            transport.open()
        except (TException, OSError) as exc:
            raise NeverSentError(f"no connection to {address}") from exc
        protocol = TCyBinaryProtocolFactory().get_protocol(transport)
        client = TClient(self.service, protocol)
        return Connection(socket, transport, client, 0.0)

    def release(self, address: tuple[str, int], connection: Connection) -> None:
        """Keep a connection for the next call, if few enough are kept."""
        idle = self.idle[address]
        if len(idle) >= IDLE_CONNECTIONS_PER_ADDRESS:
            connection.transport.close()
            return
        connection.usable_until = clock.now() + IDLE_CONNECTION_S
        idle.append(connection)

    def sweep(self, now: float) -> None:
        """
        Close the connections that were kept too long.

        Heartbeats go to ever other addresses, most of which are not called again
        soon: without this each would hold a socket at both ends for good.
        """
        self.sweep_at = now + SWEEP_INTERVAL_S
        for address, idle in list(self.idle.items()):
            while idle and idle[0].usable_until <= now:
                idle.popleft().transport.close()
            if not idle:
                del self.idle[address]

    def forget(self, address: tuple[str, int]) -> None:
        """Close all kept connections to an address, after one went silent."""
        for connection in self.idle.pop(address, ()):
            connection.transport.close()
