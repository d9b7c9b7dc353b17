"""Reads of the pieces that an entry owns, before they are requested."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet
from eventlet.semaphore import Semaphore

from primroselever_core.filling.origin_reads import MANIFEST_INDEX

from .. import clock
from ..logs import log_decision
from ..process import spawn_task

if TYPE_CHECKING:
    from primroselever_core.filling.origin_reads import Key

    from .pieces import PieceKeeper

MAX_CONCURRENT_PREFETCHES = 6
RETRY_S = 0.2  # the origin's backoff delays its reads further
DEMAND_VALID_S = 5.0  # agents ask again several times within this

logger = logging.getLogger(__name__)


class Prefetcher:
    """
    Reads owned pieces of versions that are wanted.

    A version is wanted if it was published while this entry ran, or if an agent or
    entry asked for a piece of it that no entry held.
    """

    def __init__(self, keeper: PieceKeeper) -> None:
        self.keeper = keeper
        self.running: set[tuple[str, int]] = set()
        self.demanded_until: dict[Key, float] = {}

    def start(self, model: str, version: int) -> None:
        """Start to read the owned pieces of a version, unless that is in progress."""
        if (model, version) not in self.running:
            self.running.add((model, version))
            spawn_task(self.run, model, version)

    def add_demand(self, key: Key) -> None:
        """Have a requested piece read again that could not be read at once."""
        self.demanded_until[key] = clock.now() + DEMAND_VALID_S
        self.start(*key[:2])

    def run(self, model: str, version: int) -> None:
        """Read the owned and the requested pieces until none is missing."""
        try:
            self.read_all(model, version)
        finally:
            self.running.discard((model, version))

    def read_all(self, model: str, version: int) -> None:
        """Read the manifest, then the pieces in the order of agents' requests."""
        manifest = None
        while manifest is None:
            try:
                manifest = self.keeper.get_manifest(model, version, 0)
            except Exception as exc:  # any error, since nothing starts this again
                logger.warning(
                    "failed to prefetch a manifest", extra={"error": str(exc)}
                )
                if not self.is_wanted(model, version):
                    return
                eventlet.sleep(self.retry_delay_s())
        # The owned pieces depend on the other entries, which are known from then on.
        eventlet.sleep(max(0.0, self.keeper.reader.start_at - clock.now()))
        piece_count = len(manifest.digests)
        while missing := self.list_missing(model, version, piece_count):
            log_decision(
                "weights prefetch progress",
                f"{model}/{version}",
                f"{len(missing)} pieces missing",
                "owned by this entry in its failure domain, or requested",
            )
            pool = eventlet.GreenPool(len(missing))
            slots = Semaphore(MAX_CONCURRENT_PREFETCHES)
            for index in missing:
                pool.spawn(self.read_piece, (model, version, index), slots)
            pool.waitall()
            if not self.is_wanted(model, version):
                log_decision(
                    "weights prefetch progress",
                    f"{model}/{version}",
                    "dropped",
                    "a newer version is published and most pieces are missing",
                )
                return

    def read_piece(self, key: Key, slots: Semaphore) -> None:
        """
        Read a piece, again after a failure while it is wanted.

        Between the attempts the slot is free: pieces that no entry holds do not delay
        those that another entry holds while the origin is down.
        """
        while True:
            try:
                with slots:
                    self.keeper.get_piece(*key, 0)
                return
            except Exception as exc:
                logger.warning("failed to prefetch a piece", extra={"error": str(exc)})
            if not self.is_wanted(*key[:2]):
                return
            eventlet.sleep(self.retry_delay_s())

    def retry_delay_s(self) -> float:
        """Return after how many seconds a failed read is tried again, with jitter."""
        reads = self.keeper.reads
        return max(
            RETRY_S * reads.random.uniform(1.0, 2.0), reads.retry_at - clock.now()
        )

    def list_missing(self, model: str, version: int, piece_count: int) -> list[int]:
        """
        Return the missing pieces that this entry owns or that were requested from it.

        Entries that have been silent for a while still count as owners. Otherwise an
        entry that is cut off from all others would read every piece, and many such
        entries would saturate the origin's link.
        """
        view, now = self.keeper.view(), clock.now()
        self.demanded_until = {
            key: until for key, until in self.demanded_until.items() if until > now
        }
        return [
            index
            for index in range(piece_count)
            if (model, version, index) not in self.keeper.pieces
            and (
                (model, version, index) in self.demanded_until
                or view.rank((model, version, index))[0] == view.own_host
            )
        ]

    def is_wanted(self, model: str, version: int) -> bool:
        """Return whether a version is the newest, nearly read or requested."""
        published = self.keeper.board.catalogue.weights.get(model)
        if published is None or published.version <= version:
            return True
        self.keeper.reader.record_progress()
        progress = self.keeper.reads.progress.get((model, version))
        now = clock.now()
        return (progress is not None and progress.nearly_read) or any(
            key[:2] == (model, version) and until > now
            for key, until in self.demanded_until.items()
            if key[2] != MANIFEST_INDEX
        )
