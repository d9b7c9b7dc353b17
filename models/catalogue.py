"""
The catalogue of entries that read one store, now and late, and copies of each other.

The store's words about one back end and the configurations reach an entry by full reads
that may be stale, by a watch in order, and by copies that a peer made at any earlier
time. After an outage of the store, a back end whose entry lapsed is kept for a while.
The decisions are those of the core's catalogue; only the words' ways are modelled.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from typing import TYPE_CHECKING, Any, NamedTuple

from primroselever_core.catalogue.catalogue import Catalogue
from primroselever_core.catalogue.catalogue_copy import CatalogueCopy
from primroselever_core.catalogue.events import ServerListed, ServerRemoved, apply
from primroselever_core.catalogue.model import (
    CallerLimits,
    Configuration,
    ListedServer,
    ServerState,
)

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State

NAME = "i-1"
READY, LEAVING, GONE, PUBLISHED = "ready", "leaving", "gone", "published"

# What happens in the store, in this order; the place in the list is the revision.
LEAVES = (READY, LEAVING, GONE, READY)
LAPSES = (READY, GONE, READY)
CONFIGURED = (PUBLISHED, READY, PUBLISHED)
ENTRIES = ("a", "b")
NOW, GRACE_OVER = 1.0, 100.0
MOST_COPIES = 2  # one that is late and one that is new
LIMITS = CallerLimits(1, 1, 1.0, 1.0)


class Copy(NamedTuple):
    """What a peer hands on, as revisions; ``lapsed`` is -1 for none."""

    store_revision: int
    configuration: int
    listed: int
    lapsed: int


class Entry(NamedTuple):
    """
    What an entry knows; revisions are 0 for nothing.

    ``listed`` is at which revision the back end was listed, ``removed`` at which it
    went, ``lapsed`` at which its entry was missed within the grace after an outage.
    ``watched`` is how far its watch came, -1 before a full read. ``newest`` is the
    latest revision at which this start of the entry heard that the back end is
    listed, ``gone`` the latest at which it heard that it is not any more; the code
    knows neither.
    """

    store_revision: int = 0
    configuration: int = 0
    listed: int = 0
    removed: int = 0
    lapsed: int = -1
    in_grace: bool = False
    watched: int = -1
    newest: int = 0
    gone: int = 0
    newest_configuration: int = 0


class World(NamedTuple):
    """A state; ``happened`` counts the words of the store's history so far."""

    happened: int
    entries: tuple[Entry, ...]
    wire: frozenset[Copy]


@dataclass(frozen=True, slots=True)
class History:
    """What happens in the store, and whether the store is away meanwhile."""

    words: tuple[str, ...]
    outage: bool = False

    def word_at(self, revision: int) -> str:
        """Return what happened at a revision."""
        return self.words[revision - 1]

    def configuration_at(self, revision: int) -> int:
        """Return the revision of the configuration that the store then holds."""
        found = (r for r in range(revision, 0, -1) if self.word_at(r) == PUBLISHED)
        return next(found, 0)

    def listed_at(self, revision: int) -> int:
        """Return the revision of the back end's entry in the store, 0 for none."""
        for earlier in range(revision, 0, -1):
            if self.word_at(earlier) in (READY, LEAVING):
                return earlier
            if self.word_at(earlier) == GONE:
                return 0
        return 0

    def server(self, revision: int) -> ListedServer:
        """Return the back end as it was listed at a revision."""
        return server(revision, self.word_at(revision) == READY)


@cache
def server(revision: int, ready: bool) -> ListedServer:
    """Return the back end as it was listed at a revision."""
    state = ServerState.READY if ready else ServerState.LEAVING
    return ListedServer(
        NAME, "gen", ("10.0.0.1", 1), "a", state, 1, 1, revision=revision
    )


@cache
def configuration(revision: int) -> Configuration | None:
    """Return a configuration, None for revision 0."""
    return Configuration(revision, (), (), LIMITS) if revision else None


def revision_in(catalogue: Catalogue) -> int:
    """Return at which revision the catalogue lists the back end, 0 for not at all."""
    listed = catalogue.servers.get(NAME)
    return listed.revision if listed else 0


class Machine:
    """The transitions, for a catalogue or the mutant that stands in for it."""

    def __init__(
        self, history: History, catalogue: type[Catalogue] = Catalogue
    ) -> None:
        self.history = history
        self.catalogue = catalogue

    def initial(self) -> World:
        """Return the state in which nothing has happened."""
        return World(0, (Entry(), Entry()), frozenset())

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all that may happen next."""
        world = World(*state)
        steps: list[tuple[str, State]] = []
        if world.happened < len(self.history.words):
            after = world._replace(happened=world.happened + 1)
            word = self.history.word_at(after.happened)
            steps.append((f"the store: {word}", after))
        for index, name in enumerate(ENTRIES):
            for label, entry in self.entry_steps(world, index):
                entries = list(world.entries)
                entries[index] = entry
                steps.append(
                    (f"{name} {label}", world._replace(entries=tuple(entries)))
                )
            entry = world.entries[index]
            copy = Copy(
                entry.store_revision, entry.configuration, entry.listed, entry.lapsed
            )
            if len(world.wire) < MOST_COPIES:
                handed = world._replace(wire=world.wire | {copy})
                steps.append((f"{name} hands a copy on", handed))
        return [(label, after) for label, after in steps if after != world]

    def entry_steps(self, world: World, index: int) -> Iterator[tuple[str, Entry]]:
        """Yield what one entry may do."""
        entry = world.entries[index]
        for revision in range(world.happened + 1):
            yield f"reads all as of {revision}", self.reads(entry, revision)
        if 0 <= entry.watched < world.happened:
            yield "watches", self.watches(entry)
        for copy in world.wire:
            yield f"takes in {copy}", self.merges(entry, copy)
        if self.history.outage and not entry.in_grace:
            yield "hears the store again", entry._replace(in_grace=True)
        if entry.in_grace:
            yield "ends its grace", self.ends_grace(entry)
        yield "restarts", Entry()

    def load(self, entry: Entry) -> Catalogue:
        """Return the catalogue of an entry."""
        catalogue = self.catalogue(
            store_revision=entry.store_revision,
            configuration=configuration(entry.configuration),
            store_contact_at=NOW,
            lapse_grace_until=GRACE_OVER if entry.in_grace else 0.0,
        )
        if entry.listed:
            catalogue.servers[NAME] = self.history.server(entry.listed)
        if entry.removed:
            catalogue.removed[NAME] = entry.removed
        if entry.lapsed >= 0:
            catalogue.mark_lapsed(NAME, entry.lapsed)
        return catalogue

    def save(
        self, entry: Entry, catalogue: Catalogue, gone: int, **changes: Any
    ) -> Entry:
        """
        Return the entry with what its catalogue holds after a word of the store.

        ``gone`` is the revision as of which the back end is not listed, 0 if it is.
        """
        listed, removed = revision_in(catalogue), catalogue.removed.get(NAME, 0)
        lapsed = catalogue.lapsed.get(NAME)
        held = catalogue.configuration
        number = held.revision if held else 0
        return entry._replace(
            store_revision=catalogue.store_revision,
            configuration=number,
            listed=listed,
            removed=removed,
            lapsed=lapsed.revision if lapsed else -1,
            newest=max(entry.newest, listed),
            gone=max(entry.gone, gone) if entry.newest else 0,
            newest_configuration=max(entry.newest_configuration, number),
            **changes,
        )

    def reads(self, entry: Entry, revision: int) -> Entry:
        """Return the entry after a full read of a store that may be stale."""
        catalogue = self.load(entry)
        held = configuration(self.history.configuration_at(revision))
        if held is not None:
            catalogue.configure(held, NOW)
        listed = self.history.listed_at(revision)
        servers = {NAME: self.history.server(listed)} if listed else {}
        catalogue.replace_servers(servers, revision, NOW)
        catalogue.store_revision = max(revision, catalogue.store_revision)
        gone = 0 if listed else revision
        return self.save(entry, catalogue, gone, watched=revision)

    def watches(self, entry: Entry) -> Entry:
        """Return the entry after the next word of its watch."""
        revision = entry.watched + 1
        catalogue = self.load(entry)
        word = self.history.word_at(revision)
        if word == PUBLISHED:
            held = configuration(revision)
            if held is not None:
                catalogue.configure(held, NOW)
        else:
            changed = apply(
                ServerRemoved(NAME, revision)
                if word == GONE
                else ServerListed(self.history.server(revision)),
                catalogue,
                NOW,
            )
            if changed:
                catalogue.store_revision = max(revision, catalogue.store_revision)
        gone = revision if word == GONE else 0
        return self.save(entry, catalogue, gone, watched=revision)

    def merges(self, entry: Entry, copy: Copy) -> Entry:
        """Return the entry after it took in a peer's copy."""
        catalogue = self.load(entry)
        servers = {NAME: self.history.server(copy.listed)} if copy.listed else {}
        lapsed = {NAME: copy.lapsed} if copy.lapsed >= 0 else {}
        held = configuration(copy.configuration)
        catalogue.merge(
            CatalogueCopy(copy.store_revision, held, {}, servers, lapsed), NOW
        )
        news = copy.store_revision > entry.store_revision
        gone = copy.store_revision if news and not copy.listed else 0
        return self.save(entry, catalogue, gone)

    def ends_grace(self, entry: Entry) -> Entry:
        """Return the entry after the grace that follows an outage."""
        catalogue = self.load(entry)
        catalogue.expire_lapsed_servers(GRACE_OVER)
        return self.save(entry, catalogue, 0, in_grace=False)


class TakesAnyConfiguration(Catalogue):
    """A mutant: the configuration heard last is in force."""

    def configure(self, configuration: Configuration, now: float) -> bool:
        """Put any configuration in force."""
        self.configuration = None
        return super().configure(configuration, now)


class TakesAnyWord(Catalogue):
    """A mutant: the word about a back end that was heard last counts."""

    def list_server(self, server: ListedServer) -> bool:
        """Take in a word, be it older than what is known."""
        self.servers.pop(server.server_id, None)
        self.removed.pop(server.server_id, None)
        return super().list_server(server)


class ForgetsWhatWent(Catalogue):
    """A mutant: at which revision a back end went is not remembered."""

    def drop_server(self, server_id: str, revision: int) -> None:
        """Forget a back end altogether."""
        super().drop_server(server_id, revision)
        self.removed.clear()


def never_back(state: dict[str, Any]) -> bool:
    """
    Return whether no entry uses an older word than it has heard before.

    Within the grace after an outage, a back end may be listed that was heard to be
    gone. One that this start of the entry has never listed may come by a stale read,
    until the watch goes on from there.
    """
    return all(
        not entry.listed
        or (
            entry.listed >= entry.newest
            and (entry.listed > entry.gone or entry.lapsed >= 0)
        )
        for entry in World(**state).entries
    )


def configuration_never_back(state: dict[str, Any]) -> bool:
    """Return whether each entry has the newest configuration in force that it had."""
    return all(
        entry.configuration >= entry.newest_configuration
        for entry in World(**state).entries
    )


def specification(name: str, machine: Machine, refutes: str = "") -> Specification:
    """Return one specification of this module."""
    return Specification(
        name=name,
        fields=World._fields,
        initial=machine.initial(),
        transitions=machine.transitions,
        invariants={
            "never_back": never_back,
            "configuration_never_back": configuration_never_back,
        },
        refutes=refutes,
    )


def specifications() -> list[Specification]:
    """Return what must hold, and the mutants that must be refuted."""
    leaves, lapses = History(LEAVES), History(LAPSES, outage=True)
    configured = History(CONFIGURED)
    back = "never_back"
    return [
        specification("catalogue: a back end leaves", Machine(leaves)),
        specification("catalogue: entries lapse", Machine(lapses)),
        specification("catalogue: configurations", Machine(configured)),
        specification(
            "catalogue: any configuration",
            Machine(configured, TakesAnyConfiguration),
            "configuration_never_back",
        ),
        specification("catalogue: any word", Machine(leaves, TakesAnyWord), back),
        specification(
            "catalogue: forgets what went", Machine(leaves, ForgetsWhatWent), back
        ),
    ]
