"""
Short HTTP calls on kept connections, whose answers are read as a whole.

Answers name no call. A late copy of an earlier answer can be told from the present one
only if it arrives before the connection is used again, so a connection is not used
again after a refusal, and callers discard it where another answer would do harm.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .. import clock
from .connection_pool import ConnectionPool, allowed_idle_s
from .responses import AnswerTooLargeError, BrokenExchangeError, header

if TYPE_CHECKING:
    from primroselever_core.catalogue.model import Address

REFUSED_STATUS = 400  # and above
PROGRESS_S = 0.6  # without new bytes of a body, after which its transfer has stalled


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """
    The limits of an answer.

    It must begin before ``deadline``; a body of which bytes keep arriving may take
    until ``last_deadline`` and have ``max_bytes``.
    """

    deadline: float
    last_deadline: float
    max_bytes: int


class HttpCaller:
    """Makes short calls, and repeats a call once if its kept connection broke."""

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
        max_bytes: int,
        transfer_s: float = 0.0,
        repeats: bool = True,
    ) -> Answer:
        """
        Return the answer, or raise ``ConnectError`` or ``BrokenExchangeError``.

        An answer whose body has more than ``max_bytes`` raises the latter.
        A body of which bytes keep arriving may take up to ``transfer_s`` seconds longer
        than ``timeout_s``. A call may be made twice, unless ``repeats`` is False: then
        it is made once and on a new connection, since a kept one may have been closed.
        """
        deadline = clock.now() + timeout_s
        limits = BodyLimits(deadline, deadline + transfer_s, max_bytes)
        authority = f"{address[0]}:{address[1]}"
        headers = [(b"Host", authority.encode())]
        if body or method in ("POST", "PUT"):
            headers.append((b"Content-Length", str(len(body)).encode()))
        if not repeats:
            self.close_idle_connections(authority)
        had_idle_connection = bool(self.pool.idle.get(authority))
        try:
            return self.call_once(
                authority, address, method, target, headers, body, limits
            )
        except AnswerTooLargeError:
            raise
        except BrokenExchangeError:
            if not had_idle_connection or clock.now() >= deadline:
                raise
        self.close_idle_connections(authority)
        return self.call_once(authority, address, method, target, headers, body, limits)

    def close_idle_connections(self, authority: str) -> None:
        """Close the kept connections to a server."""
        for connection in self.pool.idle.pop(authority, []):
            connection.abort()

    def discard_connections(self) -> None:
        """Make later calls on new connections only."""
        pool, self.pool = self.pool, ConnectionPool()
        pool.close_removed_servers(())

    def call_once(
        self,
        authority: str,
        address: Address,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        limits: BodyLimits,
    ) -> Answer:
        """Make a call on one connection, without repeating it."""
        pool = self.pool
        connection = pool.acquire_connection(
            authority, address, limits.deadline, float("inf")
        )
        try:
            connection.send(
                method.encode(), target.encode(), headers, body, limits.deadline
            )
            head = connection.read_head(limits.deadline, b"", b"")
            data = connection.read_body(
                limits.deadline, limits.max_bytes, limits.last_deadline, PROGRESS_S
            )
        except BaseException:
            connection.abort()
            raise
        if pool is not self.pool or head.status_code >= REFUSED_STATUS:
            connection.abort()
        else:
            idle_s = allowed_idle_s(header(head.headers, b"keep-alive"))
            pool.release_connection(authority, connection, idle_s)
        return Answer(head.status_code, tuple(head.headers), data)
