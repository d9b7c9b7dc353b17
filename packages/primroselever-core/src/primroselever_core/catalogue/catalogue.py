"""
The catalogue of one process: what holds now, and what may replace it.

A configuration and a version of weights only ever give way to a higher one, from
whatever source. The list of back ends follows the revision of the platform's store;
a copy from a peer replaces it only when it is of a later revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .catalogue_copy import CatalogueCopy
from .routes import RouteTable

if TYPE_CHECKING:
    from .model import Configuration, ListedServer

REMOVED_REMEMBERED = 512  # words that overtake each other are seconds apart
VERSIONS_REMEMBERED = 8  # of one model; the older ones bind since long
OUTAGE_S = 3.5  # above the longest watch: the store was not heard for so long
RETURN_GRACE_S = 2.0  # entries that lapsed while the store was away return within this


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """
    A version of a model and when it was learned.

    ``assumed`` marks the guess of a process that found the version when it started.
    """

    version: int
    learned_at: float
    assumed: bool = False


@dataclass(frozen=True, slots=True)
class Lapse:
    """At which revision a back end's entry was missed, and until when it counts."""

    revision: int
    until: float


@dataclass(slots=True)
class NamedWeights:
    """
    The versions of a model that were named, and when each was learned, oldest first.

    Each one binds by itself: a newer version does not put off the bound of the one
    before it.
    """

    history: list[NamedVersion]

    @property
    def newest(self) -> NamedVersion:
        """Return the newest version with when it was learned."""
        return self.history[-1]

    @property
    def version(self) -> int:
        """Return the newest version."""
        return self.newest.version

    @property
    def learned_at(self) -> float:
        """Return when the newest version was learned."""
        return self.newest.learned_at

    def name(self, version: int, now: float) -> None:
        """Take in a newer version."""
        self.history.append(NamedVersion(version, now))
        del self.history[:-VERSIONS_REMEMBERED]

    def assume_learned(self, learned_at: float) -> None:
        """Assume when the newest version was named, until a peer says more."""
        self.history[-1] = NamedVersion(self.version, learned_at, assumed=True)

    def peer_learned(self, version: int, learned_at: float) -> None:
        """
        Take in when a peer learned of a version; the first to learn it counts.

        A process that started late learns that way of versions before the newest, whose
        bounds hold as well.
        """
        if version > self.version:
            return
        for index, known in enumerate(self.history):
            if known.version == version:
                if known.assumed or learned_at < known.learned_at:
                    self.history[index] = NamedVersion(version, learned_at)
                return
        self.history.append(NamedVersion(version, learned_at))
        self.history.sort(key=lambda known: known.version)
        del self.history[:-VERSIONS_REMEMBERED]

    def bound_since(self, learned_before: float) -> int:
        """Return the newest version that was learned by then, 0 for none."""
        bound = (
            known.version
            for known in self.history
            if known.learned_at <= learned_before
        )
        return max(bound, default=0)


@dataclass(slots=True)
class Catalogue:
    """
    All that was published, as far as this process knows.

    ``heard_at`` is when the store was last heard, by whatever way, ``read_at`` when it
    last answered this process itself. ``lapsed`` maps back ends whose entries vanished
    while the store was away to when they count as gone; ``removed`` holds at which
    revision others went.
    """

    store_revision: int = 0
    configuration: Configuration | None = None
    configuration_at: float = 0.0
    routes: RouteTable = field(default_factory=RouteTable)
    weights: dict[str, NamedWeights] = field(default_factory=dict)
    servers: dict[str, ListedServer] = field(default_factory=dict)
    lapsed: dict[str, Lapse] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    heard_at: float | None = None
    read_at: float | None = None
    lapse_grace_until: float = 0.0

    def configure(self, configuration: Configuration, now: float) -> bool:
        """Put a configuration in force unless one as high is; return whether."""
        known = self.configuration
        if known is not None and configuration.revision <= known.revision:
            return False
        self.configuration = configuration
        self.configuration_at = now
        self.routes = RouteTable.of(configuration)
        return True

    def name_weights(self, model: str, version: int, now: float) -> bool:
        """Take in a named version; return whether it is newer than what was known."""
        known = self.weights.get(model)
        if known is None:
            self.weights[model] = NamedWeights([NamedVersion(version, now)])
            return True
        if version <= known.version:
            return False
        known.name(version, now)
        return True

    def list_server(self, server: ListedServer) -> bool:
        """
        Take in the entry of a back end; return whether it changed anything.

        Words come by several ways and overtake each other: an earlier one than what
        is known of the same back end changes nothing.
        """
        known = self.servers.get(server.server_id)
        last = known.revision if known else self.removed.get(server.server_id, 0)
        lapse = self.lapsed.get(server.server_id)
        if server.revision < last or (lapse and server.revision <= lapse.revision):
            return False
        self.lapsed.pop(server.server_id, None)
        if known == server:
            return False
        self.removed.pop(server.server_id, None)
        self.servers[server.server_id] = server
        return True

    def remove_server(self, server_id: str, revision: int, now: float) -> bool:
        """
        Take in that an entry vanished; return whether the back end is gone now.

        Right after an outage of the store an entry may have lapsed although its
        back end lives, so that it is kept for a moment.
        """
        known = self.servers.get(server_id)
        if known is None or known.revision > revision:
            return False
        if now < self.lapse_grace_until:
            self.lapse(server_id, revision)
            return False
        self.drop_server(server_id, revision)
        return True

    def lapse(self, server_id: str, revision: int) -> None:
        """Keep a back end whose entry is missing until the grace is over."""
        self.lapsed.setdefault(server_id, Lapse(revision, self.lapse_grace_until))

    def drop_server(self, server_id: str, revision: int) -> None:
        """Forget a back end, but not at which revision it had gone."""
        self.servers.pop(server_id, None)
        self.lapsed.pop(server_id, None)
        self.removed[server_id] = revision
        while len(self.removed) > REMOVED_REMEMBERED:
            del self.removed[next(iter(self.removed))]

    def expire_lapsed(self, now: float) -> list[str]:
        """Remove the back ends whose entries did not come back; return them."""
        expired = {
            name: lapse.revision
            for name, lapse in self.lapsed.items()
            if now >= lapse.until
        }
        for server_id, revision in expired.items():
            self.drop_server(server_id, revision)
        return list(expired)

    def store_returned(self, now: float) -> None:
        """Give entries that lapsed during an outage the time to come back."""
        self.lapse_grace_until = now + RETURN_GRACE_S

    def copy(self) -> CatalogueCopy:
        """Return what is handed to a peer."""
        return CatalogueCopy(
            self.store_revision,
            self.configuration,
            {model: named.version for model, named in self.weights.items()},
            dict(self.servers),
            {name: lapse.revision for name, lapse in self.lapsed.items()},
        )

    def merge(self, copy: CatalogueCopy, now: float) -> bool:
        """Take in a peer's copy; return whether anything of it was news."""
        changed = False
        if copy.configuration is not None:
            changed |= self.configure(copy.configuration, now)
        for model, version in copy.weights.items():
            changed |= self.name_weights(model, version, now)
        if copy.store_revision > self.store_revision:
            if self.heard_at is None or now - self.heard_at > OUTAGE_S:
                # Back ends beside this process may have lapsed for the same reason.
                self.store_returned(now)
            self.store_revision = copy.store_revision
            self.replace_servers(copy.servers, copy.store_revision, now)
            self.take_lapses(copy.lapsed, now)
            changed = True
        return changed

    def take_lapses(self, lapsed: dict[str, int], now: float) -> None:
        """Take in which back ends a peer keeps although their entries are missing."""
        for server_id, revision in lapsed.items():
            known = self.servers.get(server_id)
            if known is not None and known.revision <= revision:
                self.lapsed.setdefault(server_id, Lapse(revision, now + RETURN_GRACE_S))

    def heard_by_peer(self, heard_at: float) -> None:
        """Take in when a peer that knows no more than this process heard the store."""
        if heard_at > (self.heard_at or float("-inf")):
            self.heard_at = heard_at

    def replace_servers(
        self, servers: dict[str, ListedServer], revision: int, now: float
    ) -> None:
        """Take in the whole list of back ends as of a revision."""
        for server in servers.values():
            self.list_server(server)
        for server_id in [name for name in self.servers if name not in servers]:
            self.remove_server(server_id, revision, now)
