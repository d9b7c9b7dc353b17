"""Calls from an agent to entries, for manifests and pieces of weights."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from primroselever_core.filling.pieces import PieceDigests, piece_owners
from primroselever_core.filling.progress import MANIFEST
from primroselever_node import clock
from primroselever_node.direct.schema import schema
from primroselever_node.direct.sources import SourceError
from primroselever_node.rpc.client_pool import (
    ClientPool,
    LostReplyError,
    NeverSentError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.filling.section import FillingBoard, WantedWeights

    SliceRecorder = Callable[[int, str, float | None], None]

PIECE_TIMEOUT_S = 2.0  # six pieces of 32 KiB take 0.4 s on a 4 Mbit/s link
# An entry replies "reading" after 1.2 s. After two of them another entry is asked,
# which may hold the piece while the owner reads it again after a restart.
MAX_READING_REPLIES = 2
# An entry that did not answer is asked last for this long: after a loss of power of all
# VMs, most of the entries that are known do not answer yet.
SILENT_S = 2.0

logger = logging.getLogger(__name__)


class EntryReader:
    """Reads manifests and pieces from the entries that own them."""

    def __init__(self, board: FillingBoard, control_port: int) -> None:
        self.board = board
        self.control_port = control_port
        self.clients = ClientPool(schema.DirectPeer)
        self.silent_until: dict[str, float] = {}

    def read_manifest(self, wanted: WantedWeights) -> PieceDigests:
        """Return the digests from an entry; raise ``SourceError`` if none has them."""
        for host in self.source_hosts(wanted, MANIFEST):
            digests = self.call_entry(
                host, "fetch_digests", wanted.model, wanted.version, False, 0
            )
            if digests:
                return PieceDigests(wanted.model, wanted.version, tuple(digests))
        raise SourceError("no entry has the digests")

    def read_piece(
        self,
        manifest: PieceDigests,
        wanted: WantedWeights,
        index: int,
        slice_bytes: Callable[[], int],
        record_slice: SliceRecorder,
    ) -> bytes:
        """
        Return one piece from the first owner that has it.

        ``slice_bytes`` returns the size of the next slice, 0 for the rest of the piece.
        ``record_slice`` gets the size of each slice, the host of its entry, and the
        seconds that it took if the entry held it already, else None. Raise
        ``SourceError`` if no owner sends the correct bytes.
        """
        reason = "no entry is known"
        for host in self.source_hosts(wanted, index):
            data = self.read_piece_from(host, wanted, index, slice_bytes, record_slice)
            if data is None:
                reason = f"{host} did not answer or does not have the piece yet"
            elif not manifest.matches(index, data):
                reason = f"{host} sent bytes that do not match the digest"
            else:
                return data
        raise SourceError(f"piece {index}: {reason}")

    def read_piece_from(
        self,
        host: str,
        wanted: WantedWeights,
        index: int,
        slice_bytes: Callable[[], int],
        record_slice: SliceRecorder,
    ) -> bytes | None:
        """Return a piece from an entry, or None if the entry does not send it."""
        data = b""
        reading_replies = 0
        while True:
            asked_at = clock.now()
            reply = self.call_entry(
                host,
                "fetch_piece",
                wanted.model,
                wanted.version,
                index,
                False,
                len(data),
                slice_bytes(),
                0,
            )
            if reply is not None and reply.state == "reading":
                reading_replies += 1
                if reading_replies < MAX_READING_REPLIES:
                    continue
                return None
            if reply is None or reply.state != "held":
                return None
            if reply.data is None or reply.size is None:
                logger.warning("entry %s sent a piece without bytes or size", host)
                return None
            took_s = clock.now() - asked_at
            record_slice(len(reply.data), host, took_s if data else None)
            data += reply.data
            if not reply.data or len(data) >= reply.size:
                return data

    def source_hosts(self, wanted: WantedWeights, index: int) -> list[str]:
        """Return the owners to ask: up to three in this domain, then one elsewhere."""
        now = clock.now()
        hosts = piece_owners(
            wanted.model, wanted.version, index, self.board.own_domain_hosts()
        )[:3]
        hosts += piece_owners(
            wanted.model, wanted.version, index, self.board.other_domain_hosts()
        )[:1]
        return sorted(hosts, key=lambda host: self.silent_until.get(host, 0.0) > now)

    def call_entry(self, host: str, method: str, *args: Any) -> Any:
        """Call a method of an entry; return None if it does not answer."""
        try:
            reply = self.clients.call_with_retry(
                (host, self.control_port), method, *args, timeout_s=PIECE_TIMEOUT_S
            )
        except (NeverSentError, LostReplyError) as exc:
            logger.info("an entry did not answer a call", extra={"error": str(exc)})
            self.silent_until[host] = clock.now() + SILENT_S
            return None
        self.silent_until.pop(host, None)
        return reply
