"""
Evacuations of failure domains at entries that read the store, restart and send copies.

The history of the store holds two failure domains and a restore from an older copy.
Entries read it in full or watch it, and send each other copies, which may arrive late
and repeatedly. The rules of ``Evacuations`` are written out in ``EntryRules``, without
items that cannot be read and without those that are withheld after a restore.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State

DOMAINS = (0, 1)


class Position(NamedTuple):
    """A revision of the store within an era; positions are ordered by the era first."""

    era: int = 0
    revision: int = 0


START = Position()
# The era, revision and failure domains of the store after each write. The operator
# evacuates 0 and 1 and takes both back; the restore returns to the copy of revision 1,
# and the operator writes again what was lost.
HISTORY: tuple[tuple[Position, frozenset[int]], ...] = (
    (Position(1, 0), frozenset()),
    (Position(1, 1), frozenset({0})),
    (Position(1, 2), frozenset({0, 1})),
    (Position(1, 3), frozenset({1})),
    (Position(1, 4), frozenset()),
    (Position(2, 1), frozenset({0})),
    (Position(2, 2), frozenset({0, 1})),
    (Position(2, 3), frozenset({1})),
    (Position(2, 4), frozenset()),
)
LISTED_AT = dict(HISTORY)
# The revision of the item of each failure domain, which a restore does not change.
ITEM_REVISIONS = {0: 1, 1: 2}
NOWHERE = -1  # the index in the history of an entry that does not watch


class Copy(NamedTuple):
    """The copy that an entry sends: its position and what it takes for listed."""

    position: Position = START
    listed: tuple[int, ...] = ()


class Entry(NamedTuple):
    """
    What an entry knows.

    ``kept`` holds the failure domains that a restored store lacks, until the grace
    period ends, and ``watched`` is the index in the history up to which it watches.
    ``held`` is bookkeeping: what was in force when the era began and was not written or
    removed since.
    """

    position: Position = START
    read_through: Position = START
    listed: tuple[int, ...] = ()
    kept: tuple[int, ...] = ()
    held: tuple[int, ...] = ()
    in_grace: bool = False
    watched: int = NOWHERE

    @property
    def known_through(self) -> Position:
        """Return the position up to which the set is known from any source."""
        return max(self.position, self.read_through)

    @property
    def in_force(self) -> set[int]:
        """Return the evacuated failure domains."""
        return {*self.listed, *self.kept}


class GlobalState(NamedTuple):
    """
    A state of the model.

    ``time`` is the index of the store's state in the history, and ``wire`` the copy
    that was sent last, which may arrive at any later time and repeatedly.
    """

    time: int = 0
    entries: tuple[Entry, ...] = (Entry(), Entry())
    wire: Copy = Copy()


def order(domains: set[int] | frozenset[int]) -> tuple[int, ...]:
    """Return failure domains in a fixed order."""
    return tuple(sorted(domains))


@dataclass(frozen=True, slots=True)
class EntryRules:
    """
    The rules of an entry; a mutant changes one of them.

    ``orders_copies`` is not set if the latest copy replaces the one before,
    ``orders_reads`` if a copy also replaces what was read from the store later.
    ``exact_positions`` is not set if a full read takes the position of the latest item
    for that of the set, and ``keeps`` if a restore ends what the store lacks at once.
    """

    orders_copies: bool = True
    orders_reads: bool = True
    exact_positions: bool = True
    keeps: bool = True

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        return list(self.steps(GlobalState(*state)))

    def steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield the transitions from a state."""
        if current.time + 1 < len(HISTORY):
            yield "the store changes", current._replace(time=current.time + 1)
        for index, entry in enumerate(current.entries):
            for label, changed in self.entry_steps(entry, current):
                entries = list(current.entries)
                entries[index] = changed
                yield (
                    f"entry {index} {label}",
                    current._replace(entries=tuple(entries)),
                )
            sent = Copy(entry.position, entry.listed)
            if sent != current.wire:
                yield f"entry {index} sends a copy", current._replace(wire=sent)

    def entry_steps(
        self, entry: Entry, current: GlobalState
    ) -> Iterator[tuple[str, Entry]]:
        """Yield the transitions of one entry."""
        yield "restarts", Entry()
        yield "reads", self.read(entry, current.time)
        if entry.watched not in (NOWHERE, current.time):
            following, _listed = HISTORY[entry.watched + 1]
            if following.era == HISTORY[entry.watched][0].era:
                yield "watches", self.watch(entry)
        yield "receives the copy", self.merge(entry, current.wire)
        if entry.in_grace:
            yield (
                "ends the grace period",
                entry._replace(in_grace=False, kept=(), held=()),
            )

    def begin_era(self, entry: Entry, era: int) -> Entry:
        """Return an entry that knows an era, of which it keeps what is in force."""
        if entry.known_through != START and era <= entry.known_through.era:
            return entry
        held = order(entry.in_force) if self.keeps else ()
        return entry._replace(
            in_grace=True, held=order(entry.in_force), kept=held, listed=()
        )

    def read(self, entry: Entry, time: int) -> Entry:
        """Return an entry after a full read."""
        position, listed = HISTORY[time]
        if position < entry.known_through:
            return entry._replace(watched=time)
        is_new = position.era > entry.known_through.era
        begun = self.begin_era(entry, position.era)
        kept = set(begun.kept) - listed
        changed = order(listed) != entry.listed or bool(kept)
        if not self.exact_positions:
            item = max((ITEM_REVISIONS[domain] for domain in listed), default=0)
            read_at = max(entry.position, Position(position.era, item))
        elif changed or (is_new and listed):
            read_at = position
        else:
            read_at = max(entry.position, Position(position.era, 0))
        return begun._replace(
            position=read_at,
            read_through=position,
            listed=order(listed),
            kept=order(kept),
            held=order(set(begun.held) - listed),
            watched=time,
        )

    def watch(self, entry: Entry) -> Entry:
        """Return an entry after the next change of its watch."""
        time = entry.watched + 1
        position, listed = HISTORY[time]
        changed = listed ^ HISTORY[entry.watched][1]
        watched = entry._replace(
            watched=time, read_through=max(position, entry.read_through)
        )
        if position <= entry.known_through:
            return watched
        return watched._replace(
            position=position,
            listed=order((set(entry.listed) - changed) | (listed & changed)),
            kept=order(set(entry.kept) - changed),
            held=order(set(entry.held) - changed),
        )

    def merge(self, entry: Entry, copy: Copy) -> Entry:
        """Return an entry after it received a copy."""
        if copy.position <= entry.position and self.orders_copies:
            return entry
        if copy.position <= entry.read_through and self.orders_reads:
            same = copy.listed == entry.listed
            return entry._replace(
                position=copy.position if same else entry.read_through
            )
        begun = self.begin_era(entry, copy.position.era)
        return begun._replace(
            position=copy.position,
            listed=copy.listed,
            kept=order(set(begun.kept) - set(copy.listed)),
            held=order(set(begun.held) - set(copy.listed)),
        )


def as_known(state: dict[str, Any]) -> bool:
    """Return whether each entry has what the store listed at its latest position."""
    return all(
        set(entry.listed) == LISTED_AT.get(entry.known_through, frozenset())
        for entry in (Entry(*each) for each in state["entries"])
    )


def same_set(state: dict[str, Any]) -> bool:
    """
    Return whether entries at one position have the same set.

    Otherwise neither would ever pull from the other.
    """
    first, second = (Entry(*each) for each in state["entries"])
    return first.position != second.position or first.listed == second.listed


def kept_in_grace(state: dict[str, Any]) -> bool:
    """Return whether a restore of the store ends no evacuation in the grace period."""
    return all(
        set(entry.held) <= entry.in_force
        for entry in (Entry(*each) for each in state["entries"])
    )


def specification(
    name: str, rules: EntryRules, expected_violation: str = ""
) -> Specification:
    """Return a specification; a mutant names the violation that it must cause."""
    return Specification(
        name=name,
        fields=GlobalState._fields,
        initial=GlobalState(),
        transitions=rules.transitions,
        invariants={
            "as_known": as_known,
            "same_set": same_set,
            "kept_in_grace": kept_in_grace,
        },
        expected_violation=expected_violation,
    )


def specifications() -> list[Specification]:
    """Return the specification that must hold and the mutants to be refuted."""
    name, rules = "evacuations", EntryRules()
    mutants = {
        "any copy": (replace(rules, orders_copies=False), "as_known"),
        "copies over reads": (replace(rules, orders_reads=False), "as_known"),
        "position of an item": (replace(rules, exact_positions=False), "same_set"),
        "no grace period": (replace(rules, keeps=False), "kept_in_grace"),
    }
    return [
        specification(name, rules),
        *(
            specification(f"{name}: {mutant}", changed, violation)
            for mutant, (changed, violation) in mutants.items()
        ),
    ]
