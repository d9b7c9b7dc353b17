"""
Reads of weights from the origin, after the other entries were asked.

The decisions are those of ``primroselever_core.filling.origin_reads``; this module
makes the calls.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event
from opentelemetry.metrics import get_meter

from primroselever_core.filling.origin_reads import MANIFEST_INDEX
from primroselever_core.filling.relays import LAST_HOP, Relay

from .. import clock
from ..logs import log_decision
from .sources import SourceError

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroselever_core.filling.origin_reads import Key, OriginReads
    from primroselever_core.filling.pieces import PieceDigests
    from primroselever_core.filling.relays import FleetView

    from .pieces import PieceKeeper
    from .sources import PieceSource

CLAIM_TIMEOUT_S = 0.4  # a live entry answers at once; below the validity of a claim
TURN_CHECK_S = 0.05  # for turns that depend on time or on the pieces of other entries
# Two heartbeats of 0.5 s make the other entries known. The manifest does not wait: it
# is small, and after a loss of power of all VMs engines may need nothing else.
START_DELAY_S = 1.2
REQUIRED_EQUAL_MANIFESTS = 2  # because the origin may send corrupt bytes
MAX_MANIFEST_COPIES = 6
# Two copies are read within milliseconds, so that both may be of the version before
# while a version is published. The wait is short against the 8 s until its bound.
REPEATED_MANIFEST_WAIT_S = 1.0
MAX_CORRUPT_COPIES = 3

logger = logging.getLogger(__name__)


class OriginFailedError(SourceError):
    """The origin failed, and this entry reads the piece again when it may."""


class OriginReader:
    """Claims pieces, waits for its turn and reads the origin."""

    def __init__(
        self, keeper: PieceKeeper, source: PieceSource, reads: OriginReads
    ) -> None:
        self.keeper = keeper
        self.source = source
        self.reads = reads
        self.start_at = clock.now() + START_DELAY_S
        self.turns: dict[Key, Event] = {}
        # Reads that began because no entry of the origin's domain was live.
        self.cut_off: set[Key] = set()
        self.origin_bytes = 0
        self.takeover_count = 0
        self.failure_count = 0
        meter = get_meter("primroselever.direct")
        self.read_bytes = meter.create_counter(
            "primroselever.direct.origin.bytes", "By", "Piece bytes from the origin"
        )
        self.reads_in_progress = meter.create_up_down_counter(
            "primroselever.direct.origin.reads", "{read}", "Reads in progress"
        )
        self.failures = meter.create_counter(
            "primroselever.direct.origin.failures", "{read}", "Reads that failed"
        )
        self.takeovers = meter.create_counter(
            "primroselever.direct.origin.takeovers",
            "{read}",
            "Reads in place of an entry that ranks before",
        )

    def read_piece(
        self, key: Key, manifest: PieceDigests, fetch: Callable[[Relay], Any]
    ) -> bytes:
        """Return a verified piece of the origin or of a claimed one's reader."""
        data: bytes | None = self.claim(key, fetch)
        if data is not None:
            return data
        try:
            for _ in range(MAX_CORRUPT_COPIES):
                data = self.read_in_turn(key, self.source.read_piece, *key)
                self.origin_bytes += len(data)
                self.read_bytes.add(len(data))
                if manifest.matches(key[2], data):
                    return data
                log_decision(
                    "piece rejected",
                    f"{key[0]}/{key[2]}",
                    "origin",
                    "its bytes do not match the digest",
                )
        finally:
            self.release(key)
        raise SourceError(f"the origin sent corrupt bytes of {key}")

    def read_manifest(self, key: Key, fetch: Callable[[Relay], Any]) -> PieceDigests:
        """
        Return the first manifest of which the origin sent enough equal copies.

        One with the digests of another version is read again after a wait: the origin
        may have answered with that version. A version may also repeat another one.
        """
        manifest: PieceDigests | None = self.claim(key, fetch)
        if manifest is not None:
            return manifest
        copies: Counter[PieceDigests] = Counter()
        has_waited = False
        try:
            for _ in range(MAX_MANIFEST_COPIES):
                copy = self.read_in_turn(key, self.source.read_manifest, *key[:2])
                copies[copy] += 1
                if copies[copy] < REQUIRED_EQUAL_MANIFESTS:
                    continue
                if has_waited or not self.repeats_another_version(copy):
                    return copy
                has_waited = True
                copies.clear()
                eventlet.sleep(REPEATED_MANIFEST_WAIT_S)
        finally:
            self.release(key)
        raise SourceError("the origin sent too few equal copies of the manifest")

    def repeats_another_version(self, manifest: PieceDigests) -> bool:
        """Return whether a manifest has the digests of another version of its model."""
        other = next(
            (
                known
                for known in self.keeper.manifests.values()
                if known.model == manifest.model
                and known.version != manifest.version
                and known.digests == manifest.digests
            ),
            None,
        )
        if other is None:
            return False
        log_decision(
            "manifest read again",
            f"{manifest.model}/{manifest.version}",
            f"in {REPEATED_MANIFEST_WAIT_S} s",
            f"it has the digests of version {other.version}",
        )
        return True

    def claim(self, key: Key, fetch: Callable[[Relay], Any]) -> Any:
        """
        Claim a piece for this entry, or return what another entry holds or reads.

        Raise ``SourceError`` if another entry reads it but has not got it yet, and at
        once while the origin is not read after a failure.
        """
        now = clock.now()
        if now < self.start_at and key[2] != MANIFEST_INDEX:
            eventlet.sleep(self.start_at - now)
        view = self.keeper.view()
        claimant = self.reads.start_claim(key, clock.now())
        if claimant is None:
            try:
                value, claimant = self.ask_others(key, view, fetch)
            except BaseException:
                self.release(key)
                raise
            if value is not None:
                self.release(key)
                return value
            if claimant is None:
                claimant = self.reads.confirm_claim(key, clock.now())
        if claimant is not None:
            self.release(key)
            value = fetch(Relay(claimant, LAST_HOP))
            if value is None:
                raise SourceError(f"{claimant} has claimed {key}, but has not read it")
            return value
        if clock.now() < self.reads.retry_at:
            # The caller is told at once, so that it may ask for another piece.
            self.release(key)
            raise OriginFailedError(f"the origin failed, {key} is read again later")
        if not view.reaches_origin_domain:
            self.cut_off.add(key)
        self.log_read(key, view)
        self.keeper.prefetcher.start(*key[:2])
        return None

    def ask_others(
        self, key: Key, view: FleetView, fetch: Callable[[Relay], Any]
    ) -> tuple[Any, str | None]:
        """Return what another entry holds, or the entry that claims the piece."""
        hosts = view.claim_hosts(key, self.is_cautious(key, view))
        pool = eventlet.GreenPool(max(1, len(hosts)))
        claimants: list[str] = []
        holders: list[str] = []
        for host, reply in pool.imap(lambda host: (host, self.ask(key, host)), hosts):
            if reply is None:
                continue
            if reply.state == "held":
                holders.append(host)
            elif reply.state != "reading":
                holders += [reply.holder] if reply.holder else []
            elif reply.holder == host:
                return None, host
            elif reply.holder:
                claimants.append(reply.holder)
        for host in dict.fromkeys(holders):
            if host == view.own_host:
                continue
            try:
                value = fetch(Relay(host, LAST_HOP, only_held=True))
            except SourceError as exc:
                logger.info("a holder did not answer", extra={"error": str(exc)})
                continue
            if value is not None:
                return value, None
        # A third entry remembers the claims of these. If two entries left the piece to
        # each other on such answers, neither would read it.
        for claimant in dict.fromkeys(claimants):
            if claimant not in hosts:
                reply = self.ask(key, claimant)
                if reply and reply.state == "reading" and reply.holder == claimant:
                    return None, claimant
        return None, None

    def ask(self, key: Key, host: str) -> Any:
        """Return an entry's answer to a claim, or None if it does not answer."""
        try:
            return self.keeper.call_entry(
                host,
                "fetch_piece",
                *key,
                True,
                0,
                1,
                LAST_HOP,
                self.reads.own_host,
                timeout_s=CLAIM_TIMEOUT_S,
            )
        except SourceError as exc:
            logger.info("an entry did not answer a claim", extra={"error": str(exc)})
            return None

    def is_cautious(self, key: Key, view: FleetView) -> bool:
        """
        Return whether entries of other domains may hold a piece that none here holds.

        This is so if another entry ranks before this one, if this one failed to read,
        and if the version was published before this one started.
        """
        published = self.keeper.board.catalogue.weights.get(key[0])
        learned = [] if published is None else published.history
        return (
            not view.in_origin_domain
            or bool(self.reads.failures)
            or bool(view.hosts_ahead(key))
            or not any(
                each.version == key[1]
                and each.is_published_after(self.keeper.started_at)
                for each in learned
            )
        )

    def log_read(self, key: Key, view: FleetView) -> None:
        """Log why this entry reads a piece, and count a takeover."""
        reason = "ranks first in its failure domain"
        if ahead := view.hosts_ahead(key):
            reason = f"{len(ahead)} entries that rank before it do not answer"
            self.takeover_count += 1
            self.takeovers.add(1)
        if not view.in_origin_domain:
            reason += ", and it reaches no entry of the origin's failure domain"
        log_decision(
            "origin read",
            "/".join(map(str, key)),
            view.own_host,
            reason,
            members=len(view.members),
            read_limit=view.read_limit,
        )

    def read_in_turn(self, key: Key, read: Callable[..., Any], *args: Any) -> Any:
        """Return the origin's answer, read when it is this read's turn."""
        self.wait_for_turn(key)
        if key in self.cut_off and self.keeper.view().reaches_origin_domain:
            raise SourceError(f"{key} comes from the origin's domain, reached again")
        address = self.keeper.require_origin().address
        self.reads_in_progress.add(1)
        try:
            value = read(address, *args)
        except SourceError as exc:
            self.reads.record_failure(key, clock.now())
            self.failure_count += 1
            self.failures.add(1)
            log_decision(
                "origin read failed",
                "/".join(map(str, key)),
                f"retry in {max(0.0, self.reads.retry_at - clock.now()):.2f} s",
                str(exc),
                failures=self.reads.failures,
            )
            raise OriginFailedError(str(exc)) from exc
        finally:
            self.reads_in_progress.add(-1)
            self.reads.started_at.pop(key, None)
        self.reads.record_success(key, clock.now())
        return value

    def wait_for_turn(self, key: Key) -> None:
        """Wait until a read may start, or raise ``SourceError`` if it is dropped."""
        event = self.turns[key] = Event()
        if key not in self.reads.claims:
            raise SourceError(f"{key} is no longer wanted")
        self.reads.waiting.add(key)
        try:
            while not event.ready():
                self.start_reads()
                backoff_s = self.reads.retry_at - clock.now()
                check_s = TURN_CHECK_S if backoff_s <= 0 else backoff_s
                with eventlet.Timeout(min(TURN_CHECK_S, check_s), False):
                    event.wait()
                if not self.reads.is_reading(key):
                    raise SourceError(f"{key} is no longer wanted")
        finally:
            self.turns.pop(key, None)

    def record_progress(self) -> None:
        """
        Record how many pieces of each version the known entries hold.

        Entries outside the origin's domain, which start no reads, need it as well: it
        decides which older version they keep.
        """
        now, live = clock.now(), self.keeper.view().live
        for (model, version), manifest in self.keeper.manifests.items():
            held = self.keeper.board.holdings.count_held(model, version, live)
            self.reads.record_progress(model, version, held, len(manifest.digests), now)

    def start_reads(self) -> None:
        """Start the reads that may start now, within this entry's share."""
        self.record_progress()
        now, view = clock.now(), self.keeper.view()
        while True:
            key = self.reads.start_next_read(now, view.read_limit, view.spare_reads)
            if key is None:
                return
            event = self.turns.get(key)
            if event is None:
                self.reads.started_at.pop(key, None)
            else:
                event.send()

    def release(self, key: Key) -> None:
        """End the claim and the read of a piece, and start those that waited."""
        self.reads.release_claim(key)
        self.cut_off.discard(key)
        if self.reads.waiting:
            self.start_reads()

    def status(self) -> dict[str, Any]:
        """Return the reads from the origin for the operator."""
        now = clock.now()
        return {
            "bytes": self.origin_bytes,
            "reading": sorted("/".join(map(str, key)) for key in self.reads.started_at),
            "waiting": len(self.reads.waiting),
            "failures": self.failure_count,
            "takeovers": self.takeover_count,
            "retry_in_s": round(max(0.0, self.reads.retry_at - now), 3),
            "held": {
                f"{model}/{version}": len(indexes)
                for (model, version), indexes in self.keeper.board.holdings.own.items()
            },
        }
