"""Following the platform's store: a full read, then watches, for each part."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from primroselever_core.backoff import backoff_s
from primroselever_core.catalogue.events import ServerListed, apply

from .. import clock
from ..logs import log_decision
from .sources import CatalogueChanges, CataloguePart, HistoryLostError, SourceError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from primroselever_core.catalogue.catalogue import Catalogue

    from .sources import CatalogueSource

WATCH_WAIT_S = 2.5  # below the 3 s after which a silent process counts as out of touch
FIRST_RETRY_S = 0.15  # a few answers of the store, which takes 4 ms
LONGEST_RETRY_S = 1.0  # below the time in which a configuration must be in force
# Back ends change in flocks, and each call to the store has a price; one that leaves
# must get nothing new only some seconds later.
SERVERS_PAUSE_S = 0.15
OUTAGE_S = 0.8  # a shorter silence lets no lease of three heartbeats lapse
LAPSE_CHECK_S = 0.25
READS_CHECK_S = 0.2  # how soon a process that relied on peers turns to the store

logger = logging.getLogger(__name__)


class CatalogueFollower:
    """
    Keeps the catalogue in step with the store, and says when it changed.

    ``changed`` is called after each change with the part it came from. While ``reads``
    says no, the store is not asked: peers hand on what it says.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        source: CatalogueSource,
        changed: Callable[[CataloguePart], None],
        parts: Iterable[CataloguePart] = tuple(CataloguePart),
        reads: Callable[[], bool] = lambda: True,
    ) -> None:
        self.catalogue = catalogue
        self.source = source
        self.changed = changed
        self.parts = tuple(parts)
        self.reads = reads
        self.answered_at: dict[CataloguePart, float] = {}
        self.lost: set[CataloguePart] = set()

    def start(self) -> None:
        """Follow each part in a greenlet of its own."""
        for part in self.parts:
            eventlet.spawn(self.follow, part)
        eventlet.spawn(self.expire)

    def follow(self, part: CataloguePart) -> None:
        """Follow one part for good."""
        revision: int | None = None
        failures = 0
        while True:
            if not self.reads():
                eventlet.sleep(READS_CHECK_S)
                continue
            try:
                if revision is None:
                    changes = self.source.read(part)
                    self.note_answer(part)
                    self.take_all(part, changes)
                else:
                    wait_s = 0.0 if failures else WATCH_WAIT_S
                    changes = self.source.watch(part, revision, wait_s)
                    self.note_answer(part)
                    self.take(part, changes)
            except HistoryLostError as exc:
                self.note_failure(part, exc)
                revision = None
                continue
            except SourceError as exc:
                failures += 1
                self.note_failure(part, exc)
            except Exception:
                failures += 1
                logger.exception("a step of following the store failed")
                revision = None
            else:
                revision = changes.revision
                failures = 0
                if part is CataloguePart.SERVERS and changes.events:
                    eventlet.sleep(SERVERS_PAUSE_S)
                continue
            eventlet.sleep(backoff_s(failures, FIRST_RETRY_S, LONGEST_RETRY_S))

    def note_answer(self, part: CataloguePart) -> None:
        """Take in that the store answered."""
        now = clock.now()
        last = self.answered_at.get(part)
        if part in self.lost:
            self.lost.discard(part)
            silent_s = now - last if last is not None else 0.0
            log_decision(
                "dependency regained", "store", part, "it answered", silent_s=silent_s
            )
            if part is CataloguePart.SERVERS and silent_s >= OUTAGE_S:
                self.catalogue.store_returned(now)
        self.answered_at[part] = now
        self.catalogue.heard_at = now
        if all(one in self.answered_at for one in self.parts):
            self.catalogue.read_at = min(self.answered_at.values())

    def note_failure(self, part: CataloguePart, exc: SourceError) -> None:
        """Log the first failure of a row."""
        if part not in self.lost:
            self.lost.add(part)
            log_decision("dependency lost", "store", part, str(exc))

    def take_all(self, part: CataloguePart, changes: CatalogueChanges) -> None:
        """Take in a full read; back ends that are not in it have gone."""
        now = clock.now()
        changed = False
        for event in changes.events:
            if not isinstance(event, ServerListed):
                changed |= apply(event, self.catalogue, now)
        if part is CataloguePart.SERVERS:
            listed = [e.server for e in changes.events if isinstance(e, ServerListed)]
            before = dict(self.catalogue.servers)
            self.catalogue.replace_servers(
                {server.server_id: server for server in listed}, changes.revision, now
            )
            self.catalogue.store_revision = max(
                changes.revision, self.catalogue.store_revision
            )
            changed |= before != self.catalogue.servers
        self.report(part, changed, changes)

    def take(self, part: CataloguePart, changes: CatalogueChanges) -> None:
        """Take in what a watch returned."""
        now = clock.now()
        changed = False
        for event in changes.events:
            changed |= apply(event, self.catalogue, now)
        if part is CataloguePart.SERVERS and changed:
            self.catalogue.store_revision = max(
                changes.revision, self.catalogue.store_revision
            )
        self.report(part, changed, changes)

    def report(
        self, part: CataloguePart, changed: bool, changes: CatalogueChanges
    ) -> None:
        """Log a change and tell who uses the catalogue."""
        if not changed:
            return
        configuration = self.catalogue.configuration
        log_decision(
            "catalogue changed",
            part,
            str(changes.revision),
            "the store said so",
            configuration=configuration.revision if configuration else None,
            weights={m: n.version for m, n in self.catalogue.weights.items()},
            servers=len(self.catalogue.servers),
        )
        self.changed(part)

    def expire(self) -> None:
        """Remove back ends whose entries did not come back after an outage."""
        while True:
            eventlet.sleep(LAPSE_CHECK_S)
            expired = self.catalogue.expire_lapsed(clock.now())
            if expired:
                log_decision(
                    "back ends gone", " ".join(expired), "removed", "entries lapsed"
                )
                self.changed(CataloguePart.SERVERS)
