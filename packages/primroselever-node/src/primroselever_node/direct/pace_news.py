"""
News among entries of servers that are cold or that started or recovered.

An entry that learns from an answer that a server is cold, or no longer cold, that
changes the pace of a server or sends it a request during its ramp, informs all live
entries. The bound of a cold server needs no message for single requests.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.dispatch.announcements import MAX_RATE, ServerStart, start_of

from .. import clock
from ..logs import log_decision
from .limit_news import (
    HIGH_RATE,
    HIGH_RATE_NEWS_DELAY_S,
    MAX_STARTED,
    NEWS_DELAY_S,
)
from .schema import schema

if TYPE_CHECKING:
    from primroselever_core.direct_board import DirectBoard

    from .datagrams import DatagramPort

MANY_RAMPS = 4  # from which on all news wait as long as those of high rates
MAX_IN_DATAGRAM = 10  # of at most 120 bytes each, to fit into one packet
MAX_STEP = 1_000_000  # so that the next step still fits into a message
MAX_COLD_MS = 600_000  # longer times are taken for mistakes of the sender

logger = logging.getLogger(__name__)


class PaceNews:
    """Sends and receives what is known of servers that may be cold."""

    def __init__(self, board: DirectBoard, datagram_port: DatagramPort) -> None:
        self.board = board
        self.datagram_port = datagram_port
        self.unsent: dict[ServerStart, int] = {}
        self.send_at = math.inf

    def publish(self, start: ServerStart, started: int = 0) -> None:
        """Schedule sending a server's state and how many requests were just sent."""
        self.unsent[start] = self.unsent.get(start, 0) + started
        ramp = self.board.backends.start_pace.ramps.get(start)
        # Servers that start together share their datagrams: the entry's processor and
        # the links between regions bound how many it may send.
        waits_longer = self.count_ramps() >= MANY_RAMPS
        waits_longer = waits_longer or (ramp is not None and ramp.per_s > HIGH_RATE)
        delay_s = HIGH_RATE_NEWS_DELAY_S if waits_longer else NEWS_DELAY_S
        send_at = clock.now() + delay_s
        if send_at < self.send_at:
            self.send_at = send_at
            eventlet.spawn_after(delay_s, self.send_unsent)

    def count_ramps(self) -> int:
        """Return how many servers are in their ramps."""
        ramps = self.board.backends.start_pace.ramps.values()
        return sum(ramp.ended_at is None for ramp in ramps)

    def send_unsent(self) -> None:
        """Send the states of all servers with news since the last call."""
        unsent, self.unsent, self.send_at = self.unsent, {}, math.inf
        if not unsent:
            return
        news = [self.describe(start, started) for start, started in unsent.items()]
        hosts = [peer.host for peer in self.board.peers.live(clock.now())]
        for first in range(0, len(news), MAX_IN_DATAGRAM):
            batch = news[first : first + MAX_IN_DATAGRAM]
            self.datagram_port.send_all(hosts, paces=batch)

    def describe(self, start: ServerStart, started: int) -> Any:
        """Return a server's state and the requests to it since the last news."""
        section = self.board.backends
        now = clock.now()
        news = schema.PaceNews(start.server_id, *start.address, start.born_ms)
        cold = section.cold_pace.states.get(start)
        if cold is not None and not cold.unknown and math.isfinite(cold.learned_at):
            cold_ms = round((cold.cold_until - now) * 1000)
            news.cold_ms = min(MAX_COLD_MS, max(0, cold_ms))
            news.age_ms = clock.age_ms(cold.learned_at, now)
        ramp = section.start_pace.ramps.get(start)
        if ramp is not None and ramp.ended_at is None:
            news.step, news.per_s, news.started = ramp.step, ramp.per_s, started
            if math.isfinite(ramp.floor_s):
                news.floor_ms = round(ramp.floor_s * 1000)
        return news

    def receive(self, news: Any, host: str) -> None:
        """Apply the news of another entry; ignore those with invalid fields."""
        if None in (news.server_id, news.host, news.port, news.born_ms):
            logger.warning(
                "received the news of a started server with invalid fields",
                extra={"peer": host, "server": str(news)[:200]},
            )
            return
        now = clock.now()
        start = ServerStart(news.server_id, (news.host, news.port), news.born_ms)
        if news.cold_ms is not None and news.age_ms is not None:
            self.receive_cold(start, news.cold_ms, news.age_ms, host, now)
        if news.step is not None and news.per_s is not None:
            self.receive_pace(start, news, host, now)

    def receive_cold(
        self, start: ServerStart, cold_ms: int, age_ms: int, host: str, now: float
    ) -> None:
        """Apply for how long a server is cold."""
        state = self.board.backends.cold_pace.states.get(start)
        if state is None:
            return
        cold_until = now + min(max(0, cold_ms), MAX_COLD_MS) / 1000
        learned_at = now - max(0, age_ms) / 1000
        if state.learn(cold_until, learned_at, "named in an answer to a peer", now):
            log_decision(
                "server cold",
                start.server_id,
                "cold" if cold_ms > 0 else "not cold",
                state.cause,
                address=f"{start.address[0]}:{start.address[1]}",
                born_ms=start.born_ms,
                cold_ms=cold_ms,
                age_ms=age_ms,
                peer=host,
            )

    def receive_pace(
        self, start: ServerStart, news: Any, host: str, now: float
    ) -> None:
        """Apply the pace of a server's ramp, and count the requests of its sender."""
        per_s, floor_ms = news.per_s, news.floor_ms
        valid_step = 0 <= news.step <= MAX_STEP
        if not (valid_step and math.isfinite(per_s) and 0 < per_s <= MAX_RATE):
            logger.warning(
                "received the news of a started server with an invalid pace",
                extra={"peer": host, "server": start.server_id, "pace": per_s},
            )
            return
        section = self.board.backends
        backend = section.backends.get(start.server_id)
        if backend is None or start_of(backend.listed) != start:
            return
        floor_s = math.inf if floor_ms is None else max(0, floor_ms) / 1000
        started = min(max(0, news.started or 0), MAX_STARTED)
        if section.start_pace.apply_news(
            backend, news.step, per_s, floor_s, started, now
        ):
            logger.debug(
                "applied the pace of another entry",
                extra={"peer": host, "server": start.server_id, "pace": per_s},
            )
