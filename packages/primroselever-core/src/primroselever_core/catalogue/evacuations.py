"""
The failure domains that the operator evacuated, as one process knows them.

The whole set has one position: that of its latest change, which entries name in their
heartbeats. A copy of a peer with a later position replaces the set. What this process
read from the store itself is at least as new as any copy up to the position of that
read, so that such a copy cannot undo it.

When the store is restored from an older copy, what the operator wrote after that copy
is written again within a grace period. Until it ends, an evacuation that the restored
store lacks is kept, and one that had been taken back, and that the restored store still
lists, is withheld.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from .store_position import START_POSITION, StorePosition

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

EVACUATION_GRACE_S = 2.0  # the platform's time for writing again what a restore lost
MAX_TAKEN_BACK = 64  # more than there are failure domains


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The position of the item that started an evacuation, and when it was learned."""

    position: StorePosition
    learned_at: float


@dataclass(frozen=True, slots=True)
class EvacuationsCopy:
    """
    The evacuations of a peer: those in force, and those withheld, by their positions.

    ``unreadable`` names the failure domains whose items it could not read.
    One in force whose position is of an earlier era than ``position`` is missing in
    the restored store and kept until the grace period ends.
    """

    position: StorePosition = START_POSITION
    in_force: dict[str, StorePosition] = field(default_factory=dict)
    withheld: dict[str, StorePosition] = field(default_factory=dict)
    unreadable: tuple[str, ...] = ()

    def kept(self) -> set[str]:
        """Return the failure domains that the sender keeps for a grace period."""
        return {
            domain
            for domain, written_at in self.in_force.items()
            if written_at.era < self.position.era
        }

    def listed(self) -> set[str]:
        """Return the failure domains that the store lists, as the sender knows it."""
        return {*self.in_force, *self.withheld} - self.kept()


@dataclass(slots=True)
class Evacuations:
    """
    The evacuated failure domains.

    ``position`` is that of the latest change, and ``read_through`` the one up to which
    this process knows the set from the store itself. ``kept_until`` holds those of
    ``in_force`` that a restored store lacks, ``withheld`` the listed ones that are not
    in force yet, and ``taken_back`` the items of the latest evacuations that ended.
    ``unreadable`` holds the failure domains without a known state whose items cannot
    be read.

        >>> evacuations = Evacuations()
        >>> evacuations.write("d1", StorePosition(1, 8), 20.0)
        True
        >>> sorted(evacuations.in_force)
        ['d1']
    """

    position: StorePosition = START_POSITION
    read_through: StorePosition = START_POSITION
    in_force: dict[str, Evacuation] = field(default_factory=dict)
    kept_until: dict[str, float] = field(default_factory=dict)
    withheld: dict[str, Evacuation] = field(default_factory=dict)
    taken_back: dict[str, StorePosition] = field(default_factory=dict)
    unreadable: set[str] = field(default_factory=set)
    grace_until: float = 0.0

    @property
    def known_through(self) -> StorePosition:
        """Return the position up to which the set is known from any source."""
        return max(self.position, self.read_through)

    def listed(self) -> set[str]:
        """Return the failure domains that the store lists, as far as known."""
        return {*self.in_force, *self.withheld} - set(self.kept_until)

    def write(self, domain: str, position: StorePosition, now: float) -> bool:
        """Apply a written item of a watch; return whether an evacuation started."""
        if position <= self.known_through:
            return False
        self.position = position
        self.kept_until.pop(domain, None)
        return self.start(domain, position, now)

    def remove(self, domain: str, position: StorePosition) -> bool:
        """Apply a removed item of a watch; return whether an evacuation ended."""
        if position <= self.known_through:
            return False
        self.position = position
        self.unreadable.discard(domain)
        self.withheld.pop(domain, None)
        return self.end(domain)

    def record_unreadable(
        self, domain: str, position: StorePosition = START_POSITION
    ) -> bool:
        """
        Record that an item cannot be read; what is known of it stays in force.

        ``position`` is that of the item. If a restored store lacked it before, peers
        must learn that the evacuation no longer ends with the grace period. Return
        whether this is so.
        """
        if domain not in self.in_force:
            self.unreadable.add(domain)
            return False
        is_news = domain in self.kept_until and position > self.known_through
        if is_news:
            self.position = position
        self.hold_unreadable(domain, self.known_through)
        return is_news

    def record_watch(self, position: StorePosition) -> None:
        """Record the position up to which the items of a watch were applied."""
        self.read_through = max(self.read_through, position)

    def read(
        self,
        listed: Mapping[str, StorePosition],
        unreadable: Collection[str],
        position: StorePosition,
        now: float,
    ) -> bool:
        """
        Apply a full read of the store; return whether anything in force changed.

        A read at an earlier position than the latest known one is ignored.
        """
        if position < self.known_through:
            return False
        is_first = self.known_through == START_POSITION
        is_new_era = self.begin_era(position.era, now)
        before, listed_before = set(self.in_force), self.listed()
        unknown = set(unreadable) - before
        for domain in before & set(unreadable):
            self.hold_unreadable(domain, position)
        self.end_missing({*listed, *unreadable}, position)
        for domain, written_at in listed.items():
            if self.is_restored(domain, written_at):
                self.withhold(domain, written_at, now)
            else:
                self.kept_until.pop(domain, None)
                self.start(domain, written_at, now)
        self.unreadable = unknown
        self.read_through = position
        has_changed = self.listed() != listed_before or bool(self.kept_until)
        if is_first and unknown:
            # Any peer that has read the store is then ahead, and its copy tells whether
            # what cannot be read here is in force.
            return before != set(self.in_force)
        if has_changed or (is_new_era and listed):
            self.position = position
        elif not unknown:
            # Peers need not learn of a read that found what is known already, or
            # nothing at a start. With an unknown item they stay ahead, as above.
            self.position = max(self.position, StorePosition(position.era, 0))
        return before != set(self.in_force)

    def copy(self) -> EvacuationsCopy:
        """Return the copy that is sent to a peer."""
        return EvacuationsCopy(
            self.position,
            {domain: known.position for domain, known in self.in_force.items()},
            {domain: known.position for domain, known in self.withheld.items()},
            tuple(sorted(self.unreadable)),
        )

    def merge(self, copy: EvacuationsCopy, now: float) -> bool:
        """
        Merge a peer's copy; return whether anything in force changed.

        The own position is then not below that of the copy.
        """
        if copy.position <= self.position:
            return False
        before = set(self.in_force)
        if copy.position <= self.read_through:
            self.merge_earlier(copy, now)
            return before != set(self.in_force)
        self.begin_era(copy.position.era, now)
        for domain in self.in_force.keys() & set(copy.unreadable):
            self.hold_unreadable(domain, copy.position)
        self.end_missing({*copy.listed(), *copy.unreadable}, copy.position)
        self.unreadable = set(copy.unreadable) - set(self.in_force)
        for domain, written_at in copy.withheld.items():
            known = self.in_force.get(domain)
            if known is not None and known.position.era < written_at.era:
                self.end(domain)
            if domain not in self.in_force:
                self.withhold(domain, written_at, now)
        kept = copy.kept()
        for domain, written_at in copy.in_force.items():
            if domain in kept:
                self.keep(domain, written_at, now)
            elif not self.is_restored(domain, written_at):
                self.kept_until.pop(domain, None)
                self.start(domain, written_at, now)
            else:
                self.withhold(domain, written_at, now)
        self.position = copy.position
        return before != set(self.in_force)

    def merge_earlier(self, copy: EvacuationsCopy, now: float) -> None:
        """
        Merge a copy that is not newer than what was read from the store.

        It shows only items that could not be read, and evacuations that a restored
        store lacks. If it lists others than are known here, the own position is raised,
        so that the peer learns of the difference.
        """
        kept = copy.kept()
        for domain, written_at in copy.in_force.items():
            if domain in self.unreadable:
                self.start(domain, written_at, now)
                self.hold_unreadable(domain, self.read_through)
            elif domain in kept:
                self.keep(domain, written_at, now)
        same = copy.listed() == self.listed()
        self.position = copy.position if same else self.read_through

    def begin_era(self, era: int, now: float) -> bool:
        """
        Start the grace period of an era later than all known; return whether it is.

        A process that has just started cannot know whether the store was restored.
        """
        is_new = self.known_through == START_POSITION or era > self.known_through.era
        if is_new:
            self.grace_until = now + EVACUATION_GRACE_S
        return is_new

    def is_restored(self, domain: str, written_at: StorePosition) -> bool:
        """Return whether an item is the one of an evacuation that was taken back."""
        ended = self.taken_back.get(domain)
        return (
            ended is not None
            and domain not in self.in_force
            and ended.era < written_at.era
            and ended.revision == written_at.revision
        )

    def start(self, domain: str, position: StorePosition, now: float) -> bool:
        """Put an evacuation in force; return whether it was not before."""
        self.unreadable.discard(domain)
        self.withheld.pop(domain, None)
        self.taken_back.pop(domain, None)
        known = self.in_force.get(domain)
        learned_at = known.learned_at if known is not None else now
        self.in_force[domain] = Evacuation(position, learned_at)
        return known is None

    def hold_unreadable(self, domain: str, position: StorePosition) -> None:
        """
        Hold an evacuation whose item the store lists but that cannot be read.

        Its position takes the era of the list. Otherwise peers would take it for one
        that a restored store lacks, and end it after the grace period.
        """
        known = self.in_force[domain]
        if known.position.era < position.era:
            revision = min(known.position.revision, position.revision)
            written_at = StorePosition(position.era, revision)
            self.in_force[domain] = replace(known, position=written_at)
        self.kept_until.pop(domain, None)

    def end(self, domain: str) -> bool:
        """End an evacuation; return whether it was in force."""
        self.kept_until.pop(domain, None)
        known = self.in_force.pop(domain, None)
        if known is None:
            return False
        self.taken_back[domain] = known.position
        while len(self.taken_back) > MAX_TAKEN_BACK:
            del self.taken_back[next(iter(self.taken_back))]
        return True

    def end_missing(self, listed: Collection[str], position: StorePosition) -> None:
        """End what is not listed at a position, or keep it after a restore."""
        for domain in set(self.withheld) - set(listed):
            del self.withheld[domain]
        for domain, known in list(self.in_force.items()):
            if domain in listed or known.position > position:
                continue
            if known.position.era < position.era:
                self.kept_until.setdefault(domain, self.grace_until)
            else:
                self.end(domain)

    def keep(self, domain: str, written_at: StorePosition, now: float) -> None:
        """Keep an evacuation that a restored store lacks, within the grace period."""
        if domain in self.in_force or domain in self.withheld:
            return
        if now < self.grace_until:
            self.start(domain, written_at, now)
            self.kept_until[domain] = self.grace_until

    def withhold(self, domain: str, written_at: StorePosition, now: float) -> None:
        """Withhold an evacuation that was taken back, until the grace period ends."""
        if now < self.grace_until:
            self.withheld[domain] = Evacuation(written_at, now)
        else:
            self.start(domain, written_at, now)

    def expire(self, now: float) -> bool:
        """End what was kept, and start what was withheld; return whether any was."""
        changed = False
        for domain, until in list(self.kept_until.items()):
            if now >= until:
                changed |= self.end(domain)
        if self.withheld and now >= self.grace_until:
            for domain, known in list(self.withheld.items()):
                changed |= self.start(domain, known.position, now)
        return changed
