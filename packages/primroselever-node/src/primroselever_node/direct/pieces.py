"""
An entry's pieces of weights, which it reads once, verifies and serves.

In each failure domain one entry owns each piece and reads it for the others. In the
origin's failure domain the owner reads it from the origin, in any other domain from
the owner in the origin's domain, or from the origin if that fails. An entry in the
origin's domain that does not own a piece reads it from the owner.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event
from eventlet.semaphore import Semaphore

from primroselever_core.filling.pieces import PieceDigests, piece_owners

from .. import clock
from ..logs import log_decision
from ..process import spawn_task
from ..rpc.client_pool import ClientPool, LostReplyError, NeverSentError
from .schema import schema
from .sources import SourceError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroselever_core.catalogue.model import WeightOrigin
    from primroselever_core.direct_board import DirectBoard

    from .sources import PieceSource

    Key = tuple[str, int, int]

PEER_TIMEOUT_S = 2.5  # above the time after which an entry replies "reading"
# Each call to an entry that replies "reading" takes 1.2 s, so four calls outlast the
# 2 s or so in which the origin sends a version.
RELAY_ATTEMPTS = 4
# Enough to use the origin's link, and few enough to leave capacity to other entries.
MAX_CONCURRENT_ORIGIN_READS = 4
ORIGIN_ATTEMPTS = 3
ORIGIN_RETRY_S = 0.2
VERSIONS_KEPT = 2
# Half of a version takes the origin about 1.3 s.
OLDER_VERSION_WAIT_S = 1.5
OLDER_VERSION_POLL_S = 0.02
REQUIRED_EQUAL_MANIFESTS = 2  # because the origin may send corrupt bytes
MANIFEST_ATTEMPTS = 6
MAX_CONCURRENT_PREFETCHES = 6
PREFETCH_START_DELAY_S = 1.2  # two heartbeats of 0.5 s make the other owners known

logger = logging.getLogger(__name__)


class PieceKeeper:
    """The pieces that an entry holds, by model, version and index."""

    def __init__(
        self, board: DirectBoard, source: PieceSource, control_port: int
    ) -> None:
        self.board = board
        self.source = source
        self.control_port = control_port
        self.pool = ClientPool(schema.DirectPeer)
        self.manifests: dict[tuple[str, int], PieceDigests] = {}
        self.pieces: dict[Key, bytes] = {}
        self.pending_reads: dict[Key | tuple[str, int], Event] = {}
        self.origin_slots = Semaphore(MAX_CONCURRENT_ORIGIN_READS)
        self.origin_bytes = 0
        # Pieces read from the origin, by model and version.
        self.read_counts: Counter[tuple[str, int]] = Counter()
        self.prefetch_after = clock.now() + PREFETCH_START_DELAY_S

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
        """Read a manifest from its owner in the origin's domain, or from the origin."""
        origin = self.require_origin()
        manifest: PieceDigests | None = None
        # The index -1 stands for the manifest, which thus has owners as a piece has.
        for host in self.iter_relay_hosts(model, version, -1, origin, hops):
            try:
                digests = self.call_entry(
                    host, "fetch_digests", model, version, True, self.next_hops(origin)
                )
            except SourceError:
                continue
            if digests:
                manifest = PieceDigests(model, version, tuple(digests))
                break
        if manifest is None:
            manifest = self.read_agreed_manifest(origin, model, version)
        self.manifests[model, version] = manifest
        self.drop_old_versions(model)
        return manifest

    def read_agreed_manifest(
        self, origin: WeightOrigin, model: str, version: int
    ) -> PieceDigests:
        """Return the first manifest of which the origin sent enough equal copies."""
        copies: Counter[PieceDigests] = Counter()
        for attempt in range(MANIFEST_ATTEMPTS):
            try:
                copy = self.source.read_manifest(origin.address, model, version)
            except SourceError:
                if attempt + 1 == MANIFEST_ATTEMPTS:
                    raise
                eventlet.sleep(ORIGIN_RETRY_S)
                continue
            copies[copy] += 1
            if copies[copy] >= REQUIRED_EQUAL_MANIFESTS:
                return copy
        raise SourceError("the origin sent too few equal copies of the manifest")

    def read_piece(self, key: Key, hops: int) -> bytes:
        """Read a piece from an owner in the origin's domain, or from the origin."""
        model, version, index = key
        manifest = self.get_manifest(model, version, hops)
        origin = self.require_origin()
        attempts = ORIGIN_ATTEMPTS
        for host in self.iter_relay_hosts(model, version, index, origin, hops):
            try:
                data = self.read_from_relay(host, key, self.next_hops(origin))
            except SourceError:
                continue  # the relay is unreachable, but the origin may not be
            if data is not None and manifest.matches(index, data):
                self.pieces[key] = data
                return data
            # The relay cannot read the origin, so more attempts here would only delay
            # the next request to a relay.
            attempts = 1
        data = self.read_from_origin(origin, manifest, index, attempts)
        self.pieces[key] = data
        return data

    def read_from_relay(self, host: str, key: Key, hops: int) -> bytes | None:
        """
        Return a piece from another entry, or None if it lacks the piece.

        Call again while it reads; raise ``SourceError`` if it does not answer.
        """
        for _ in range(RELAY_ATTEMPTS):
            reply = self.call_entry(host, "fetch_piece", *key, True, 0, 0, hops)
            if reply.state == "held":
                return bytes(reply.data)
            if reply.state != "reading":
                return None
        return None

    def read_from_origin(
        self, origin: WeightOrigin, manifest: PieceDigests, index: int, attempts: int
    ) -> bytes:
        """Return a piece from the origin after verifying its digest."""
        for attempt in range(attempts):
            if attempt:
                eventlet.sleep(ORIGIN_RETRY_S)
            self.wait_for_older_version(manifest)
            try:
                with self.origin_slots:
                    data = self.source.read_piece(
                        origin.address, manifest.model, manifest.version, index
                    )
            except SourceError as exc:
                reason = str(exc)
                continue
            self.origin_bytes += len(data)
            self.read_counts[manifest.model, manifest.version] += 1
            if manifest.matches(index, data):
                return data
            reason = "its bytes do not match the digest"
            log_decision(
                "piece rejected", f"{manifest.model}/{index}", "origin", reason
            )
        raise SourceError(
            f"failed to read piece {index} of {manifest.model} from the origin: "
            f"{reason}"
        )

    def wait_for_older_version(self, manifest: PieceDigests) -> None:
        """
        Wait while an older version is being read that has most of its pieces.

        If two versions shared the origin's link, the older one would be complete later
        and the newer one not earlier.
        """
        deadline = clock.now() + OLDER_VERSION_WAIT_S
        while clock.now() < deadline and any(
            self.is_nearly_read(older)
            for older in self.manifests.values()
            if older.model == manifest.model and older.version < manifest.version
        ):
            eventlet.sleep(OLDER_VERSION_POLL_S)

    def is_nearly_read(self, manifest: PieceDigests) -> bool:
        """Return whether most but not all requested pieces of a version are read."""
        key = (manifest.model, manifest.version)
        pending_count = sum(1 for pending in self.pending_reads if pending[:2] == key)
        return 0 < pending_count < self.read_counts[key]

    def iter_relay_hosts(
        self, model: str, version: int, index: int, origin: WeightOrigin, hops: int
    ) -> Iterator[str]:
        """
        Yield the hosts to call before the origin, in order of ownership.

        In the origin's own domain this is the owner, unless it is this entry. An entry
        of another domain knows only some of the entries there, so that its call often
        comes to another one than the owner; without the second hop each of these would
        read the piece from the origin. ``hops`` is how often the call was relayed.
        """
        peers = self.board.peers
        own_domain = peers.own_domain
        if hops >= relay_limit(own_domain, origin):
            return
        hosts = peers.live_domain_hosts(origin.failure_domain, clock.now())
        owners = piece_owners(model, version, index, hosts)
        if own_domain == origin.failure_domain:
            if owners[0] != peers.own_host:
                yield owners[0]
            return
        yield from owners[:2]

    def next_hops(self, origin: WeightOrigin) -> int:
        """Return the number of hops of a call that this entry relays."""
        return relay_limit(self.board.peers.own_domain, origin)

    def call_entry(self, host: str, method: str, *args: Any) -> Any:
        """Call another entry, or raise ``SourceError``."""
        try:
            return self.pool.call_with_retry(
                (host, self.control_port), method, *args, timeout_s=PEER_TIMEOUT_S
            )
        except (NeverSentError, LostReplyError) as exc:
            raise SourceError(str(exc)) from exc

    def require_origin(self) -> WeightOrigin:
        """Return the origin, or raise ``SourceError``."""
        origin = self.find_origin()
        if origin is None:
            raise SourceError(
                "no service in the configuration has an origin of weights"
            )
        return origin

    def drop_old_versions(self, model: str) -> None:
        """Drop all but the newest ``VERSIONS_KEPT`` versions of a model."""
        versions = sorted(
            {
                manifest_version
                for manifest_model, manifest_version in self.manifests
                if manifest_model == model
            }
        )
        for version in versions[:-VERSIONS_KEPT]:
            del self.manifests[model, version]
            for key in [key for key in self.pieces if key[:2] == (model, version)]:
                del self.pieces[key]

    def prefetch(self, model: str, version: int) -> None:
        """Start to read the pieces that this entry owns, in a greenlet."""
        spawn_task(self.run_prefetch, model, version)

    def run_prefetch(self, model: str, version: int) -> None:
        """Read the owned pieces in the order of agents' requests, several at a time."""
        eventlet.sleep(max(0.0, self.prefetch_after - clock.now()))
        while True:
            try:
                manifest = self.get_manifest(model, version, 0)
            except Exception as exc:  # any error, since nothing starts this again
                logger.warning(
                    "failed to prefetch a manifest", extra={"error": str(exc)}
                )
            else:
                break
            if not self.is_newest(model, version):
                return
            eventlet.sleep(ORIGIN_RETRY_S)
        while True:
            owned_indexes = self.list_owned_indexes(manifest)
            missing = [
                index
                for index in owned_indexes
                if (model, version, index) not in self.pieces
            ]
            log_decision(
                "weights prefetch progress",
                f"{model}/{version}",
                f"{len(owned_indexes) - len(missing)} of {len(owned_indexes)} pieces",
                "owned by this entry in its failure domain",
            )
            if not missing or not self.is_newest(model, version):
                return
            pool = eventlet.GreenPool(MAX_CONCURRENT_PREFETCHES)
            for index in missing:
                pool.spawn(self.prefetch_piece, model, version, index)
            pool.waitall()
            eventlet.sleep(ORIGIN_RETRY_S)

    def list_owned_indexes(self, manifest: PieceDigests) -> list[int]:
        """
        Return the indexes of the pieces that this entry owns in its failure domain.

        Entries that have been silent for a while still count as owners. Otherwise an
        entry that is cut off from all others would read every piece, and many such
        entries would saturate the origin's link.
        """
        peers = self.board.peers
        members = peers.domain_members(peers.own_domain)
        return [
            index
            for index in range(len(manifest.digests))
            if piece_owners(manifest.model, manifest.version, index, members)[0]
            == peers.own_host
        ]

    def is_newest(self, model: str, version: int) -> bool:
        """Return whether no newer version of a model is known."""
        published = self.board.catalogue.weights.get(model)
        return published is None or published.version <= version

    def prefetch_piece(self, model: str, version: int, index: int) -> None:
        """Read a piece, again after a failure unless a newer version is known."""
        while True:
            try:
                self.get_piece(model, version, index, 0)
                return
            except Exception as exc:
                logger.warning("failed to prefetch a piece", extra={"error": str(exc)})
            if not self.is_newest(model, version):
                return
            eventlet.sleep(ORIGIN_RETRY_S)


def relay_limit(domain: str, origin: WeightOrigin) -> int:
    """
    Return how many hops a call has at most when an entry of a domain relays it.

    The first hop leads to the origin's domain, the second one to the owner there.
    """
    return 2 if domain == origin.failure_domain else 1
