"""
What servers announce in their answers: that they leave, or accept nothing for a time.

Designed for services of which several servers close at once. A closed server gets no
request before the end of the time that it named. Entries return to it at different
times, and a refusal states when the first server of a closed service returns.

An announcement concerns one start of a server. It is kept while the list of servers
lacks that start, and a later start at the same address begins without announcements.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .rate_limit import RateLimit

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from ..catalogue.model import Address, ListedServer

MAX_CLOSED_S = 600.0  # longer times are taken for mistakes of the server
MAX_RATE = 1e6  # requests a second; higher limits limit nothing
# Added to the end of a closure, so that entries do not return in the same instant.
RETURN_SPREAD_S = 0.3
RETURN_SPREAD_SHARE = 0.25  # of the closure; a short closure gets a short spread
MIN_EXTENSION_S = 0.2  # a smaller change of the end is not logged
CALLER_MARGIN_S = 0.02  # callers return a little later than the server
CALLER_SPREAD_S = 0.5
CALLER_SPREAD_SHARE = 0.1  # of the caller's time: those with little left return first
MAX_UNLISTED_STARTS = 4096


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a server; another identifier, address or birth is another one."""

    server_id: str
    address: Address
    born_ms: int


@dataclass(slots=True)
class Announced:
    """
    What one start of a server announced.

    ``is_leaving`` stays set: a server that leaves does not return in the same start.
    ``closed_until`` is the end of the time for which the server wants no requests, and
    ``returns_at``, which is not earlier, is when this process sends requests again.
    ``limit`` is the rate that the server shares among all entries.
    """

    is_leaving: bool = False
    closed_until: float = 0.0
    returns_at: float = 0.0
    limit: RateLimit = field(default_factory=RateLimit)

    @property
    def opens_at(self) -> float:
        """Return when this process may send a request, in the past if it may now."""
        if self.limit.rate is None:
            return self.returns_at
        return max(self.returns_at, self.limit.own_start_at)

    def is_closed(self, now: float) -> bool:
        """Return whether the server turns requests away until a known time."""
        return now < self.returns_at

    def admits_requests(self, now: float) -> bool:
        """Return whether the server may be sent a request."""
        return not self.is_leaving and not self.is_closed(now)

    def record_closure(self, closed_until: float, now: float, random: Random) -> bool:
        """
        Record until when the server wants no requests; the latest end counts.

        Return whether this closed the server or moved the end noticeably. Answers to
        requests that were under way together extend a closure by little or nothing,
        and share its spread.
        """
        closed_until = min(closed_until, now + MAX_CLOSED_S)
        if closed_until <= max(now, self.closed_until):
            return False
        extension_s = closed_until - self.closed_until
        if self.is_closed(now):
            self.closed_until = closed_until
            self.returns_at = max(closed_until, self.returns_at + extension_s)
            return extension_s >= MIN_EXTENSION_S
        spread_s = min(RETURN_SPREAD_S, RETURN_SPREAD_SHARE * (closed_until - now))
        self.closed_until = closed_until
        self.returns_at = closed_until + spread_s * random.random()
        return True


@dataclass(slots=True)
class AnnouncementsSection:
    """What each start of a server announced, the latest starts last."""

    by_start: dict[ServerStart, Announced] = field(default_factory=dict)

    def of_start(self, start: ServerStart) -> Announced:
        """Return the announcements of a start; the same object until it is dropped."""
        announced = self.by_start.get(start)
        if announced is None:
            announced = self.by_start[start] = Announced()
        return announced

    def record_leaving(self, start: ServerStart) -> bool:
        """Record that a server leaves; return whether that was unknown."""
        announced = self.of_start(start)
        if announced.is_leaving:
            return False
        announced.is_leaving = True
        return True

    def drop_unlisted(self, listed: Collection[ServerStart]) -> None:
        """
        Drop starts that are not listed and announced nothing.

        Of the others that are not listed, the latest ``MAX_UNLISTED_STARTS`` are kept.
        """
        unlisted = [start for start in self.by_start if start not in listed]
        announcing = [
            start for start in unlisted if self.by_start[start] != Announced()
        ]
        remembered = set(announcing[-MAX_UNLISTED_STARTS:])
        for start in unlisted:
            if start not in remembered:
                del self.by_start[start]


def start_of(server: ListedServer) -> ServerStart:
    """Return the start of a server that an entry of the list describes."""
    return ServerStart(server.server_id, server.address, server.born_ms)


def earliest_return(servers: Iterable[Announced], now: float) -> float | None:
    """
    Return when the first server of a service may get a request, if none may now.

    All of them are closed, or at the limit that they named. Servers that leave are not
    counted, as they do not return. Return None if a server is open or none is left.
    """
    return_times = [each.opens_at for each in servers if not each.is_leaving]
    if not return_times or min(return_times) <= now:
        return None
    return min(return_times)


def caller_return_s(
    returns_at: float, caller_waits_s: float, now: float, random: Random
) -> float:
    """
    Return after how many seconds a caller should try a closed service again.

    Callers are spread over a time after the first server returns. The spread is a share
    of the time that the caller still waits, so that the most urgent callers come first.
    """
    spread_s = min(CALLER_SPREAD_S, CALLER_SPREAD_SHARE * max(0.0, caller_waits_s))
    return max(0.0, returns_at - now) + CALLER_MARGIN_S + spread_s * random.random()
