"""Follows the platform's store: each part is read in full, then watched."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.backoff import backoff_s
from primroselever_core.catalogue.events import (
    ConfigurationPublished,
    EvacuationEnded,
    EvacuationStarted,
    EvacuationUnreadable,
    ServerListed,
    apply,
)

from .. import clock
from ..logs import log_decision
from ..process import run_controller
from .configurations import record_configuration
from .evacuations import record_evacuations
from .restores import record_late_answer, record_restore
from .sources import (
    CatalogueChanges,
    CataloguePart,
    ChangesTooLargeError,
    HistoryLostError,
    SourceError,
    StoreRestoredError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from primroselever_core.catalogue.catalogue import Catalogue
    from primroselever_core.catalogue.store_position import StorePosition

    from .sources import CatalogueSource

WATCH_WAIT_S = 2.5  # the platform counts a process as out of touch after 3 s
# By how much a store may end a watch early, as timers are coarse. A late copy of an
# earlier answer comes long before the end.
EARLY_END_S = 0.05
FIRST_RETRY_S = 0.15  # many times the 4 ms in which the store answers
MAX_RETRY_S = 1.0  # below the time in which a configuration must be in force
# Batches the changes of back ends, which come in bursts, as each call to the store is
# costly. The delay is safe: a back end that leaves may get new requests for some
# seconds.
SERVERS_WATCH_PAUSE_S = 0.15
# A back end's lease lasts three of its heartbeats, so none lapses in a shorter outage.
MIN_LAPSE_OUTAGE_S = 0.8
EXPIRY_CHECK_S = 0.25
LARGE_CONFIGURATION_ROUTES = 150  # about 40 KB
START_CHECK_S = 0.02
# The store limits its reads, and a new configuration must be in force within 2 s.
RESTORE_READ_SPREAD_S = 0.25
# How often a process that relies on peers checks ``should_read``.
READ_ROLE_CHECK_S = 0.2

EVACUATION_EVENTS = (EvacuationStarted, EvacuationEnded, EvacuationUnreadable)

logger = logging.getLogger(__name__)


class LateAnswerError(SourceError):
    """An answer is of an earlier era of the store than the latest known one."""


class CatalogueFollower:
    """
    Keeps the catalogue up to date with the store.

    ``on_change`` is called after each change with the part that changed. While
    ``should_read`` returns false, the store is not called, and the catalogue comes from
    peers. It is not called before ``first_read_at`` either, unless peers have sent the
    catalogue. ``first_watch_share`` returns the share of the usual wait for the first
    watch after a change of the operator's part.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        source: CatalogueSource,
        on_change: Callable[[CataloguePart], None],
        parts: Iterable[CataloguePart] = tuple(CataloguePart),
        should_read: Callable[[], bool] = lambda: True,
        first_read_at: float = 0.0,
        random: Random | None = None,
        first_watch_share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self.catalogue = catalogue
        self.source = source
        self.on_change = on_change
        self.parts = tuple(parts)
        self.should_read = should_read
        self.first_read_at = first_read_at
        self.random = random or Random()
        self.first_watch_share = first_watch_share
        # Whether the latest answer on the operator's part had changes.
        self.operator_changed = False
        self.started_at = clock.now()
        # When the full read of a part after a restore of the store is due.
        self.next_read_at: dict[CataloguePart, float] = {}
        self.answered_at: dict[CataloguePart, float] = {}
        self.unavailable_parts: set[CataloguePart] = set()
        self.unprocessed_parts: set[CataloguePart] = set()

    def start(self) -> None:
        """Follow each part in its own greenlet, and expire lapsed servers."""
        for part in self.parts:
            eventlet.spawn(self.follow, part)
        run_controller(self.expire_lapsed_servers, EXPIRY_CHECK_S)

    def follow(self, part: CataloguePart) -> None:
        """Follow one part forever."""
        position: StorePosition | None = None
        failures = 0
        while self.catalogue.configuration is None and clock.now() < self.first_read_at:
            eventlet.sleep(START_CHECK_S)
        while True:
            if not self.should_read():
                eventlet.sleep(READ_ROLE_CHECK_S)
                continue
            if position is not None and position.era < self.catalogue.latest_era:
                self.schedule_restore_read(part, self.catalogue.latest_era)
                position = None
            try:
                wait_s = 0.0 if failures else self.watch_wait_s(part)
                changes = self.request_changes(part, position, wait_s)
                proof_at = find_proof(changes, position, wait_s, clock.now())
                if position is None:
                    self.apply_snapshot(part, changes)
                else:
                    self.apply_changes(part, changes)
                # Only now is what it proves in force, and what it brought counts from
                # the proof before.
                if part is CataloguePart.OPERATOR and proof_at is not None:
                    self.catalogue.freshness.record_own_proof(proof_at)
            except HistoryLostError as exc:
                if position is not None and exc.era > position.era:
                    self.schedule_restore_read(part, exc.era)
                else:
                    self.record_failure(part, exc)
                position = None
                continue
            except StoreRestoredError as exc:
                failures += 1
                self.schedule_restore_read(part, exc.era)
                position = None
            except LateAnswerError:
                failures += 1
                position = None
            except ChangesTooLargeError as exc:
                # The same watch would bring these changes again, and further ones.
                failures += 1
                self.record_failure(part, exc)
                position = None
            except SourceError as exc:
                failures += 1
                self.record_failure(part, exc)
            except Exception:
                failures += 1
                logger.exception("failed to follow the store; it is read in full again")
                position = None
            else:
                position = changes.position
                failures = 0
                if part is CataloguePart.SERVERS and changes.events:
                    eventlet.sleep(SERVERS_WATCH_PAUSE_S)
                elif is_burst_of_large_configurations(changes):
                    # The watch returns each of them in full. A full read, which returns
                    # the newest only, is many times smaller.
                    position = None
                continue
            eventlet.sleep(backoff_s(failures, FIRST_RETRY_S, MAX_RETRY_S))

    def request_changes(
        self, part: CataloguePart, position: StorePosition | None, wait_s: float
    ) -> CatalogueChanges:
        """
        Return a full read, or the changes after a position, of the latest known era.

        Raise ``LateAnswerError`` for an answer of an earlier era, which may have been
        sent before a restore, and ``StoreRestoredError`` if a watch does not continue
        in the era of its position.
        """
        if position is None:
            eventlet.sleep(max(0.0, self.next_read_at.pop(part, 0.0) - clock.now()))
            changes = self.source.read(part)
        else:
            changes = self.source.watch(part, position.revision, wait_s)
        if changes.era < self.catalogue.latest_era:
            record_late_answer("store", changes.position, self.catalogue.latest_era)
            raise LateAnswerError("the answer is of an earlier era")
        self.catalogue.latest_era = changes.era
        if position is not None and changes.era != position.era:
            raise StoreRestoredError("the watch continued in a new era", changes.era)
        self.record_answer(part)
        if part is CataloguePart.OPERATOR:
            self.operator_changed = position is None or bool(changes.events)
        return changes

    def watch_wait_s(self, part: CataloguePart) -> float:
        """Return how long the store may wait for a change, in seconds."""
        if part is CataloguePart.OPERATOR and self.operator_changed:
            return WATCH_WAIT_S * self.first_watch_share()
        return WATCH_WAIT_S

    def schedule_restore_read(self, part: CataloguePart, era: int) -> None:
        """
        Schedule the full read after a restore.

        All readers learn of the restore at the same time, and the store limits reads.
        """
        self.catalogue.latest_era = max(era, self.catalogue.latest_era)
        delay_s = self.random.uniform(0.0, RESTORE_READ_SPREAD_S)
        self.next_read_at[part] = clock.now() + delay_s

    def record_answer(self, part: CataloguePart) -> None:
        """Record that the store answered for a part."""
        now = clock.now()
        last = self.answered_at.get(part)
        if part in self.unavailable_parts:
            self.unavailable_parts.discard(part)
            silent_s = now - (last if last is not None else self.started_at)
            log_decision(
                "dependency regained",
                "store",
                part,
                "the store answered",
                silent_s=silent_s,
            )
            if part is CataloguePart.SERVERS and silent_s >= MIN_LAPSE_OUTAGE_S:
                self.catalogue.start_lapse_grace(now)
        self.answered_at[part] = now
        self.catalogue.store_contact_at = now
        if part is CataloguePart.OPERATOR:
            self.catalogue.freshness.record_own_answer(now)
        if all(followed in self.answered_at for followed in self.parts):
            self.catalogue.own_read_at = min(self.answered_at.values())

    def record_failure(self, part: CataloguePart, exc: SourceError) -> None:
        """Log the first of consecutive failures of a part."""
        if part not in self.unavailable_parts:
            self.unavailable_parts.add(part)
            log_decision("dependency lost", "store", part, str(exc))

    def apply_snapshot(self, part: CataloguePart, changes: CatalogueChanges) -> None:
        """Apply a full read, and remove the back ends that it lacks."""
        now = clock.now()
        changed = False
        previous_revision = self.catalogue.configuration_revision
        if part is CataloguePart.SERVERS:
            listed = [
                event.server
                for event in changes.events
                if isinstance(event, ServerListed)
            ]
            previous_servers = dict(self.catalogue.servers)
            previous_position = self.catalogue.store_position
            self.catalogue.replace_servers(
                {server.server_id: server for server in listed}, changes.position, now
            )
            record_restore("store", previous_position, self.catalogue)
            changed |= previous_servers != self.catalogue.servers
        if part is CataloguePart.OPERATOR:
            changed |= self.read_evacuations(changes, now)
        for event in changes.events:
            if not isinstance(event, (ServerListed, *EVACUATION_EVENTS)):
                changed |= apply(event, self.catalogue, now)
        record_configuration(self.catalogue, previous_revision, "store", "read")
        self.report_change(part, changed, changes)

    def read_evacuations(self, changes: CatalogueChanges, now: float) -> bool:
        """Apply a full read of the evacuations; return whether it changed any."""
        evacuations = self.catalogue.evacuations
        previous = dict(evacuations.in_force)
        listed, unreadable = {}, set()
        for event in changes.events:
            if isinstance(event, EvacuationStarted):
                listed[event.failure_domain] = event.position
            elif isinstance(event, EvacuationUnreadable):
                unreadable.add(event.failure_domain)
        changed = evacuations.read(listed, unreadable, changes.position, now)
        record_evacuations(self.catalogue, previous, "store", "read")
        return changed

    def apply_changes(self, part: CataloguePart, changes: CatalogueChanges) -> None:
        """Apply the changes that a watch returned."""
        now = clock.now()
        changed = False
        previous_revision = self.catalogue.configuration_revision
        previous = dict(self.catalogue.evacuations.in_force)
        for event in changes.events:
            changed |= apply(event, self.catalogue, now)
        if part is CataloguePart.OPERATOR:
            self.catalogue.evacuations.record_watch(changes.position)
            record_evacuations(self.catalogue, previous, "store", "watch")
        if part is CataloguePart.SERVERS and changes.events:
            # A lapse, or the removal of a withheld entry, changes no back end now, but
            # peers must learn of it.
            self.catalogue.store_position = max(
                changes.position, self.catalogue.store_position
            )
        record_configuration(self.catalogue, previous_revision, "store", "watch")
        self.report_change(part, changed, changes)

    def report_change(
        self, part: CataloguePart, changed: bool, changes: CatalogueChanges
    ) -> None:
        """Log the change and call ``on_change`` if the catalogue changed."""
        if not changed and part not in self.unprocessed_parts:
            return
        configuration = self.catalogue.configuration
        proof_at = self.catalogue.freshness.proof_at
        log_decision(
            "catalogue changed",
            part,
            str(changes.revision),
            "received from the store",
            configuration=configuration.revision if configuration else None,
            weights={
                model: published.version
                for model, published in self.catalogue.weights.items()
            },
            servers=len(self.catalogue.servers),
            proof_age_s=None if proof_at is None else round(clock.now() - proof_at, 3),
        )
        self.process_change(part)

    def process_change(self, part: CataloguePart) -> None:
        """Call ``on_change``; if it fails, it is called again with the next answer."""
        self.unprocessed_parts.add(part)
        self.on_change(part)
        self.unprocessed_parts.discard(part)

    def expire_lapsed_servers(self) -> None:
        """Process the back ends and evacuations whose grace periods ended."""
        now = clock.now()
        previous = dict(self.catalogue.evacuations.in_force)
        if self.catalogue.evacuations.expire(now):
            record_evacuations(self.catalogue, previous, "store", "grace period ended")
            self.process_change(CataloguePart.OPERATOR)
        adopted = self.catalogue.adopt_withheld_servers(now)
        if adopted:
            log_decision(
                "back ends adopted",
                " ".join(adopted),
                "used as listed",
                "the restored store still lists them",
            )
            self.process_change(CataloguePart.SERVERS)
        expired = self.catalogue.expire_lapsed_servers(now)
        if expired:
            log_decision(
                "back ends expired",
                " ".join(expired),
                "removed",
                "their leases lapsed",
            )
            self.process_change(CataloguePart.SERVERS)


def find_proof(
    changes: CatalogueChanges, position: StorePosition | None, wait_s: float, now: float
) -> float | None:
    """
    Return until when an answer tells all that was published, None if it proves nothing.

    A watch without changes tells this for its whole wait, in seconds. One that ended
    earlier without anything new may be the late copy of an earlier answer.
    """
    if changes.asked_at is None:
        return None
    if position is None:
        return changes.asked_at
    if changes.events:
        return changes.asked_at if changes.position > position else None
    waited_until = changes.asked_at + int(wait_s * 1000) / 1000  # as it is sent
    if now >= waited_until:
        return waited_until
    earliest_end = waited_until - EARLY_END_S
    return max(changes.asked_at, earliest_end) if now >= earliest_end else None


def is_burst_of_large_configurations(changes: CatalogueChanges) -> bool:
    """Return whether changes hold several configurations, of which one has many routes.

    The next watch would return even more of them if the link is busy.
    """
    route_counts = [
        len(event.configuration.routes)
        for event in changes.events
        if isinstance(event, ConfigurationPublished)
    ]
    return len(route_counts) > 1 and max(route_counts) >= LARGE_CONFIGURATION_ROUTES
