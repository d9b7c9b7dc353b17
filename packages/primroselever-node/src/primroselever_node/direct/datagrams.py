"""Unacknowledged UDP messages among processes, one thrift structure in each."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING, Any

import eventlet
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import serialize

from .datagram_reader import read_datagram
from .schema import schema

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_RECEIVED_BYTES = 8192  # longer datagrams are cut off and cannot be decoded
# Received without a wait in between, after which other greenlets run: a read that finds
# a datagram does not wait. One takes up to about 0.2 ms.
DATAGRAMS_BEFORE_YIELD = 16

logger = logging.getLogger(__name__)


class DatagramPort:
    """Sends and receives datagrams; all processes use the same port number."""

    def __init__(
        self, host: str, port: int, receive: Callable[[Any, str], None]
    ) -> None:
        self.receive = receive
        self.port = port
        self.protocol = TBinaryProtocolFactory()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))

    def start(self) -> None:
        """Start to receive in a greenlet."""
        eventlet.spawn(self.run)

    def send(self, host: str, **structure: Any) -> None:
        """Send one structure to a host; log a failure and do not retry."""
        self.send_all((host,), **structure)

    def send_all(self, hosts: Iterable[str], **structure: Any) -> None:
        """Send one structure to several hosts; log failures and do not retry."""
        data = b""
        for host in hosts:
            data = data or serialize(schema.Datagram(**structure), self.protocol)
            try:
                self.socket.sendto(data, (host, self.port))
            except (OSError, TypeError, ValueError) as exc:  # invalid hosts too
                logger.warning("failed to send a datagram", extra={"error": str(exc)})

    def run(self) -> None:
        """Receive datagrams forever; an invalid one does not affect the others."""
        received_count = 0
        while True:
            received_count += 1
            if received_count % DATAGRAMS_BEFORE_YIELD == 0:
                eventlet.sleep(0)
            try:
                data, (host, _port) = self.socket.recvfrom(MAX_RECEIVED_BYTES)
            except OSError as exc:
                logger.warning(
                    "failed to receive a datagram", extra={"error": str(exc)}
                )
                eventlet.sleep(0.1)
                continue
            try:
                datagram = read_datagram(data)
            except ValueError as exc:
                logger.warning(
                    "received an invalid datagram",
                    extra={"peer": host, "error": str(exc)},
                )
                continue
            try:
                self.receive(datagram, host)
            except Exception:
                logger.exception("failed to process a datagram")
