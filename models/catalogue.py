"""
The catalogues of entries that read one store and exchange copies with each other.

An entry learns of one back end and of configurations by full reads that may be stale,
by an ordered watch, and by copies that a peer made at any earlier time. After an outage
of the store, a back end whose store entry lapsed is kept for a grace time. All
decisions are made by the catalogue of the core package. Only the ways in which events
reach the entries are modelled.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from typing import TYPE_CHECKING, Any, NamedTuple

from primroselever_core.catalogue.catalogue import Catalogue
from primroselever_core.catalogue.catalogue_copy import CatalogueCopy
from primroselever_core.catalogue.events import ServerListed, ServerRemoved, apply
from primroselever_core.catalogue.known_servers import Removal
from primroselever_core.catalogue.model import (
    CallerLimits,
    Configuration,
    ListedServer,
    ServerState,
)
from primroselever_core.catalogue.store_position import StorePosition

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State

SERVER_ID = "i-1"
READY, LEAVING, REMOVED, PUBLISHED = "ready", "leaving", "gone", "published"

# The events in the store, in order. The position of an event, from 1, is its revision.
LEAVING_HISTORY = (READY, LEAVING, REMOVED, READY)
LAPSE_HISTORY = (READY, REMOVED, READY)
CONFIGURATION_HISTORY = (PUBLISHED, READY, PUBLISHED)
ENTRY_NAMES = ("a", "b")
NOW_S, GRACE_END_S = 1.0, 100.0
MAX_COPIES = 2  # a delayed one and a new one
LIMITS = CallerLimits(1, 1, 1.0, 1.0)


class Copy(NamedTuple):
    """
    The copy of a catalogue that a peer sends, as revisions.

    Revisions are 0 for nothing, except that ``lapsed_revision`` is -1.
    """

    store_revision: int
    configuration_revision: int
    listed_revision: int
    lapsed_revision: int


class Entry(NamedTuple):
    """
    The state of an entry, as revisions that are 0 for nothing.

    The back end was listed at ``listed_revision`` and removed at ``removed_revision``.
    At ``lapsed_revision``, or -1 for never, its store entry was found missing within
    the grace time after an outage. The watch has reached ``watched_revision``, which is
    -1 before a full read.

    The newest revisions are bookkeeping of the model that the catalogue does not have.
    They are the latest ones at which this incarnation of the entry learned that the
    back end is listed, that it is no longer listed, and of a configuration.
    """

    store_revision: int = 0
    configuration_revision: int = 0
    listed_revision: int = 0
    removed_revision: int = 0
    lapsed_revision: int = -1
    in_grace: bool = False
    watched_revision: int = -1
    newest_listed_revision: int = 0
    newest_unlisted_revision: int = 0
    newest_configuration_revision: int = 0


class GlobalState(NamedTuple):
    """A state of the model; ``event_count`` counts the events in the store so far."""

    event_count: int
    entries: tuple[Entry, ...]
    wire: frozenset[Copy]


@dataclass(frozen=True, slots=True)
class History:
    """The events in the store, and whether the store has an outage meanwhile."""

    events: tuple[str, ...]
    outage: bool = False

    def event_at(self, revision: int) -> str:
        """Return the event at a revision."""
        return self.events[revision - 1]

    def configuration_revision_at(self, revision: int) -> int:
        """Return the revision of the stored configuration at a revision, 0 for none."""
        publications = (
            earlier
            for earlier in range(revision, 0, -1)
            if self.event_at(earlier) == PUBLISHED
        )
        return next(publications, 0)

    def listed_revision_at(self, revision: int) -> int:
        """Return the revision of the store entry at a revision, 0 for none."""
        for earlier in range(revision, 0, -1):
            if self.event_at(earlier) in (READY, LEAVING):
                return earlier
            if self.event_at(earlier) == REMOVED:
                return 0
        return 0

    def server_at(self, revision: int) -> ListedServer:
        """Return the back end as it was listed at a revision."""
        return make_server(revision, self.event_at(revision) == READY)


@cache
def make_server(revision: int, ready: bool) -> ListedServer:
    """Return the back end as it was listed at a revision."""
    state = ServerState.READY if ready else ServerState.LEAVING
    return ListedServer(
        SERVER_ID, "gen", ("10.0.0.1", 1), "a", state, 1, 1, revision=revision
    )


@cache
def make_configuration(revision: int) -> Configuration | None:
    """Return a configuration, None for revision 0."""
    return Configuration(revision, (), (), LIMITS) if revision else None


def get_listed_revision(catalogue: Catalogue) -> int:
    """Return the revision of the back end in the catalogue, 0 if it is not listed."""
    server = catalogue.servers.get(SERVER_ID)
    return server.revision if server else 0


class TransitionSystem:
    """The transitions for a history and a catalogue class, which may be a mutant."""

    def __init__(
        self, history: History, catalogue_class: type[Catalogue] = Catalogue
    ) -> None:
        self.history = history
        self.catalogue_class = catalogue_class

    def initial(self) -> GlobalState:
        """Return the state before the first event in the store."""
        return GlobalState(0, (Entry(), Entry()), frozenset())

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        current = GlobalState(*state)
        steps: list[tuple[str, State]] = []
        if current.event_count < len(self.history.events):
            successor = current._replace(event_count=current.event_count + 1)
            event = self.history.event_at(successor.event_count)
            steps.append((f"the store: {event}", successor))
        for index, name in enumerate(ENTRY_NAMES):
            for label, entry in self.entry_steps(current, index):
                entries = list(current.entries)
                entries[index] = entry
                steps.append(
                    (f"{name} {label}", current._replace(entries=tuple(entries)))
                )
            entry = current.entries[index]
            copy = Copy(
                entry.store_revision,
                entry.configuration_revision,
                entry.listed_revision,
                entry.lapsed_revision,
            )
            if len(current.wire) < MAX_COPIES:
                successor = current._replace(wire=current.wire | {copy})
                steps.append((f"{name} sends a copy", successor))
        return [
            (label, successor) for label, successor in steps if successor != current
        ]

    def entry_steps(
        self, current: GlobalState, index: int
    ) -> Iterator[tuple[str, Entry]]:
        """Yield the transitions of one entry."""
        entry = current.entries[index]
        for revision in range(current.event_count + 1):
            yield f"reads all as of {revision}", self.apply_read(entry, revision)
        if 0 <= entry.watched_revision < current.event_count:
            yield "watches", self.apply_watch(entry)
        for copy in current.wire:
            yield f"receives {copy}", self.apply_copy(entry, copy)
        if self.history.outage and not entry.in_grace:
            yield "reaches the store again", entry._replace(in_grace=True)
        if entry.in_grace:
            yield "ends its grace time", self.end_grace(entry)
        yield "restarts", Entry()

    def load_catalogue(self, entry: Entry) -> Catalogue:
        """Return the catalogue that corresponds to the state of an entry."""
        catalogue = self.catalogue_class(
            store_position=StorePosition(revision=entry.store_revision),
            configuration=make_configuration(entry.configuration_revision),
            store_contact_at=NOW_S,
            lapse_grace_until=GRACE_END_S if entry.in_grace else 0.0,
        )
        if entry.listed_revision:
            catalogue.servers[SERVER_ID] = self.history.server_at(entry.listed_revision)
        if entry.removed_revision:
            catalogue.removed[SERVER_ID] = Removal(
                StorePosition(revision=entry.removed_revision)
            )
        if entry.lapsed_revision >= 0:
            catalogue.mark_lapsed(
                SERVER_ID, StorePosition(revision=entry.lapsed_revision)
            )
        return catalogue

    def save_entry(
        self, entry: Entry, catalogue: Catalogue, unlisted_revision: int, **changes: Any
    ) -> Entry:
        """
        Return the entry with the state of its catalogue after a transition.

        ``unlisted_revision`` is the revision as of which the entry learned that the
        back end is not listed, 0 if it did not.
        """
        listed_revision = get_listed_revision(catalogue)
        removal = catalogue.removed.get(SERVER_ID)
        removed_revision = removal.position.revision if removal else 0
        lapse = catalogue.lapsed.get(SERVER_ID)
        configuration = catalogue.configuration
        configuration_revision = configuration.revision if configuration else 0
        return entry._replace(
            store_revision=catalogue.store_position.revision,
            configuration_revision=configuration_revision,
            listed_revision=listed_revision,
            removed_revision=removed_revision,
            lapsed_revision=lapse.position.revision if lapse else -1,
            newest_listed_revision=max(entry.newest_listed_revision, listed_revision),
            newest_unlisted_revision=max(
                entry.newest_unlisted_revision, unlisted_revision
            )
            if entry.newest_listed_revision
            else 0,
            newest_configuration_revision=max(
                entry.newest_configuration_revision, configuration_revision
            ),
            **changes,
        )

    def apply_read(self, entry: Entry, revision: int) -> Entry:
        """Return the entry after a full read that returned the state at a revision."""
        catalogue = self.load_catalogue(entry)
        configuration = make_configuration(
            self.history.configuration_revision_at(revision)
        )
        if configuration is not None:
            catalogue.configure(configuration, NOW_S)
        listed_revision = self.history.listed_revision_at(revision)
        servers = (
            {SERVER_ID: self.history.server_at(listed_revision)}
            if listed_revision
            else {}
        )
        catalogue.replace_servers(servers, StorePosition(revision=revision), NOW_S)
        unlisted_revision = 0 if listed_revision else revision
        return self.save_entry(
            entry, catalogue, unlisted_revision, watched_revision=revision
        )

    def apply_watch(self, entry: Entry) -> Entry:
        """Return the entry after it received the next event by its watch."""
        revision = entry.watched_revision + 1
        catalogue = self.load_catalogue(entry)
        event = self.history.event_at(revision)
        if event == PUBLISHED:
            configuration = make_configuration(revision)
            if configuration is not None:
                catalogue.configure(configuration, NOW_S)
        else:
            changed = apply(
                ServerRemoved(SERVER_ID, revision)
                if event == REMOVED
                else ServerListed(self.history.server_at(revision)),
                catalogue,
                NOW_S,
            )
            if changed:
                catalogue.store_position = max(
                    StorePosition(revision=revision), catalogue.store_position
                )
        unlisted_revision = revision if event == REMOVED else 0
        return self.save_entry(
            entry, catalogue, unlisted_revision, watched_revision=revision
        )

    def apply_copy(self, entry: Entry, copy: Copy) -> Entry:
        """Return the entry after it merged a copy from its peer."""
        catalogue = self.load_catalogue(entry)
        servers = (
            {SERVER_ID: self.history.server_at(copy.listed_revision)}
            if copy.listed_revision
            else {}
        )
        lapsed = {SERVER_ID: copy.lapsed_revision} if copy.lapsed_revision >= 0 else {}
        configuration = make_configuration(copy.configuration_revision)
        catalogue.merge(
            CatalogueCopy(copy.store_revision, configuration, {}, servers, lapsed),
            NOW_S,
        )
        is_newer = copy.store_revision > entry.store_revision
        unlisted_revision = (
            copy.store_revision if is_newer and not copy.listed_revision else 0
        )
        return self.save_entry(entry, catalogue, unlisted_revision)

    def end_grace(self, entry: Entry) -> Entry:
        """Return the entry after the grace time that follows an outage."""
        catalogue = self.load_catalogue(entry)
        catalogue.expire_lapsed_servers(GRACE_END_S)
        return self.save_entry(entry, catalogue, 0, in_grace=False)


class TakesAnyConfiguration(Catalogue):
    """A mutant that applies the last received configuration, whatever its revision."""

    def configure(self, configuration: Configuration, now: float) -> bool:
        """Apply any configuration."""
        self.configuration = None
        return super().configure(configuration, now)


class TakesAnyWord(Catalogue):
    """A mutant that applies the last received listing, whatever its revision."""

    def list_server(self, server: ListedServer) -> bool:
        """Apply a listing, even if it is older than what is known."""
        self.servers.pop(server.server_id, None)
        self.removed.pop(server.server_id, None)
        return super().list_server(server)


class ForgetsWhatWent(Catalogue):
    """A mutant that does not remember the revisions of removals."""

    def drop_server(self, server_id: str, position: StorePosition) -> None:
        """Remove a back end and forget all removals."""
        super().drop_server(server_id, position)
        self.removed.clear()


def never_back(state: dict[str, Any]) -> bool:
    """
    Return whether no entry uses an older listing or removal than it learned before.

    Within the grace time after an outage, a back end may remain listed after the entry
    learned of its removal. A stale read may also add a removed back end that this
    incarnation of the entry has never listed; the watch removes it later.
    """
    return all(
        not entry.listed_revision
        or (
            entry.listed_revision >= entry.newest_listed_revision
            and (
                entry.listed_revision > entry.newest_unlisted_revision
                or entry.lapsed_revision >= 0
            )
        )
        for entry in GlobalState(**state).entries
    )


def configuration_never_back(state: dict[str, Any]) -> bool:
    """Return whether no entry has replaced a configuration with an older one."""
    return all(
        entry.configuration_revision >= entry.newest_configuration_revision
        for entry in GlobalState(**state).entries
    )


def specification(
    name: str, system: TransitionSystem, expected_violation: str = ""
) -> Specification:
    """Return a specification; a mutant names the violation that it must cause."""
    return Specification(
        name=name,
        fields=GlobalState._fields,
        initial=system.initial(),
        transitions=system.transitions,
        invariants={
            "never_back": never_back,
            "configuration_never_back": configuration_never_back,
        },
        expected_violation=expected_violation,
    )


def specifications() -> list[Specification]:
    """Return the specifications that must hold and the mutants to be refuted."""
    leaves, lapses = History(LEAVING_HISTORY), History(LAPSE_HISTORY, outage=True)
    configured = History(CONFIGURATION_HISTORY)
    back = "never_back"
    return [
        specification("catalogue: a back end leaves", TransitionSystem(leaves)),
        specification("catalogue: entries lapse", TransitionSystem(lapses)),
        specification("catalogue: configurations", TransitionSystem(configured)),
        specification(
            "catalogue: any configuration",
            TransitionSystem(configured, TakesAnyConfiguration),
            "configuration_never_back",
        ),
        specification(
            "catalogue: any word", TransitionSystem(leaves, TakesAnyWord), back
        ),
        specification(
            "catalogue: forgets what went",
            TransitionSystem(leaves, ForgetsWhatWent),
            back,
        ),
    ]
