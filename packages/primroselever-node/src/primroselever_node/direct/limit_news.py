"""
News among entries of the rate limits that servers named, and of requests to them.

All entries share the limit of a server. An entry that learns that a limit changed, or
that sends a request to a limited server, informs all live entries within milliseconds.
The news of requests repeat the limit, so that the next datagram makes up for a lost
one.
"""

from __future__ import annotations

import logging
import math
from random import Random
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.dispatch.announcements import MAX_RATE, ServerStart

from .. import clock
from ..logs import log_decision
from .schema import schema

if TYPE_CHECKING:
    from primroselever_core.direct_board import DirectBoard

    from .datagrams import DatagramPort

NO_LIMIT = -1.0  # in a datagram
NEWS_DELAY_S = 0.005  # batches the requests that one entry sends in this time
# For a server that takes many requests, and whose limit allows more at once.
HIGH_RATE = 10.0
HIGH_RATE_NEWS_DELAY_S = 0.05
MAX_STARTED = 1000  # counted of one datagram

logger = logging.getLogger(__name__)


class LimitNews:
    """Sends and receives the limits of servers and the starts of requests."""

    def __init__(self, board: DirectBoard, datagram_port: DatagramPort) -> None:
        self.board = board
        self.datagram_port = datagram_port
        self.random = Random()
        self.unsent: dict[ServerStart, int] = {}

    def publish(self, start: ServerStart, started: int) -> None:
        """Schedule sending a server's limit and how many requests were just sent."""
        if start in self.unsent:
            self.unsent[start] += started
            return
        self.unsent[start] = started
        rate = self.board.backends.announcements.of_start(start).limit.rate or 0.0
        delay_s = HIGH_RATE_NEWS_DELAY_S if rate > HIGH_RATE else NEWS_DELAY_S
        eventlet.spawn_after(delay_s, self.send_unsent, start)

    def send_unsent(self, start: ServerStart) -> None:
        """Send a server's limit and the requests to it since the last call."""
        started = self.unsent.pop(start)
        now = clock.now()
        limit = self.board.backends.announcements.of_start(start).limit
        news = schema.LimitNews(
            start.server_id,
            *start.address,
            start.born_ms,
            NO_LIMIT if limit.rate is None else limit.rate,
            clock.age_ms(limit.learned_at, now),
            started,
        )
        hosts = [peer.host for peer in self.board.peers.live(now)]
        self.datagram_port.send_all(hosts, limit=news)

    def receive(self, news: Any, host: str) -> None:
        """Apply the news of another entry; ignore those with invalid fields."""
        fields = (news.server_id, news.host, news.port, news.born_ms, news.age_ms)
        rate = news.rate
        if None in fields or rate is None or not is_valid_rate(rate):
            logger.warning(
                "received the news of a limited server with invalid fields",
                extra={"peer": host, "server": str(news)[:200]},
            )
            return
        now = clock.now()
        start = ServerStart(news.server_id, (news.host, news.port), news.born_ms)
        limit = self.board.backends.announcements.of_start(start).limit
        learned_at = now - max(0, news.age_ms) / 1000
        if limit.apply(
            None if rate == NO_LIMIT else rate, learned_at, now, self.random
        ):
            log_decision(
                "server limited",
                start.server_id,
                "unlimited" if limit.rate is None else f"{rate:g} requests a second",
                "named in an answer to another entry",
                address=f"{news.host}:{news.port}",
                born_ms=start.born_ms,
                peer=host,
            )
        if limit.rate is not None and news.started:
            limit.record_starts(min(news.started, MAX_STARTED), now, self.random)


def is_valid_rate(rate: float) -> bool:
    """Return whether a rate in a datagram is one that entries send."""
    return rate == NO_LIMIT or (math.isfinite(rate) and 0.0 <= rate <= MAX_RATE)
