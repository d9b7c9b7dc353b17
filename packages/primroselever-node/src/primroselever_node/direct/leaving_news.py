"""
News among the entries of a failure domain of servers that leave.

A server announces in its answers that it leaves. The entry that reads such an answer
sends the news to the other entries of its failure domain, so that they need no answer
of their own. Datagrams may be lost, so the news is repeated for some seconds. Entries
do not pass on what they received.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.dispatch.announcements import ServerStart

from .. import clock
from ..logs import log_decision
from ..process import run_controller
from .schema import schema

if TYPE_CHECKING:
    from primroselever_core.direct_board import DirectBoard

    from .datagrams import DatagramPort

BATCH_DELAY_S = 0.01  # batches the servers of a service that leave together
REPEAT_INTERVAL_S = 1.0
REPEAT_FOR_S = 8.0  # beyond a brief loss of contact and the restart of an entry
MAX_SERVERS_PER_DATAGRAM = 16  # keeps a datagram below 1,400 bytes
MAX_REPEATED_SERVERS = 128

logger = logging.getLogger(__name__)


class LeavingNews:
    """Sends and receives announcements of servers that leave."""

    def __init__(self, board: DirectBoard, datagram_port: DatagramPort) -> None:
        self.board = board
        self.datagram_port = datagram_port
        self.unsent: list[ServerStart] = []
        self.repeat_until: dict[ServerStart, float] = {}

    def start(self) -> None:
        """Start to repeat the news in a greenlet."""
        run_controller(self.repeat_news, REPEAT_INTERVAL_S)

    def publish(self, start: ServerStart) -> None:
        """Schedule sending the news that a server announced its leaving to this VM."""
        self.unsent.append(start)
        if len(self.unsent) == 1:
            eventlet.spawn_after(BATCH_DELAY_S, self.send_unsent)

    def send_unsent(self) -> None:
        """Send the news since the last call, and repeat it for some time."""
        starts, self.unsent = self.unsent, []
        repeat_until = clock.now() + REPEAT_FOR_S
        self.repeat_until.update(dict.fromkeys(starts, repeat_until))
        while len(self.repeat_until) > MAX_REPEATED_SERVERS:
            del self.repeat_until[next(iter(self.repeat_until))]
        self.send_news(starts)

    def repeat_news(self) -> None:
        """Send the recent news again."""
        now = clock.now()
        self.repeat_until = {
            start: until for start, until in self.repeat_until.items() if now < until
        }
        self.send_news(list(self.repeat_until))

    def send_news(self, starts: list[ServerStart]) -> None:
        """Send news to the live entries of this domain, split over datagrams."""
        peers = self.board.peers
        hosts = [
            peer.host
            for peer in peers.live(clock.now())
            if peer.failure_domain == peers.own_domain
        ]
        for first in range(0, len(starts), MAX_SERVERS_PER_DATAGRAM):
            servers = [
                schema.LeavingServer(start.server_id, *start.address, start.born_ms)
                for start in starts[first : first + MAX_SERVERS_PER_DATAGRAM]
            ]
            self.datagram_port.send_all(hosts, leaving=schema.LeavingNews(servers))

    def receive(self, news: Any, host: str) -> None:
        """Record the servers that another entry reports as leaving."""
        for server in news.servers or ():
            if None in (server.server_id, server.host, server.port, server.born_ms):
                logger.warning(
                    "received the news of a leaving server with missing fields",
                    extra={"peer": host, "server": str(server)[:200]},
                )
                continue
            start = ServerStart(
                server.server_id, (server.host, server.port), server.born_ms
            )
            if self.board.backends.announcements.record_leaving(start):
                log_decision(
                    "server leaving",
                    start.server_id,
                    "no new requests",
                    "announced in an answer to another entry",
                    address=f"{server.host}:{server.port}",
                    born_ms=start.born_ms,
                    peer=host,
                )
