"""The thrift service that an entry offers to other entries and to agents."""

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

PENDING_RETRY_MS = 200
# Below the timeout of the calling process, which learns from the "reading" reply that
# this entry is alive.
READ_WAIT_S = 1.2

logger = logging.getLogger(__name__)
catalogue_serializer: TypeAdapter[CatalogueCopy] = TypeAdapter(CatalogueCopy)


class DirectPeerHandler:
    """Serves the catalogue and pieces of weights."""

    def __init__(self, board: DirectBoard, keeper: PieceKeeper) -> None:
        self.board = board
        self.keeper = keeper

    def fetch_catalogue(self, store_revision: int) -> bytes:
        """Return the whole catalogue as JSON."""
        return catalogue_serializer.dump_json(self.board.catalogue.copy())

    def fetch_piece(
        self,
        model: str,
        version: int,
        index: int,
        relayed: bool,
        offset: int,
        length: int,
    ) -> Any:
        """Return a slice of a piece, which is read first if this entry lacks it."""
        try:
            with eventlet.Timeout(READ_WAIT_S):
                data = self.keeper.get_piece(model, version, index, relayed)
        except eventlet.Timeout:
            return schema.PieceReply("reading", b"", 0, 0)
        except SourceError as exc:
            logger.warning("failed to read a piece", extra={"error": str(exc)})
            return schema.PieceReply("pending", b"", PENDING_RETRY_MS, 0)
        end = offset + length if length else len(data)
        return schema.PieceReply("held", data[offset:end], 0, len(data))

    def fetch_digests(self, model: str, version: int, relayed: bool) -> list[str]:
        """Return the digests of a version, or an empty list if they are unavailable."""
        try:
            return list(self.keeper.get_manifest(model, version, relayed).digests)
        except SourceError as exc:
            logger.warning("failed to read a manifest", extra={"error": str(exc)})
            return []
