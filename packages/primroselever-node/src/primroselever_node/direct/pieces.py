"""
An entry's pieces of weights: read once, verified, handed to agents and other domains.

In the origin's failure domain the owner of a piece reads it from the origin; in the
others it reads it from that owner, or from the origin when that fails.
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
from ..rpc.client_pool import ClientPool, LostReplyError, NeverSentError
from .schema import schema
from .sources import SourceError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroselever_core.catalogue.model import WeightOrigin
    from primroselever_core.direct_board import DirectBoard

    from .sources import WeightSource

    Key = tuple[str, int, int]

PEER_PIECE_S = 2.5  # above the time after which an entry says that it still reads
RELAY_ASKS = 4  # of an entry that says so; a whole version takes the origin some 2 s
ORIGIN_READS_AT_ONCE = 4  # keeps the origin's link busy and leaves it to other entries
ORIGIN_TRIES = 3
ORIGIN_RETRY_S = 0.2
VERSIONS_KEPT = 2
MANIFEST_COPIES = 2  # copies that must agree, since the origin may send wrong bytes
MANIFEST_READS = 6
PREFETCHES_AT_ONCE = 6
SETTLE_S = 1.2  # after a start; two heartbeats of 0.5 s tell who else owns pieces

logger = logging.getLogger(__name__)


class PieceKeeper:
    """The pieces that an entry holds, by model, version and number."""

    def __init__(
        self, board: DirectBoard, source: WeightSource, control_port: int
    ) -> None:
        self.board = board
        self.source = source
        self.control_port = control_port
        self.pool = ClientPool(schema.DirectPeer)
        self.manifests: dict[tuple[str, int], PieceDigests] = {}
        self.pieces: dict[Key, bytes] = {}
        self.reading: dict[Key | tuple[str, int], Event] = {}
        self.origin_slots = Semaphore(ORIGIN_READS_AT_ONCE)
        self.origin_bytes = 0
        self.settled_at = clock.now() + SETTLE_S

    def origin(self) -> WeightOrigin | None:
        """Return the origin that the configuration names."""
        configuration = self.board.catalogue.configuration
        if configuration is None:
            return None
        for service in configuration.services:
            if service.origin is not None:
                return service.origin
        return None

    def digests(self, model: str, version: int, relayed: bool) -> PieceDigests:
        """Return the digests of a version, or raise ``SourceError``."""
        key = (model, version)
        if key in self.manifests:
            return self.manifests[key]
        return self.once(key, lambda: self.read_digests(model, version, relayed))

    def piece(self, model: str, version: int, index: int, relayed: bool) -> bytes:
        """Return a verified piece, or raise ``SourceError``."""
        key = (model, version, index)
        if key in self.pieces:
            return self.pieces[key]
        return self.once(key, lambda: self.read_piece(key, relayed))

    def once(self, key: Any, read: Any) -> Any:
        """Let one greenlet read and all others that want the same wait for it."""
        event = self.reading.get(key)
        if event is None:
            event = self.reading[key] = Event()
            eventlet.spawn(self.read_for_all, key, read, event)
        return event.wait()

    def read_for_all(self, key: Any, read: Any, event: Event) -> None:
        """Read once and wake all who wait; nobody's impatience ends the reading."""
        try:
            value = read()
        except Exception as exc:
            del self.reading[key]
            event.send_exception(exc)
        else:
            del self.reading[key]
            event.send(value)

    def read_digests(self, model: str, version: int, relayed: bool) -> PieceDigests:
        """Read a manifest from another domain's entries, or from the origin."""
        origin = self.require_origin()
        found: PieceDigests | None = None
        for host in self.relays(model, version, -1, origin, relayed):
            try:
                digests = self.ask(host, "fetch_digests", model, version, True)
            except SourceError:
                continue
            if digests:
                found = PieceDigests(model, version, tuple(digests))
                break
        if found is None:
            found = self.agreed_manifest(origin, model, version)
        self.manifests[model, version] = found
        self.drop_old_versions(model)
        return found

    def agreed_manifest(
        self, origin: WeightOrigin, model: str, version: int
    ) -> PieceDigests:
        """Return the manifest of which the origin sent equal copies."""
        copies: Counter[PieceDigests] = Counter()
        for attempt in range(MANIFEST_READS):
            try:
                copy = self.source.digests(origin.address, model, version)
            except SourceError:
                if attempt + 1 == MANIFEST_READS:
                    raise
                eventlet.sleep(ORIGIN_RETRY_S)
                continue
            copies[copy] += 1
            if copies[copy] >= MANIFEST_COPIES:
                return copy
        raise SourceError("the origin's manifests do not agree")

    def read_piece(self, key: Key, relayed: bool) -> bytes:
        """Read a piece from another domain's owner, or from the origin."""
        model, version, index = key
        digests = self.digests(model, version, relayed)
        origin = self.require_origin()
        for host in self.relays(model, version, index, origin, relayed):
            data = self.read_from_relay(host, key)
            if data is not None and digests.fits(index, data):
                self.pieces[key] = data
                return data
        data = self.read_from_origin(origin, digests, index)
        self.pieces[key] = data
        return data

    def read_from_relay(self, host: str, key: Key) -> bytes | None:
        """Return a piece from another domain's entry, asking on while it reads it."""
        for _ in range(RELAY_ASKS):
            try:
                reply = self.ask(host, "fetch_piece", *key, True, 0, 0)
            except SourceError:
                return None
            if reply.state == "held":
                return bytes(reply.data)
            if reply.state != "reading":
                return None
        return None

    def read_from_origin(
        self, origin: WeightOrigin, digests: PieceDigests, index: int
    ) -> bytes:
        """Return a piece from the origin that fits its digest."""
        for attempt in range(ORIGIN_TRIES):
            if attempt:
                eventlet.sleep(ORIGIN_RETRY_S)
            try:
                with self.origin_slots:
                    data = self.source.piece(
                        origin.address, digests.model, digests.version, index
                    )
            except SourceError as exc:
                reason = str(exc)
                continue
            self.origin_bytes += len(data)
            if digests.fits(index, data):
                return data
            reason = "its bytes do not fit the digest"
            log_decision("piece refused", f"{digests.model}/{index}", "origin", reason)
        raise SourceError(f"piece {index} of {digests.model}: {reason}")

    def relays(
        self, model: str, version: int, index: int, origin: WeightOrigin, relayed: bool
    ) -> Iterator[str]:
        """Yield the entries to ask before the origin, best first."""
        own = self.board.identity.failure_domain
        if relayed or own == origin.failure_domain:
            return
        hosts = self.board.peers.domain_hosts(origin.failure_domain, clock.now())
        yield from piece_owners(model, version, index, hosts)[:2]

    def ask(self, host: str, method: str, *args: Any) -> Any:
        """Call another entry, or raise ``SourceError``."""
        try:
            return self.pool.call_again(
                (host, self.control_port), method, *args, timeout_s=PEER_PIECE_S
            )
        except (NeverSentError, LostReplyError) as exc:
            raise SourceError(str(exc)) from exc

    def require_origin(self) -> WeightOrigin:
        """Return the origin, or raise ``SourceError``."""
        origin = self.origin()
        if origin is None:
            raise SourceError("the configuration names no origin of weights")
        return origin

    def drop_old_versions(self, model: str) -> None:
        """Keep the newest versions of a model only."""
        versions = sorted({v for m, v in self.manifests if m == model})
        for version in versions[:-VERSIONS_KEPT]:
            del self.manifests[model, version]
            for key in [k for k in self.pieces if k[:2] == (model, version)]:
                del self.pieces[key]

    def prefetch(self, model: str, version: int) -> None:
        """Read the pieces that this entry owns, in the background."""
        eventlet.spawn(self.run_prefetch, model, version)

    def run_prefetch(self, model: str, version: int) -> None:
        """Read owned pieces, a few at once, in the order in which agents ask."""
        eventlet.sleep(max(0.0, self.settled_at - clock.now()))
        while True:
            try:
                digests = self.digests(model, version, False)
            except SourceError as exc:
                logger.warning(
                    "a manifest was not read ahead", extra={"error": str(exc)}
                )
            else:
                break
            if not self.newest(model, version):
                return
            eventlet.sleep(ORIGIN_RETRY_S)
        while True:
            owned = self.owned(digests)
            missing = [i for i in owned if (model, version, i) not in self.pieces]
            log_decision(
                "weights read ahead",
                f"{model}/{version}",
                f"{len(owned) - len(missing)} of {len(owned)} pieces",
                "this entry owns them in its failure domain",
            )
            if not missing or not self.newest(model, version):
                return
            pool = eventlet.GreenPool(PREFETCHES_AT_ONCE)
            for index in missing:
                pool.spawn(self.prefetch_one, model, version, index)
            pool.waitall()
            eventlet.sleep(ORIGIN_RETRY_S)

    def owned(self, digests: PieceDigests) -> list[int]:
        """
        Return the pieces that this entry owns in its failure domain.

        Who was heard a while ago still owns its pieces: an entry that is cut off from
        all others would read every piece, and many such entries fill the origin's link.
        """
        peers = self.board.peers
        members = peers.domain_members(peers.own_domain)
        return [
            index
            for index in range(len(digests.digests))
            if piece_owners(digests.model, digests.version, index, members)[0]
            == peers.own_host
        ]

    def newest(self, model: str, version: int) -> bool:
        """Return whether no newer version of a model was named."""
        named = self.board.catalogue.weights.get(model)
        return named is None or named.version <= version

    def prefetch_one(self, model: str, version: int, index: int) -> None:
        """Read one piece; agents ask again for one that failed."""
        try:
            self.piece(model, version, index, False)
        except SourceError as exc:
            logger.warning("a piece was not read ahead", extra={"error": str(exc)})
