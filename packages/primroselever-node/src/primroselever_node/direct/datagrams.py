"""News among processes: one thrift structure a datagram, sent and forgotten."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING, Any

import eventlet
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from .schema import schema

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_BYTES = 8192

logger = logging.getLogger(__name__)


class DatagramPort:
    """Sends and receives datagrams on one address; all processes use one port."""

    def __init__(
        self, host: str, port: int, receive: Callable[[Any, str], None]
    ) -> None:
        self.receive = receive
        self.port = port
        self.protocol = TBinaryProtocolFactory()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))

    def start(self) -> None:
        """Receive in a greenlet of its own."""
        eventlet.spawn(self.run)

    def send(self, host: str, **kind: Any) -> None:
        """Send one structure; what cannot be sent now is lost."""
        self.send_all((host,), **kind)

    def send_all(self, hosts: Iterable[str], **kind: Any) -> None:
        """Send one structure to several hosts; what cannot be sent now is lost."""
        data = b""
        for host in hosts:
            data = data or serialize(schema.Datagram(**kind), self.protocol)
            try:
                self.socket.sendto(data, (host, self.port))
            except OSError as exc:
                logger.warning("a datagram was not sent", extra={"error": str(exc)})

    def run(self) -> None:
        """Take in datagrams for good; one that cannot be read harms no other."""
        while True:
            try:
                data, (host, _port) = self.socket.recvfrom(MAX_BYTES)
            except OSError as exc:
                logger.warning("no datagram was read", extra={"error": str(exc)})
                eventlet.sleep(0.1)
                continue
            try:
                self.receive(deserialize(schema.Datagram(), data, self.protocol), host)
            except Exception:
                logger.exception("a datagram could not be taken in")
