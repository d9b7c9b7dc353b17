"""What an entry answers other processes over thrift."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet
from pydantic import TypeAdapter

from primroselever_core.catalogue.catalogue_copy import CatalogueCopy

from .schema import schema
from .sources import SourceError

if TYPE_CHECKING:
    from primroselever_core.direct_board import DirectBoard

    from .pieces import PieceKeeper

RETRY_MS = 200
STILL_READING_S = 1.2  # below the patience of who asks, which learns that this lives

logger = logging.getLogger(__name__)
copies: TypeAdapter[CatalogueCopy] = TypeAdapter(CatalogueCopy)


class DirectPeerHandler:
    """Hands out the catalogue and pieces of weights."""

    def __init__(self, board: DirectBoard, keeper: PieceKeeper) -> None:
        self.board = board
        self.keeper = keeper

    def fetch_catalogue(self, store_revision: int) -> bytes:
        """Return the whole catalogue as JSON."""
        return copies.dump_json(self.board.catalogue.copy())

    def fetch_piece(
        self,
        model: str,
        version: int,
        index: int,
        relayed: bool,
        offset: int,
        length: int,
    ) -> Any:
        """Return a slice of a piece, read from where it is to be had if need be."""
        try:
            with eventlet.Timeout(STILL_READING_S):
                data = self.keeper.piece(model, version, index, relayed)
        except eventlet.Timeout:
            return schema.PieceReply("reading", b"", 0, 0)
        except SourceError as exc:
            logger.warning("a piece is not to be had", extra={"error": str(exc)})
            return schema.PieceReply("pending", b"", RETRY_MS, 0)
        end = offset + length if length else len(data)
        return schema.PieceReply("held", data[offset:end], 0, len(data))

    def fetch_digests(self, model: str, version: int, relayed: bool) -> list[str]:
        """Return the digests of a version, none when they are not to be had."""
        try:
            return list(self.keeper.digests(model, version, relayed).digests)
        except SourceError as exc:
            logger.warning("a manifest is not to be had", extra={"error": str(exc)})
            return []
