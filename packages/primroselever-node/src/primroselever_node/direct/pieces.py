"""
An entry's pieces of weights, which it reads once, verifies and serves.

In each failure domain one entry reads each piece for the others. In the origin's
failure domain it reads the origin, in any other domain an entry of the origin's domain.
"""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event

from primroselever_core.filling.origin_reads import (
    MANIFEST_INDEX,
    NEARLY_READ_SHARE,
    OriginReads,
)
from primroselever_core.filling.pieces import PieceDigests
from primroselever_core.filling.relays import FleetView

from .. import clock
from ..rpc.client_pool import ClientPool, LostReplyError, NeverSentError
from .origin_reader import OriginReader
from .prefetch import Prefetcher
from .schema import schema
from .sources import SourceError

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.catalogue.model import WeightOrigin
    from primroselever_core.direct_board import DirectBoard
    from primroselever_core.filling.origin_reads import Key
    from primroselever_core.filling.relays import Relay

    from .sources import PieceSource

PEER_TIMEOUT_S = 2.5  # above the time after which an entry replies "reading"
# Reads of a slow origin take up to 3 s. After this time the caller is told to call
# again, which may reach an entry that has the piece by then.
RELAY_WAIT_S = 10.0
VERSIONS_KEPT = 2

logger = logging.getLogger(__name__)


class PieceKeeper:
    """The pieces that an entry holds, by model, version and index."""

    def __init__(
        self, board: DirectBoard, source: PieceSource, control_port: int
    ) -> None:
        self.board = board
        self.control_port = control_port
        self.pool = ClientPool(schema.DirectPeer)
        self.manifests: dict[tuple[str, int], PieceDigests] = {}
        self.pieces: dict[Key, bytes] = {}
        self.pending_reads: dict[Key | tuple[str, int], Event] = {}
        self.started_at = clock.now()
        # Without this, each late request would read a dropped version again.
        self.dropped: set[tuple[str, int]] = set()
        self.reads = OriginReads(board.peers.own_host, Random())
        self.reader = OriginReader(self, source, self.reads)
        self.prefetcher = Prefetcher(self)

    def find_origin(self) -> WeightOrigin | None:
        """Return the configured origin of weights, or None if there is none."""
        configuration = self.board.catalogue.configuration
        if configuration is None:
            return None
        for service in configuration.services:
            if service.origin is not None:
                return service.origin
        return None

    def get_manifest(self, model: str, version: int, hops: int) -> PieceDigests:
        """Return the manifest of a version, or raise ``SourceError``."""
        key = (model, version)
        if key in self.manifests:
            return self.manifests[key]
        if key in self.dropped:
            raise SourceError(f"version {version} of {model} is no longer kept")
        return self.read_once(key, lambda: self.read_manifest(model, version, hops))

    def get_piece(self, model: str, version: int, index: int, hops: int) -> bytes:
        """Return a verified piece, or raise ``SourceError``."""
        key = (model, version, index)
        if key in self.pieces:
            return self.pieces[key]
        return self.read_once(key, lambda: self.read_piece(key, hops))

    def read_once(self, key: Any, read: Any) -> Any:
        """Return the result of ``read``, run once for all concurrent calls of a key."""
        event = self.pending_reads.get(key)
        if event is None:
            event = self.pending_reads[key] = Event()
            eventlet.spawn(self.read_and_notify, key, read, event)
        return event.wait()

    def read_and_notify(self, key: Any, read: Any, event: Event) -> None:
        """
        Read and wake all waiters; a waiter's timeout does not cancel the read.

        An error is logged, since all waiters may have left.
        """
        try:
            value = read()
        except Exception as exc:
            if isinstance(exc, SourceError):
                logger.warning("failed to read weights", extra={"error": str(exc)})
            else:
                logger.exception("unexpected error while reading weights")
            del self.pending_reads[key]
            event.send_exception(exc)
        else:
            del self.pending_reads[key]
            event.send(value)

    def read_manifest(self, model: str, version: int, hops: int) -> PieceDigests:
        """Read a manifest from another entry or from the origin."""
        key = (model, version, MANIFEST_INDEX)

        def fetch(relay: Relay) -> PieceDigests | None:
            digests = self.call_entry(
                relay.host, "fetch_digests", model, version, True, relay.hops
            )
            return PieceDigests(model, version, tuple(digests)) if digests else None

        manifest = self.read_from_relays(key, hops, fetch)
        if manifest is None:
            manifest = self.reader.read_manifest(key, fetch)
        self.manifests[model, version] = manifest
        self.drop_old_versions(model)
        return manifest

    def read_piece(self, key: Key, hops: int) -> bytes:
        """Read a piece from another entry or from the origin."""
        model, version, index = key
        manifest = self.get_manifest(model, version, hops)
        if (model, version) in self.dropped:
            # An old version is dropped as soon as its manifest was read.
            raise SourceError(f"version {version} of {model} is no longer kept")
        if not 0 <= index < len(manifest.digests):
            raise SourceError(f"the manifest of {model}/{version} has no piece {index}")

        def fetch(relay: Relay) -> bytes | None:
            return self.read_from_relay(relay, key, manifest)

        data = self.read_from_relays(key, hops, fetch)
        if data is None:
            data = self.reader.read_piece(key, manifest, fetch)
        # A version that was dropped during the read would never be dropped again.
        if (model, version) not in self.dropped:
            self.pieces[key] = data
            self.board.holdings.own.setdefault((model, version), set()).add(index)
        return data

    def read_from_relays(
        self, key: Key, hops: int, fetch: Callable[[Relay], Any]
    ) -> Any:
        """
        Return what another entry sent, or None if this entry is to read the origin.

        Raise ``SourceError`` if the piece has to come from another entry that has not
        read it yet: reads of several entries would slow the origin down further.
        """
        view = self.view()
        for relays in (view.relays(key, hops), view.origin_relays(key)):
            refused_by = None
            for relay in relays:
                # A call before this one may have taken seconds, for example when the
                # other entries were cut off.
                if relay.host not in self.view().live:
                    continue
                try:
                    value = fetch(relay)
                except SourceError as exc:
                    logger.info("an entry did not answer", extra={"error": str(exc)})
                    continue
                if value is not None:
                    return value
                if not relay.only_held:
                    refused_by = relay.host
                    break
            if refused_by is not None:
                raise SourceError(f"{refused_by} has not read {key} yet")
        return None

    def read_from_relay(
        self, relay: Relay, key: Key, manifest: PieceDigests
    ) -> bytes | None:
        """
        Return a piece from another entry, or None if it lacks the piece.

        Call again while it reads; raise ``SourceError`` if it does not answer.
        """
        claimed_by = "" if relay.only_held else None
        deadline = clock.now() + RELAY_WAIT_S
        while True:
            reply = self.call_entry(
                relay.host, "fetch_piece", *key, True, 0, 0, relay.hops, claimed_by
            )
            if reply.state == "held" and manifest.matches(key[2], reply.data):
                return bytes(reply.data)
            if reply.state != "reading" or relay.only_held or clock.now() >= deadline:
                return None

    def call_entry(
        self, host: str, method: str, *args: Any, timeout_s: float = PEER_TIMEOUT_S
    ) -> Any:
        """Call another entry, or raise ``SourceError``."""
        try:
            return self.pool.call_with_retry(
                (host, self.control_port), method, *args, timeout_s=timeout_s
            )
        except (NeverSentError, LostReplyError) as exc:
            raise SourceError(str(exc)) from exc

    def answer_claim(self, key: Key, host: str) -> tuple[str, str | None]:
        """
        Return the state of a piece for an entry that is about to read it.

        An empty ``host`` claims nothing. The second value is the entry to ask instead.
        """
        model, version, index = key
        if key in self.pieces or (
            index == MANIFEST_INDEX and (model, version) in self.manifests
        ):
            return "held", self.board.peers.own_host
        if host:
            claimant = self.reads.answer_claim(key, host, clock.now())
            if claimant is not None:
                return "reading", claimant
        holders = self.view().holders(key, own_domain=True)
        return "absent", next((each for each in holders if each != host), None)

    def view(self) -> FleetView:
        """Return the entries that this entry knows now."""
        peers = self.board.peers
        live = peers.live(clock.now())
        return FleetView(
            peers.own_host,
            peers.own_domain,
            self.require_origin(),
            tuple(peers.domain_members(peers.own_domain)),
            {peer.host: peer.failure_domain for peer in live},
            frozenset(peer.host for peer in live if peer.leaving),
            self.board.holdings,
        )

    def require_origin(self) -> WeightOrigin:
        """Return the origin, or raise ``SourceError``."""
        origin = self.find_origin()
        if origin is None:
            raise SourceError(
                "no service in the configuration has an origin of weights"
            )
        return origin

    def drop_old_versions(self, model: str) -> None:
        """
        Drop all but the newest ``VERSIONS_KEPT`` versions of a model.

        The newest version of which at least half is held is kept as well: if the origin
        fails, engines may be filled with no other one.
        """
        versions = sorted(
            version for each_model, version in self.manifests if each_model == model
        )
        self.reader.record_progress()
        kept = versions[-VERSIONS_KEPT:]
        kept += [
            version
            for version in versions
            if (progress := self.reads.progress.get((model, version))) is not None
            and progress.held >= NEARLY_READ_SHARE * progress.total
        ][-1:]
        for version in versions:
            if version not in kept:
                self.drop_version(model, version)

    def drop_version(self, model: str, version: int) -> None:
        """Drop a version and the reads of it; it is not read again."""
        self.dropped.add((model, version))
        del self.manifests[model, version]
        for key in [key for key in self.pieces if key[:2] == (model, version)]:
            del self.pieces[key]
        self.board.holdings.own.pop((model, version), None)
        self.reads.forget_version(model, version)

    def prefetch(self, model: str, version: int) -> None:
        """Start to read the pieces of a version that this entry owns."""
        self.prefetcher.start(model, version)

    def status(self) -> dict[str, Any]:
        """Return the reads from the origin for the operator."""
        return self.reader.status()
