"""Short calls over HTTP: one request, one whole answer, on kept connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .. import clock
from .connection_pool import ConnectionPool, idle_seconds
from .exchange import BrokenExchangeError, header

if TYPE_CHECKING:
    from primroselever_core.catalogue.model import Address


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpCaller:
    """Makes short calls; a call whose kept connection broke is made once more."""

    def __init__(self) -> None:
        self.pool = ConnectionPool()

    def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout_s: float,
    ) -> Answer:
        """
        Return the answer, or raise ``ConnectError`` or ``BrokenExchangeError``.

        Only for calls that may be made twice.
        """
        deadline = clock.now() + timeout_s
        name = f"{address[0]}:{address[1]}"
        headers = [(b"Host", name.encode())]
        if body or method in ("POST", "PUT"):
            headers.append((b"Content-Length", str(len(body)).encode()))
        kept = bool(self.pool.idle.get(name))
        try:
            return self.call_once(
                name, address, method, target, headers, body, deadline
            )
        except BrokenExchangeError:
            if not kept or clock.now() >= deadline:
                raise
        for connection in self.pool.idle.pop(name, []):
            connection.abort()
        return self.call_once(name, address, method, target, headers, body, deadline)

    def call_once(
        self,
        name: str,
        address: Address,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        deadline: float,
    ) -> Answer:
        """Make a call on one connection."""
        connection = self.pool.take(name, address, deadline, float("inf"))
        try:
            connection.send(method.encode(), target.encode(), headers, body, deadline)
            head = connection.read_head(deadline, b"", b"")
            data = connection.read_body(deadline)
        except BaseException:
            connection.abort()
            raise
        idle_s = idle_seconds(header(head.headers, b"keep-alive"))
        self.pool.give_back(name, connection, idle_s)
        return Answer(head.status_code, tuple(head.headers), data)
