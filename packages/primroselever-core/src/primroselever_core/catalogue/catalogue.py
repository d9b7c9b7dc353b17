"""
The catalogue of one process and the rules by which updates replace its content.

A configuration or a version of weights is replaced only by a higher one, whichever
source it comes from. The list of back ends follows the revision of the platform's
store; a copy from a peer replaces it only when its revision is later.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .catalogue_copy import CatalogueCopy
from .routes import RouteTable

if TYPE_CHECKING:
    from .model import Configuration, ListedServer

MAX_REMOVED_SERVERS = 512  # updates arrive out of order by seconds at most
MAX_VERSIONS_PER_MODEL = 8  # the bounds of older versions have long passed
OUTAGE_S = 3.5  # without contact to the store; above the duration of the longest watch
LAPSE_GRACE_S = 2.0  # back ends whose entries lapsed in an outage register within this


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """
    A published version of a model and when this process learned of it.

    ``assumed`` marks an estimated time: the process found the version when it started.
    """

    version: int
    learned_at: float
    assumed: bool = False


@dataclass(frozen=True, slots=True)
class Lapse:
    """The revision at which an entry went missing, and the end of its grace period."""

    revision: int
    until: float


@dataclass(slots=True)
class PublishedWeights:
    """
    The published versions of a model and when each was learned, oldest first.

    Each version has its own bound, after which older weights may not begin a request:
    a newer version does not postpone the bound of the version before it.
    """

    history: list[PublishedVersion]

    @property
    def newest(self) -> PublishedVersion:
        """Return the newest version and the time at which it was learned."""
        return self.history[-1]

    @property
    def version(self) -> int:
        """Return the newest version."""
        return self.newest.version

    @property
    def learned_at(self) -> float:
        """Return the time at which the newest version was learned."""
        return self.newest.learned_at

    def append(self, version: int, now: float) -> None:
        """Add a newer version, learned now."""
        self.history.append(PublishedVersion(version, now))
        del self.history[:-MAX_VERSIONS_PER_MODEL]

    def assume_learned_at(self, learned_at: float) -> None:
        """Set an estimated time for the newest version until a peer reports one."""
        self.history[-1] = PublishedVersion(self.version, learned_at, assumed=True)

    def record_peer_learned_at(self, version: int, learned_at: float) -> None:
        """
        Record when a peer learned of a version.

        The earliest time counts, but a reported time always replaces an assumed one.
        A version above the newest known one is ignored.

        A process that started late learns in this way of versions before the newest,
        whose bounds also apply.
        """
        if version > self.version:
            return
        for index, published in enumerate(self.history):
            if published.version == version:
                if published.assumed or learned_at < published.learned_at:
                    self.history[index] = PublishedVersion(version, learned_at)
                return
        self.history.append(PublishedVersion(version, learned_at))
        self.history.sort(key=lambda published: published.version)
        del self.history[:-MAX_VERSIONS_PER_MODEL]

    def newest_learned_by(self, learned_before: float) -> int:
        """Return the newest version learned at or before a time, 0 for none."""
        versions = (
            published.version
            for published in self.history
            if published.learned_at <= learned_before
        )
        return max(versions, default=0)


@dataclass(slots=True)
class Catalogue:
    """
    Everything published that this process has learned.

    ``store_contact_at`` is the time of the last contact with the store, by this process
    or by a peer; ``own_read_at`` is when the store last answered this process.
    ``lapsed`` holds the back ends whose entries went missing after an outage of the
    store, with the end of their grace period; ``removed`` maps other back ends to the
    revision at which they were removed.
    """

    store_revision: int = 0
    configuration: Configuration | None = None
    configuration_at: float = 0.0
    routes: RouteTable = field(default_factory=RouteTable)
    weights: dict[str, PublishedWeights] = field(default_factory=dict)
    servers: dict[str, ListedServer] = field(default_factory=dict)
    lapsed: dict[str, Lapse] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    store_contact_at: float | None = None
    own_read_at: float | None = None
    lapse_grace_until: float = 0.0

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
        """Record a published version; return whether it is the newest of its model."""
        published = self.weights.get(model)
        if published is None:
            self.weights[model] = PublishedWeights([PublishedVersion(version, now)])
            return True
        if version <= published.version:
            return False
        published.append(version, now)
        return True

    def list_server(self, server: ListedServer) -> bool:
        """
        Add or update the entry of a back end; return whether it changed anything.

        Updates arrive over several paths and out of order, so an entry of an earlier
        revision than the latest known for its back end is ignored.
        """
        listed = self.servers.get(server.server_id)
        latest = listed.revision if listed else self.removed.get(server.server_id, 0)
        lapse = self.lapsed.get(server.server_id)
        if server.revision < latest or (lapse and server.revision <= lapse.revision):
            return False
        self.lapsed.pop(server.server_id, None)
        if listed == server:
            return False
        self.removed.pop(server.server_id, None)
        self.servers[server.server_id] = server
        return True

    def process_missing_entry(self, server_id: str, revision: int, now: float) -> bool:
        """
        Process a missing entry; return whether its back end was removed.

        Right after an outage of the store an entry may have lapsed although its
        back end is live, so the back end is kept for a grace period.
        """
        listed = self.servers.get(server_id)
        if listed is None or listed.revision > revision:
            return False
        if now < self.lapse_grace_until:
            self.mark_lapsed(server_id, revision)
            return False
        self.drop_server(server_id, revision)
        return True

    def mark_lapsed(self, server_id: str, revision: int) -> None:
        """Keep a back end whose entry is missing until the grace period ends."""
        self.lapsed.setdefault(server_id, Lapse(revision, self.lapse_grace_until))

    def drop_server(self, server_id: str, revision: int) -> None:
        """Remove a back end and keep the revision at which it was removed."""
        self.servers.pop(server_id, None)
        self.lapsed.pop(server_id, None)
        self.removed[server_id] = revision
        while len(self.removed) > MAX_REMOVED_SERVERS:
            del self.removed[next(iter(self.removed))]

    def expire_lapsed_servers(self, now: float) -> list[str]:
        """Remove the back ends whose grace period ended; return their identifiers."""
        expired = {
            server_id: lapse.revision
            for server_id, lapse in self.lapsed.items()
            if now >= lapse.until
        }
        for server_id, revision in expired.items():
            self.drop_server(server_id, revision)
        return list(expired)

    def start_lapse_grace(self, now: float) -> None:
        """Start the grace period in which lapsed back ends can register again."""
        self.lapse_grace_until = now + LAPSE_GRACE_S

    def copy(self) -> CatalogueCopy:
        """Return the copy of the catalogue that is sent to a peer."""
        return CatalogueCopy(
            self.store_revision,
            self.configuration,
            {model: published.version for model, published in self.weights.items()},
            dict(self.servers),
            {server_id: lapse.revision for server_id, lapse in self.lapsed.items()},
        )

    def merge(self, copy: CatalogueCopy, now: float) -> bool:
        """Merge a peer's copy; return whether it changed anything."""
        changed = False
        if copy.configuration is not None:
            changed |= self.configure(copy.configuration, now)
        for model, version in copy.weights.items():
            changed |= self.publish_weights(model, version, now)
        if copy.store_revision > self.store_revision:
            if self.store_contact_at is None or now - self.store_contact_at > OUTAGE_S:
                # The outage that cut off this process from the store may also have cut
                # off back ends near this process, so that their entries lapsed.
                self.start_lapse_grace(now)
            self.store_revision = copy.store_revision
            self.replace_servers(copy.servers, copy.store_revision, now)
            self.merge_lapses(copy.lapsed, now)
            changed = True
        return changed

    def merge_lapses(self, lapsed: dict[str, int], now: float) -> None:
        """Start the grace period of back ends that a peer reports as lapsed."""
        for server_id, revision in lapsed.items():
            listed = self.servers.get(server_id)
            if listed is not None and listed.revision <= revision:
                self.lapsed.setdefault(server_id, Lapse(revision, now + LAPSE_GRACE_S))

    def record_peer_contact(self, contact_at: float) -> None:
        """
        Record the time of a peer's last contact with the store.

        Call this only for a peer whose list of back ends is not newer than this
        process's list: the store then had no newer list at the time of its contact.
        """
        if contact_at > (self.store_contact_at or float("-inf")):
            self.store_contact_at = contact_at

    def replace_servers(
        self, servers: dict[str, ListedServer], revision: int, now: float
    ) -> None:
        """Replace the list of back ends by the complete list of a revision."""
        for server in servers.values():
            self.list_server(server)
        for server_id in [known for known in self.servers if known not in servers]:
            self.process_missing_entry(server_id, revision, now)
