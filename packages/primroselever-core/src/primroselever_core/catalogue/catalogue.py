"""
The catalogue of one process and the rules by which updates replace its content.

A configuration or a version of weights is replaced only by a higher one, whichever
source it comes from. The list of back ends follows the position in the platform's
store; a copy from a peer replaces it only when its position is later. When the store is
restored from an older copy, an entry that is older than the known one is withheld until
a grace period ends.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from .catalogue_copy import CatalogueCopy
from .evacuations import Evacuations
from .freshness import Freshness
from .known_servers import (
    Lapse,
    Removal,
    WithheldEntry,
    is_earlier_write,
    is_final,
    is_same_write,
)
from .published_weights import PublishedWeights
from .routes import RouteTable
from .store_position import START_POSITION, StorePosition

if TYPE_CHECKING:
    from .model import Configuration, ListedServer

MAX_REMOVED_SERVERS = 512  # updates arrive out of order by seconds at most
OUTAGE_S = 3.5  # without contact to the store; above the duration of the longest watch
LAPSE_GRACE_S = 2.0  # back ends whose entries lapsed in an outage register within this


@dataclass(slots=True)
class Catalogue:
    """
    Everything published that this process has learned.

    ``store_contact_at`` is the time of the last contact with the store, by this process
    or by a peer; ``own_read_at`` is when the store last answered this process.
    ``store_position`` is that of the list of back ends, and ``latest_era`` the latest
    era of which any answer of the store was received. ``lapsed`` holds the back ends
    whose entries went missing after an outage or a restore of the store, with the end
    of their grace period; ``withheld`` the entries of a restored store that are older
    than the known ones; ``removed`` the removals of other back ends. ``unproven_s`` is
    how many seconds before this process learns of a version its bound counts from if
    nothing proves that the version was absent, 0 until an entry sets it.
    """

    store_position: StorePosition = START_POSITION
    latest_era: int = 0
    configuration: Configuration | None = None
    configuration_at: float = 0.0
    routes: RouteTable = field(default_factory=RouteTable)
    weights: dict[str, PublishedWeights] = field(default_factory=dict)
    servers: dict[str, ListedServer] = field(default_factory=dict)
    lapsed: dict[str, Lapse] = field(default_factory=dict)
    withheld: dict[str, WithheldEntry] = field(default_factory=dict)
    removed: dict[str, Removal] = field(default_factory=dict)
    store_contact_at: float | None = None
    own_read_at: float | None = None
    freshness: Freshness = field(default_factory=Freshness)
    lapse_grace_until: float = 0.0
    evacuations: Evacuations = field(default_factory=Evacuations)
    unproven_s: float = 0.0

    @property
    def configuration_revision(self) -> int:
        """Return the revision of the configuration in force, 0 without one."""
        return self.configuration.revision if self.configuration else 0

    def configure(self, configuration: Configuration, now: float) -> bool:
        """Apply a configuration of a higher revision; return whether it was applied."""
        current = self.configuration
        if current is not None and configuration.revision <= current.revision:
            return False
        # First, since an error must leave the configuration in force as it was.
        routes = RouteTable.from_configuration(configuration)
        self.configuration = configuration
        self.configuration_at = now
        self.routes = routes
        return True

    def publish_weights(self, model: str, version: int, now: float) -> bool:
        """
        Record a published version; return whether it is the newest of its model.

        Its bound counts from the last proof that it was not published. An entry without
        one for ``unproven_s`` must not lose all engines at once.
        """
        published = self.weights.get(model)
        if published is not None and version <= published.version:
            return False
        if published is None:
            published = self.weights[model] = PublishedWeights([])
        published.append(version, now, now - self.unproven_s)
        proof_at = self.freshness.proof_at
        if proof_at is not None and proof_at >= published.absent_at:
            published.history[-1] = published.newest.with_proof(proof_at)
        return True

    def list_server(self, server: ListedServer) -> bool:
        """
        Add or update the entry of a back end; return whether it changed anything.

        Updates arrive over several paths and out of order, so an entry at an earlier
        position than the latest known for its back end is ignored. An entry of a later
        era that is an earlier write than the known one comes from the copy from which
        the store was restored, and is withheld.
        """
        server_id = server.server_id
        listed = self.servers.get(server_id)
        lapse = self.lapsed.get(server_id)
        if lapse is not None and server.position <= lapse.position:
            return False
        if self.is_outdated(server):
            return False
        if self.is_restored_copy(server):
            self.withhold(server)
            return False
        self.lapsed.pop(server_id, None)
        self.withheld.pop(server_id, None)
        if listed == server:
            return False
        self.removed.pop(server_id, None)
        self.servers[server_id] = server
        return True

    def is_outdated(self, server: ListedServer) -> bool:
        """Return whether the latest known position of a back end is later."""
        listed = self.servers.get(server.server_id)
        if listed is None:
            removal = self.removed.get(server.server_id)
            return removal is not None and server.position < removal.position
        if server.era < listed.era:
            return not is_earlier_write(listed, server)
        return server.position < listed.position

    def is_restored_copy(self, server: ListedServer) -> bool:
        """
        Return whether an entry of a later era is older than the known state.

        A peer may know a later state, and has then sent the entry as withheld.
        """
        listed = self.servers.get(server.server_id)
        if listed is not None:
            return server.era > listed.era and is_earlier_write(server, listed)
        withheld = self.withheld.get(server.server_id)
        if withheld is not None and is_same_write(server, withheld.server):
            return True
        removal = self.removed.get(server.server_id)
        if removal is None or server.era <= removal.position.era:
            return False
        return is_earlier_write(server, removal.server) or is_same_write(
            server, removal.server
        )

    def withhold(self, server: ListedServer) -> None:
        """Keep an entry of a restored store unused until the grace period ends."""
        until = self.lapse_grace_until
        withheld = self.withheld.get(server.server_id)
        if withheld is not None:
            if server.position < withheld.server.position:
                return
            until = withheld.until
        self.lapsed.pop(server.server_id, None)
        self.withheld[server.server_id] = WithheldEntry(server, until)

    def adopt_withheld_servers(self, now: float) -> list[str]:
        """
        Use the withheld entries whose grace period ended; return their identifiers.

        The store still lists them, so their servers are live or were not seen to end.
        """
        adopted = []
        for server_id, withheld in list(self.withheld.items()):
            if now < withheld.until:
                continue
            del self.withheld[server_id]
            known = self.servers.get(server_id)
            if known is None and server_id in self.removed:
                known = self.removed[server_id].server
            if is_final(known, withheld.server):
                continue
            self.lapsed.pop(server_id, None)
            self.removed.pop(server_id, None)
            self.servers[server_id] = withheld.server
            adopted.append(server_id)
        return adopted

    def process_missing_entry(
        self, server_id: str, position: StorePosition, now: float
    ) -> bool:
        """
        Process a missing entry; return whether its back end was removed.

        Right after an outage of the store an entry may have lapsed although its
        back end is live, so the back end is kept for a grace period.
        """
        self.outdate_unused_entry(server_id, position)
        listed = self.servers.get(server_id)
        if listed is None:
            return False
        if listed.position > position:
            return False
        if now < self.lapse_grace_until:
            self.mark_lapsed(server_id, position)
            return False
        self.drop_server(server_id, position)
        return True

    def outdate_unused_entry(self, server_id: str, position: StorePosition) -> None:
        """Drop a withheld entry that is missing at a position, and outdate others."""
        withheld = self.withheld.get(server_id)
        if withheld is not None and withheld.server.position <= position:
            del self.withheld[server_id]
        removal = self.removed.get(server_id)
        if (
            removal is not None
            and server_id not in self.servers
            and removal.position.era < position.era
        ):
            self.removed[server_id] = replace(removal, position=position)

    def mark_lapsed(self, server_id: str, position: StorePosition) -> None:
        """Keep a back end whose entry is missing until the grace period ends."""
        self.lapsed.setdefault(server_id, Lapse(position, self.lapse_grace_until))

    def drop_server(self, server_id: str, position: StorePosition) -> None:
        """Remove a back end and keep the position at which it was removed."""
        server = self.servers.pop(server_id, None)
        self.lapsed.pop(server_id, None)
        self.removed[server_id] = Removal(position, server)
        while len(self.removed) > MAX_REMOVED_SERVERS:
            del self.removed[next(iter(self.removed))]

    def expire_lapsed_servers(self, now: float) -> list[str]:
        """Remove the back ends whose grace period ended; return their identifiers."""
        expired = {
            server_id: lapse.position
            for server_id, lapse in self.lapsed.items()
            if now >= lapse.until
        }
        for server_id, position in expired.items():
            self.drop_server(server_id, position)
        return list(expired)

    def start_lapse_grace(self, now: float) -> None:
        """Start the grace period in which lapsed back ends can register again."""
        self.lapse_grace_until = now + LAPSE_GRACE_S

    def copy(self) -> CatalogueCopy:
        """Return the copy of the catalogue that is sent to a peer."""
        return CatalogueCopy(
            self.store_position.revision,
            self.configuration,
            {model: published.version for model, published in self.weights.items()},
            dict(self.servers),
            {
                server_id: lapse.position.revision
                for server_id, lapse in self.lapsed.items()
            },
            self.store_position.era,
            {
                server_id: withheld.server
                for server_id, withheld in self.withheld.items()
            },
            self.evacuations.copy(),
        )

    def merge(self, copy: CatalogueCopy, now: float) -> bool:
        """
        Merge a peer's copy; return whether it changed anything.

        The configuration and weights of a copy from an earlier era still count, as
        their versions order them in all eras. Without them, this process would fetch
        the copy of a peer that has a later version again and again.
        """
        changed = False
        if copy.configuration is not None:
            changed |= self.configure(copy.configuration, now)
        for model, version in copy.weights.items():
            changed |= self.publish_weights(model, version, now)
        changed |= self.evacuations.merge(copy.evacuations, now)
        if copy.store_position > self.store_position:
            contact_at = self.store_contact_at
            if contact_at is not None and now - contact_at > OUTAGE_S:
                # The outage that cut off this process from the store may also have cut
                # off back ends near this process, so that their entries lapsed.
                self.start_lapse_grace(now)
            self.replace_servers(copy.servers, copy.store_position, now, copy.withheld)
            self.merge_lapses(copy.lapsed, copy.store_era, now)
            changed = True
        return changed

    def merge_lapses(self, lapsed: dict[str, int], era: int, now: float) -> None:
        """Start the grace period of back ends that a peer reports as lapsed."""
        for server_id, revision in lapsed.items():
            position = StorePosition(era, revision)
            self.outdate_unused_entry(server_id, position)
            listed = self.servers.get(server_id)
            if listed is not None and listed.position <= position:
                self.lapsed.setdefault(server_id, Lapse(position, now + LAPSE_GRACE_S))

    def record_peer_contact(self, contact_at: float) -> None:
        """
        Record the time of a peer's last contact with the store.

        Call this only for a peer whose list of back ends is not newer than this
        process's list: the store then had no newer list at the time of its contact.
        """
        if contact_at > (self.store_contact_at or float("-inf")):
            self.store_contact_at = contact_at

    def begin_era(self, now: float) -> None:
        """
        Start the grace period after the store was restored.

        What was found missing or withheld in the era before is decided again.
        """
        self.start_lapse_grace(now)
        self.lapsed.clear()
        self.withheld.clear()

    def replace_servers(
        self,
        servers: dict[str, ListedServer],
        position: StorePosition,
        now: float,
        withheld: dict[str, ListedServer] | None = None,
    ) -> None:
        """
        Replace the list of back ends by the complete list at a position.

        ``withheld`` holds the entries of the list that the sender does not use yet.
        A list of an earlier era is ignored.
        """
        withheld = withheld or {}
        if position.era < self.store_position.era:
            return
        is_first_list = self.store_position == START_POSITION
        if position.era > self.store_position.era and not is_first_list:
            self.begin_era(now)
        for server in servers.values():
            self.list_server(server)
        for server_id, server in withheld.items():
            if server_id in self.servers or server_id in self.removed:
                self.list_server(server)
            else:
                self.withhold(server)
        known_ids = [*self.servers, *self.withheld]
        for server_id in dict.fromkeys(known_ids):
            if server_id not in servers and server_id not in withheld:
                self.process_missing_entry(server_id, position, now)
        self.store_position = max(position, self.store_position)
        self.latest_era = max(position.era, self.latest_era)
