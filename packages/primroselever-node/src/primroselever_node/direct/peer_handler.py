"""The thrift service that an entry offers to other entries and to agents."""

from __future__ import annotations

import logging
import zlib
from typing import TYPE_CHECKING, Any

import eventlet

from .origin_reader import OriginFailedError
from .received_catalogues import catalogue_serializer
from .schema import schema
from .sources import SourceError

if TYPE_CHECKING:
    from primroselever_core.catalogue.catalogue_copy import CatalogueCopy
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.filling.origin_reads import Key

    from .pieces import PieceKeeper

PENDING_RETRY_MS = 200
# Below the timeout of the calling process, which learns from the "reading" reply that
# this entry is alive.
READ_WAIT_S = 1.2
MAX_HOPS = 2  # an entry that gets a call with this many does not relay it
PACKED_LEVEL = 1  # the fastest; routes compress to about a tenth

logger = logging.getLogger(__name__)


class DirectPeerHandler:
    """Serves the catalogue and pieces of weights."""

    def __init__(self, board: DirectBoard, keeper: PieceKeeper) -> None:
        self.board = board
        self.keeper = keeper
        self.packed_copy: CatalogueCopy | None = None
        self.packed_text = b""

    def fetch_catalogue(self, store_revision: int, packed: bool) -> bytes:
        """Return the whole catalogue as JSON, compressed if ``packed`` is set."""
        copy = self.board.catalogue.copy()
        if copy != self.packed_copy:
            text = catalogue_serializer.dump_json(copy)
            self.packed_copy, self.packed_text = copy, zlib.compress(text, PACKED_LEVEL)
        return self.packed_text if packed else zlib.decompress(self.packed_text)

    def fetch_piece(
        self,
        model: str,
        version: int,
        index: int,
        relayed: bool,
        offset: int,
        length: int,
        hops: int | None,
        claimed_by: str | None = None,
    ) -> Any:
        """
        Return a slice of a piece, which is read first if this entry lacks it.

        With ``claimed_by``, nothing is read.
        """
        if claimed_by is not None:
            return self.answer_claim((model, version, index), claimed_by, length)
        try:
            with eventlet.Timeout(READ_WAIT_S):
                data = self.keeper.get_piece(
                    model, version, index, count_hops(relayed, hops)
                )
        except eventlet.Timeout:
            return schema.PieceReply("reading", b"", 0, 0)
        except SourceError as exc:
            logger.warning("failed to read a piece", extra={"error": str(exc)})
            if isinstance(exc, OriginFailedError):
                self.keeper.prefetcher.add_demand((model, version, index))
            return schema.PieceReply("pending", b"", PENDING_RETRY_MS, 0)
        end = offset + length if length else len(data)
        return schema.PieceReply("held", data[offset:end], 0, len(data))

    def answer_claim(self, key: Key, host: str, length: int) -> Any:
        """Return whether a piece is held, with up to ``length`` bytes of it."""
        try:
            state, holder = self.keeper.answer_claim(key, host)
        except SourceError as exc:
            logger.warning("failed to answer a claim", extra={"error": str(exc)})
            state, holder = "absent", None
        data = self.keeper.pieces.get(key, b"")
        return schema.PieceReply(
            state, data[:length] if length else data, 0, len(data), holder
        )

    def fetch_digests(
        self, model: str, version: int, relayed: bool, hops: int | None
    ) -> list[str]:
        """Return the digests of a version, or an empty list if they are unavailable."""
        try:
            with eventlet.Timeout(READ_WAIT_S):
                manifest = self.keeper.get_manifest(
                    model, version, count_hops(relayed, hops)
                )
            return list(manifest.digests)
        except eventlet.Timeout:
            # A call without an answer would count as an entry that is not reachable.
            return []
        except SourceError as exc:
            logger.warning("failed to read a manifest", extra={"error": str(exc)})
            return []


def count_hops(relayed: bool, hops: int | None) -> int:
    """Return how often a call was relayed; older callers only say whether it was."""
    return hops if hops is not None else MAX_HOPS if relayed else 0
