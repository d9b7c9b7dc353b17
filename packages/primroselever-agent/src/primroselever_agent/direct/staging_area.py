"""The engine's staging area, which holds one copy of a model and survives the agent."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from opentelemetry.metrics import get_meter

from primroselever_node import clock
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from primroselever_core.filling.loads import Loads
    from primroselever_core.filling.piece_cache import PieceCache
    from primroselever_core.filling.pieces import PieceDigests, Staging
    from primroselever_node.direct.sources import ModelServer

VERIFICATION_VALID_S = 0.2  # staged data may become corrupt at any time
# From the first read of a pass to the order. Operators of engines count what was valid
# 3 s before an order as valid; the call itself may take 1 s.
MAX_CHECK_AGE_S = 1.5

logger = logging.getLogger(__name__)


class StagingArea:
    """
    Reads and writes the staging area.

    ``found`` holds the pieces that an earlier process left, None before the first read.
    Their version is known only when a manifest arrives, and by then another version may
    have been staged over them. They are dropped after the first load. The last pass
    over the area began at ``first_read_at``. Until ``order_by`` it allows an order to
    load; this is 0 if a piece was not valid, or one was staged since.
    """

    def __init__(
        self, model_server: ModelServer, cache: PieceCache, loads: Loads
    ) -> None:
        self.model_server = model_server
        self.cache = cache
        self.loads = loads
        self.found: dict[int, bytes] | None = None
        self.first_read_at = 0.0
        self.order_by = 0.0
        self.repairs = get_meter("primroselever.direct").create_counter(
            "primroselever.direct.fill.repairs",
            description="Corrupt staged pieces, by source of the valid bytes",
        )

    def read_found(self, model: str) -> None:
        """Read the pieces that an earlier process left, once."""
        if self.found is None:
            self.found = self.read_all(model)

    def adopt_found(self, manifest: PieceDigests) -> None:
        """Take valid pieces of a version, left by an earlier process, into memory."""
        valid = {
            index: data
            for index, data in (self.found or {}).items()
            if index < len(manifest.digests) and manifest.matches(index, data)
        }
        for index, data in valid.items():
            self.cache.put(manifest.version, index, data)
        if self.found:
            log_decision(
                "staged pieces adopted",
                f"{manifest.model}/{manifest.version}",
                f"{len(valid)} of {len(manifest.digests)}",
                "left by an earlier process and valid",
            )

    def read_all(self, model: str) -> dict[int, bytes]:
        """Return the staged pieces, up to half of the limit of memory."""
        pieces: dict[int, bytes] = {}
        used_bytes = 0
        for index in sorted(self.model_server.list_staged(model)):
            if used_bytes > self.cache.max_bytes / 2:
                break  # the rest is found when the area is verified
            data = self.model_server.read_staged(model, index)
            if data is not None:
                pieces[index] = data
                used_bytes += len(data)
        return pieces

    def verify(self, staging: Staging) -> set[int]:
        """
        Read the area back; return the pieces that were held and are no longer valid.

        Exactly the pieces with valid digests are marked as held afterwards.
        """
        model, digests = staging.wanted.model, staging.wanted.digests
        valid = set()
        self.first_read_at = clock.now()
        self.order_by = 0.0
        writes = self.loads.writes
        for index in sorted(self.model_server.list_staged(model)):
            if index >= len(digests):
                continue
            data = self.model_server.read_staged(model, index)
            if data is not None and staging.wanted.matches(index, data):
                valid.add(index)
        lost = staging.held - valid
        staging.held = valid
        if staging.complete and self.loads.writes == writes:
            self.order_by = min(
                self.first_read_at + MAX_CHECK_AGE_S,
                clock.now() + VERIFICATION_VALID_S,
            )
        if lost:
            in_memory = lost & set(self.cache.held(staging.wanted.version))
            self.repairs.add(len(in_memory), {"source": "memory"})
            self.repairs.add(len(lost - in_memory), {"source": "entries"})
            log_decision(
                "staging corrupted",
                f"{model}/{staging.wanted.version}",
                "repair",
                f"{len(lost)} pieces no longer match their digests",
                from_memory=len(in_memory),
                from_entries=len(lost - in_memory),
            )
        return lost

    def stage_from_memory(self, staging: Staging) -> int:
        """Stage pieces from memory that the area lacks; return their number."""
        version = staging.wanted.version
        indexes = sorted(set(self.cache.held(version)) - staging.held)
        for index in indexes:
            data = self.cache.get(version, index)
            if data is not None:
                self.stage(staging, index, data)
        return len(indexes)

    def stage(self, staging: Staging, index: int, data: bytes) -> None:
        """Stage one piece; the area must be read back before it is loaded."""
        self.order_by = 0.0
        self.loads.record_write()
        self.model_server.stage_piece(staging.wanted.model, index, data)
        self.order_by = 0.0
        staging.held.add(index)
