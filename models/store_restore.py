"""
Entries and a store that is restored from older copies of itself.

Each restore starts a new era, in which revisions go back and are given out again. A
position in the store is therefore an era and a revision. A back end numbers its own
writes by ``born`` and a sequence number, so that its listings keep their order over a
restore. Entries read the store, where a late answer may be of an earlier era, and send
each other copies.

After an entry learned of a new era, a back end that it lacks is kept for a grace time,
in which live back ends register again. The model is abstract: the rules of
``Catalogue`` are written out in ``EntryRules``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State


class Position(NamedTuple):
    """A revision of the store within an era; positions are ordered by the era first."""

    era: int = 0
    revision: int = 0


class Version(NamedTuple):
    """The order of a back end's own writes: its start, then its sequence number."""

    born: int = 0
    sequence: int = 0


NO_POSITION, NO_VERSION = Position(), Version()


class Listing(NamedTuple):
    """A store entry of the back end and the position at which it was written."""

    version: Version = NO_VERSION
    ready: bool = False
    position: Position = NO_POSITION


# Stands for the lack of an entry, so that the states of entries can be sorted.
NO_LISTING = Listing()


class Snapshot(NamedTuple):
    """
    The content of the store at a position.

    ``alive`` tells whether the back end runs; ``complete`` whether everything that the
    last restore lost has been written again. ``lapsed`` is set if the store entry ended
    although the back end is alive, until its next write.
    """

    position: Position
    listing: Listing
    configuration: int
    alive: bool
    complete: bool = True
    lapsed: bool = False


class Copy(NamedTuple):
    """The copy of its catalogue that an entry sends to its peer."""

    position: Position
    listing: Listing
    lapsed_position: Position
    withheld: Listing
    configuration: int


class Entry(NamedTuple):
    """
    What an entry knows.

    A back end whose entry was found missing at ``lapsed_position`` is kept until the
    grace time ends. ``removed_version`` and ``removed_position`` are those of the last
    removal. A restored entry of a removed back end is ``withheld`` in the grace time.

    The other fields are bookkeeping of the model: the newest versions that this
    incarnation of the entry saw listed, and saw removed, and the highest configuration
    and era.
    """

    position: Position = NO_POSITION
    listing: Listing = NO_LISTING
    lapsed_position: Position = NO_POSITION
    in_grace: bool = False
    removed_version: Version = NO_VERSION
    removed_position: Position = NO_POSITION
    withheld: Listing = NO_LISTING
    configuration: int = 0
    newest_listed: Version = NO_VERSION
    newest_removed: Version = NO_VERSION
    newest_configuration: int = 0
    newest_era: int = 0

    @property
    def is_lapsed(self) -> bool:
        """Return whether the back end is kept although its entry is missing."""
        return self.lapsed_position != NO_POSITION


class GlobalState(NamedTuple):
    """
    A state of the model.

    ``time`` is the index of the store's snapshot in the history. ``wire`` holds the
    copy that was sent last, which may arrive at any later time and repeatedly.
    """

    time: int
    entries: tuple[Entry, ...]
    wire: Copy | None


class HistoryBuilder:
    """Builds the snapshots of a store from its writes and restores."""

    def __init__(self) -> None:
        self.snapshots = [Snapshot(Position(1, 0), NO_LISTING, 0, False)]

    def append(self, **changes: Any) -> HistoryBuilder:
        """Append the snapshot after a write that changes some fields."""
        last = self.snapshots[-1]
        position = last.position._replace(revision=last.position.revision + 1)
        self.snapshots.append(last._replace(position=position, **changes))
        return self

    def configure(self, configuration: int, complete: bool = True) -> HistoryBuilder:
        """Publish a configuration."""
        return self.append(configuration=configuration, complete=complete)

    def write_listing(
        self, born: int, sequence: int, ready: bool = True
    ) -> HistoryBuilder:
        """Have the back end write its entry, which completes what a restore lost."""
        position = self.snapshots[-1].position
        listing = Listing(
            Version(born, sequence),
            ready,
            position._replace(revision=position.revision + 1),
        )
        return self.append(listing=listing, alive=True, complete=True, lapsed=False)

    def lapse(self) -> HistoryBuilder:
        """End the entry of a back end that is alive."""
        return self.append(listing=NO_LISTING, lapsed=True)

    def remove_listing(self) -> HistoryBuilder:
        """Remove the entry of a back end that has ended."""
        return self.append(listing=NO_LISTING, alive=False, complete=True)

    def restore(self, revision: int) -> HistoryBuilder:
        """Restore the store to a revision of its current era."""
        last = self.snapshots[-1]
        copied = next(
            snapshot
            for snapshot in reversed(self.snapshots)
            if snapshot.position == Position(last.position.era, revision)
        )
        era = last.position.era + 1
        listing = copied.listing
        if listing != NO_LISTING:
            listing = listing._replace(position=listing.position._replace(era=era))
        position = Position(era, revision)
        self.snapshots.append(
            Snapshot(
                position,
                listing,
                copied.configuration,
                last.alive,
                complete=False,
                lapsed=last.lapsed,
            )
        )
        return self


class EntryRules:
    """The rules by which an entry applies what it reads and receives."""

    def is_later(self, position: Position, other: Position) -> bool:
        """Return whether a position is later than another one."""
        return position > other

    def accepts_listing(self, entry: Entry, listing: Listing) -> bool:
        """Return whether a listing is newer than what the entry knows."""
        if entry.listing != NO_LISTING:
            return listing.version > entry.listing.version
        return listing.version > entry.removed_version and self.is_later(
            listing.position, entry.removed_position
        )

    def accepts_configuration(self, entry: Entry, configuration: int) -> bool:
        """Return whether a configuration is newer than that of the entry."""
        return configuration > entry.configuration

    def ignores_list(self, entry: Entry, position: Position) -> bool:
        """
        Return whether a list is of an earlier era than the entry's.

        A stale list may also add a back end that this incarnation of the entry never
        knew, until the watch removes it. The model has no watch and leaves this out.
        """
        knows_nothing = (
            entry.listing == NO_LISTING == entry.withheld
            and entry.removed_version == NO_VERSION
        )
        return position.era < entry.position.era or (
            knows_nothing and position < entry.position
        )

    def grants_grace(self, entry: Entry, position: Position) -> bool:
        """Return whether a list starts the grace time of a new era."""
        return NO_POSITION.era < entry.position.era < position.era

    def relayed(self, entry: Entry, copy: Copy) -> Copy:
        """Return a peer's copy as the entry receives it."""
        return copy

    def apply_read(self, entry: Entry, snapshot: Snapshot) -> Entry:
        """Return the entry after the store answered with a snapshot."""
        entry = self.configure(entry, snapshot.configuration)
        return self.apply_list(entry, snapshot.position, snapshot.listing)

    def apply_copy(self, entry: Entry, copy: Copy) -> Entry:
        """Return the entry after it merged a copy from its peer."""
        copy = self.relayed(entry, copy)
        entry = self.configure(entry, copy.configuration)
        if not self.is_later(copy.position, entry.position):
            return entry
        if copy.withheld != NO_LISTING:
            return self.apply_withheld(entry, copy)
        entry = self.apply_list(entry, copy.position, copy.listing)
        if copy.lapsed_position == NO_POSITION:
            return entry
        return self.apply_lapse(entry, copy.lapsed_position)

    def apply_lapse(self, entry: Entry, position: Position) -> Entry:
        """Return the entry after its peer found the back end missing."""
        if entry.withheld.position <= position:
            entry = entry._replace(withheld=NO_LISTING)
        if entry.listing == NO_LISTING and entry.removed_version != NO_VERSION:
            removed_position = max(entry.removed_position, position)
            return entry._replace(removed_position=removed_position)
        if entry.listing.position <= position:
            return self.mark_lapsed(entry, position)
        return entry

    def apply_withheld(self, entry: Entry, copy: Copy) -> Entry:
        """Return the entry after it received a listing that its peer withholds."""
        if entry.listing != NO_LISTING or entry.removed_version != NO_VERSION:
            return self.apply_list(entry, copy.position, copy.withheld)
        return entry._replace(position=copy.position, withheld=copy.withheld)

    def configure(self, entry: Entry, configuration: int) -> Entry:
        """Return the entry after it learned of a configuration."""
        if self.accepts_configuration(entry, configuration):
            return entry._replace(configuration=configuration)
        return entry

    def apply_list(self, entry: Entry, position: Position, listing: Listing) -> Entry:
        """Return the entry after a list of the back ends at a position."""
        if self.ignores_list(entry, position):
            return entry
        if self.grants_grace(entry, position):
            entry = entry._replace(in_grace=True)
        if self.is_later(position, entry.position):
            entry = entry._replace(position=position)
        if listing == NO_LISTING:
            return self.process_missing(entry, position)
        if entry.is_lapsed and not self.is_later(
            listing.position, entry.lapsed_position
        ):
            return entry
        if listing.version == entry.withheld.version:
            return entry._replace(withheld=max(listing, entry.withheld))
        if self.accepts_listing(entry, listing):
            return entry._replace(
                listing=listing, lapsed_position=NO_POSITION, withheld=NO_LISTING
            )
        known = entry.listing
        if (
            known == NO_LISTING
            and entry.in_grace
            and listing.position.era > entry.removed_position.era
        ):
            return entry._replace(withheld=max(listing, entry.withheld))
        if known != NO_LISTING and self.is_later(listing.position, known.position):
            # The store lists the back end, if only an older version of its entry.
            known = known._replace(position=listing.position)
            return entry._replace(listing=known, lapsed_position=NO_POSITION)
        return entry

    def process_missing(self, entry: Entry, position: Position) -> Entry:
        """Return the entry after a list without the back end."""
        if entry.listing == NO_LISTING:
            latest = max(entry.removed_position, entry.withheld.position)
            if latest == NO_POSITION or not self.is_later(position, latest):
                return entry
            return entry._replace(withheld=NO_LISTING, removed_position=position)
        if not self.is_later(position, entry.listing.position):
            return entry
        if entry.in_grace or entry.is_lapsed:
            return self.mark_lapsed(entry, position)
        return self.remove(entry)

    def mark_lapsed(self, entry: Entry, position: Position) -> Entry:
        """Return the entry after it found the back end missing in the grace time."""
        if entry.listing == NO_LISTING or not self.is_later(
            position, entry.lapsed_position
        ):
            return entry
        return entry._replace(lapsed_position=position)

    def remove(self, entry: Entry) -> Entry:
        """Return the entry after it removed the back end."""
        if entry.listing == NO_LISTING:
            return entry
        return entry._replace(
            listing=NO_LISTING,
            lapsed_position=NO_POSITION,
            removed_version=entry.listing.version,
            removed_position=entry.position,
        )

    def end_grace(self, entry: Entry) -> Entry:
        """Return the entry after its grace time."""
        withheld = entry.withheld
        entry = entry._replace(in_grace=False, withheld=NO_LISTING)
        if withheld != NO_LISTING:
            # A back end that had lapsed before the restore writes nothing again.
            return entry._replace(listing=withheld)
        return self.remove(entry) if entry.is_lapsed else entry


class OrdersByRevision(EntryRules):
    """A mutant that compares revisions without their eras."""

    def is_later(self, position: Position, other: Position) -> bool:
        """Return whether a position has the higher revision."""
        return position.revision > other.revision

    def ignores_list(self, entry: Entry, position: Position) -> bool:
        """Return False: the era of a list is not known."""
        return False

    def grants_grace(self, entry: Entry, position: Position) -> bool:
        """Return whether the revisions went back."""
        return position.revision < entry.position.revision


class LastListWins(EntryRules):
    """A mutant that replaces what it knows by the last list, whatever its position."""

    def is_later(self, position: Position, other: Position) -> bool:
        """Return True."""
        return True

    def accepts_listing(self, entry: Entry, listing: Listing) -> bool:
        """Return True."""
        return True

    def ignores_list(self, entry: Entry, position: Position) -> bool:
        """Return False."""
        return False


class LastConfigurationWins(EntryRules):
    """A mutant that applies any configuration, as after a restore of the store."""

    def accepts_configuration(self, entry: Entry, configuration: int) -> bool:
        """Return True."""
        return True


class RelaysNoEra(EntryRules):
    """A mutant whose copies lack the era; the receiver assumes its own."""

    def relayed(self, entry: Entry, copy: Copy) -> Copy:
        """Return the copy as if it were of the receiver's era."""
        era = entry.position.era
        listing = copy.listing
        if listing != NO_LISTING:
            position = listing.position._replace(era=era)
            listing = listing._replace(position=position)
        return copy._replace(position=copy.position._replace(era=era), listing=listing)


class GrantsNoGrace(EntryRules):
    """A mutant that removes what a restored store lacks at once."""

    def grants_grace(self, entry: Entry, position: Position) -> bool:
        """Return False."""
        return False


class KeepsFirstLapse(EntryRules):
    """A mutant that relays the first position at which a back end was missing."""

    def mark_lapsed(self, entry: Entry, position: Position) -> Entry:
        """Return the entry after the first list without the back end."""
        return entry if entry.is_lapsed else super().mark_lapsed(entry, position)


class WithholdsLapsed(EntryRules):
    """A mutant that withholds an entry that its peer found missing again."""

    def apply_lapse(self, entry: Entry, position: Position) -> Entry:
        """Return the entry without a change of what it withholds."""
        applied = super().apply_lapse(entry, position)
        return applied._replace(withheld=entry.withheld)


class NeverUsesWithheld(EntryRules):
    """A mutant that never uses a restored entry of a back end that was removed."""

    def end_grace(self, entry: Entry) -> Entry:
        """Return the entry after its grace time, without the withheld one."""
        return super().end_grace(entry._replace(withheld=NO_LISTING))


class OrdersByPositionOnly(EntryRules):
    """A mutant that ignores the back ends' own numbers of their writes."""

    def accepts_listing(self, entry: Entry, listing: Listing) -> bool:
        """Return whether the store wrote the listing at a later position."""
        known = max(entry.listing.position, entry.removed_position)
        return self.is_later(listing.position, known)


@dataclass(frozen=True, slots=True)
class TransitionSystem:
    """The transitions for a history and the rules of the entries."""

    history: tuple[Snapshot, ...]
    rules: EntryRules

    def initial(self) -> GlobalState:
        """Return the state before the first write."""
        return GlobalState(0, (Entry(), Entry()), None)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        current = GlobalState(*state)
        steps: list[tuple[str, GlobalState]] = []
        if current.time + 1 < len(self.history):
            successor = current._replace(time=current.time + 1)
            steps.append((f"the store is at {successor.time}", successor))
        for index, entry in enumerate(current.entries):
            for label, changed in self.entry_steps(current, entry):
                entries = (changed, current.entries[1 - index])
                # Both entries follow the same rules, so their order is irrelevant.
                successor = current._replace(entries=tuple(sorted(entries)))
                steps.append((label, successor))
            if entry.position != NO_POSITION:
                copy = Copy(
                    entry.position,
                    entry.listing,
                    entry.lapsed_position,
                    entry.withheld,
                    entry.configuration,
                )
                steps.append(("a copy is sent", current._replace(wire=copy)))
        return [
            (label, successor) for label, successor in steps if successor != current
        ]

    def entry_steps(
        self, current: GlobalState, entry: Entry
    ) -> Iterator[tuple[str, Entry]]:
        """Yield the transitions of one entry."""
        for time in range(current.time + 1):
            snapshot = self.history[time]
            # A back end that ended is not listed and counts as removed.
            is_removal = snapshot.listing == NO_LISTING and not snapshot.alive
            yield (
                f"the store answers as of {time}",
                self.record(
                    entry,
                    self.rules.apply_read(entry, snapshot),
                    snapshot.position,
                    is_removal,
                ),
            )
        if current.wire is not None:
            yield (
                "the copy is received",
                self.record(
                    entry,
                    self.rules.apply_copy(entry, current.wire),
                    current.wire.position,
                    False,
                ),
            )
        awaits_grace = entry.in_grace or entry.is_lapsed or entry.withheld != NO_LISTING
        if awaits_grace and self.is_grace_over(current, entry):
            ended = self.rules.end_grace(entry)
            yield "grace ends", self.record(entry, ended, entry.position, False)
        yield "restarts", Entry()

    def is_grace_over(self, current: GlobalState, entry: Entry) -> bool:
        """
        Return whether the grace time of an entry may end.

        It is long enough for live back ends to register again after a restore, and for
        the entry to learn of this.
        """
        now = self.history[current.time]
        return now.complete and entry.position == now.position

    def record(
        self, before: Entry, after: Entry, position: Position, is_removal: bool
    ) -> Entry:
        """Return the entry with the bookkeeping of what it has seen."""
        listed = after.listing.version
        newest_removed = after.newest_removed
        if (
            is_removal
            and before.listing != NO_LISTING
            and position > before.listing.position
        ):
            newest_removed = max(newest_removed, before.newest_listed)
        return after._replace(
            newest_listed=max(after.newest_listed, listed),
            newest_removed=newest_removed,
            newest_configuration=max(after.newest_configuration, after.configuration),
            newest_era=max(after.newest_era, position.era),
        )


def configuration_never_back(state: dict[str, Any]) -> bool:
    """Return whether each entry uses the newest configuration that it learned of."""
    return all(
        entry.configuration == entry.newest_configuration
        for entry in GlobalState(**state).entries
    )


def back_end_never_back(state: dict[str, Any]) -> bool:
    """
    Return whether no entry uses an older listing than it knew, or a removed back end.

    Only a later start or write of the back end itself ends a removal. In the grace time
    a back end may remain listed after the entry learned of its removal.
    """
    return all(
        entry.listing == NO_LISTING
        or (
            entry.listing.version >= entry.newest_listed
            and (entry.is_lapsed or entry.listing.version > entry.newest_removed)
        )
        for entry in GlobalState(**state).entries
    )


def old_era_expires(state: dict[str, Any]) -> bool:
    """Return whether each listing of an earlier era ends with the grace time."""
    return all(
        entry.listing == NO_LISTING
        or entry.is_lapsed
        or entry.listing.position.era >= entry.newest_era
        for entry in GlobalState(**state).entries
    )


def specification(
    name: str,
    history: HistoryBuilder,
    rules: EntryRules | None = None,
    expected_violation: str = "",
) -> Specification:
    """Return a specification; a mutant names the violation that it must cause."""
    snapshots = tuple(history.snapshots)
    system = TransitionSystem(snapshots, rules or EntryRules())

    def live_stays_listed(state: dict[str, Any]) -> bool:
        """Return whether each entry that knew the live back end lists it."""
        current = GlobalState(**state)
        store = snapshots[current.time]
        return (
            not store.alive
            or store.lapsed
            or all(
                entry.listing != NO_LISTING
                or entry.newest_listed.born < newest_born(snapshots, current.time)
                for entry in current.entries
            )
        )

    def registered_is_used(state: dict[str, Any]) -> bool:
        """Return whether each up-to-date entry lists what the store lists."""
        current = GlobalState(**state)
        store = snapshots[current.time]
        return store.listing == NO_LISTING or all(
            entry.listing != NO_LISTING
            for entry in current.entries
            if entry.position == store.position
            and not entry.in_grace
            and entry.withheld == NO_LISTING
        )

    return Specification(
        name=f"store restore: {name}",
        fields=GlobalState._fields,
        initial=system.initial(),
        transitions=system.transitions,
        invariants={
            "configuration_never_back": configuration_never_back,
            "back_end_never_back": back_end_never_back,
            "old_era_expires": old_era_expires,
            "live_stays_listed": live_stays_listed,
            "registered_is_used": registered_is_used,
        },
        expected_violation=expected_violation,
    )


def newest_born(snapshots: tuple[Snapshot, ...], time: int) -> int:
    """Return the last start of the back end up to a time."""
    return max(
        snapshot.listing.version.born
        for snapshot in snapshots[: time + 1]
        if snapshot.listing != NO_LISTING
    )


def specifications() -> list[Specification]:
    """Return the specifications that must hold and the mutants to be refuted."""
    leaves = (
        HistoryBuilder()
        .write_listing(1, 1)
        .write_listing(1, 2, ready=False)
        .restore(1)
        .write_listing(1, 3, ready=False)
        .remove_listing()
    )
    registers = (
        HistoryBuilder()
        .configure(1)
        .write_listing(1, 1)
        .restore(1)
        .write_listing(1, 2)
        .restore(1)
        .write_listing(1, 3)
    )
    restarts = (
        HistoryBuilder()
        .write_listing(1, 1)
        .remove_listing()
        .restore(1)
        .remove_listing()
        .write_listing(2, 1)
    )
    lapses = HistoryBuilder().write_listing(1, 1).lapse().restore(1).configure(1)
    configures = (
        HistoryBuilder()
        .configure(1)
        .configure(2)
        .configure(3)
        .restore(1)
        .configure(3, complete=True)
        .write_listing(1, 1)
    )
    back = "back_end_never_back"
    return [
        specification("a back end leaves", leaves),
        specification("a back end registers again", registers),
        specification("a back end starts again", restarts),
        specification("a lapsed back end is restored", lapses),
        specification("configurations", configures),
        specification(
            "order by revision only", registers, OrdersByRevision(), "old_era_expires"
        ),
        specification("last list wins", leaves, LastListWins(), back),
        specification("order by position only", restarts, OrdersByPositionOnly(), back),
        specification(
            "last configuration wins",
            configures,
            LastConfigurationWins(),
            "configuration_never_back",
        ),
        specification(
            "era not relayed", configures, RelaysNoEra(), "live_stays_listed"
        ),
        specification(
            "never uses withheld", lapses, NeverUsesWithheld(), "registered_is_used"
        ),
        specification("withholds lapsed", restarts, WithholdsLapsed(), back),
        specification("no grace", registers, GrantsNoGrace(), "live_stays_listed"),
        specification(
            "keeps first lapse", registers, KeepsFirstLapse(), "old_era_expires"
        ),
    ]
