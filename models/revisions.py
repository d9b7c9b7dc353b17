"""
Profile revisions between a service that may be stale and processes that restart.

A process takes what the service shows, which may be any earlier value, and what
its peer hands on, now or late. What was once in force everywhere must never be
replaced by something older. A process starts while its peer is up: one that
starts cut off from all peers has nobody to ask.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import cache
from typing import TYPE_CHECKING, Any, NamedTuple

from primroselever_core.identifiers import VmId
from primroselever_core.profiles.adopt import adopt
from primroselever_core.profiles.revision import AcceptedProfiles, Revision
from primroselever_core.profiles.section import ProfilesSection
from primroselever_core.profiles.start import StartInquiry

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State

VALID, ALSO_VALID, INVALID = "{}", "{} // again", "{"

# What the service publishes, in this order; it gives one number to two values
# and publishes one value that is refused.
PUBLISHED = ((1, VALID), (2, VALID), (2, ALSO_VALID), (3, INVALID), (4, VALID))
PROCESSES = ("a", "b")


class Process(NamedTuple):
    """A process; ``held`` is its place in ``PUBLISHED``, 0 for nothing."""

    held: int
    joined: bool


class World(NamedTuple):
    """
    A state; ``published`` counts the values that the service has had so far.

    ``wire`` holds what processes handed on, each for good; ``floor`` is the
    newest value that all processes had in force at once.
    """

    published: int
    processes: tuple[Process, ...]
    wire: frozenset[int]
    floor: int


@cache
def rank(place: int) -> tuple[int, str]:
    """Return the order of a published value."""
    if place == 0:
        return (0, "")
    number, text = PUBLISHED[place - 1]
    revision = Revision.of(number, text)
    return (revision.number, revision.digest)


@cache
def adopted(held: int, offered: int) -> int:
    """Return what a process holds after an offer, as the core decides it."""
    section = ProfilesSection()
    if held:
        number, text = PUBLISHED[held - 1]
        profiles: Any = None
        section.accepted = AcceptedProfiles(Revision.of(number, text), text, profiles)
    number, text = PUBLISHED[offered - 1]
    adopt(section, number, text, "", 0.0)
    accepted = section.accepted
    if accepted is None:
        return 0
    found = (accepted.revision.number, accepted.text)
    return PUBLISHED.index(found) + 1


def takes_any(held: int, offered: int) -> int:
    """Return any valid offer, be it older than what is held: a mutant."""
    return offered if PUBLISHED[offered - 1][1] != INVALID else held


def takes_any_of_its_number(held: int, offered: int) -> int:
    """Return the offer unless its number is lower: a mutant."""
    older = rank(offered)[0] < rank(held)[0]
    return held if older else takes_any(held, offered)


# From the places of the value held and of the one offered to what is held after.
Adopts = Callable[[int, int], int]


class Machine:
    """The transitions, for one way to adopt and one way to start."""

    def __init__(self, adopts: Adopts = adopted, asks_peers: bool = True) -> None:
        self.adopts = adopts
        self.asks_peers = asks_peers

    def initial(self) -> World:
        """Return the state in which nothing was published."""
        return World(0, (Process(0, True), Process(0, True)), frozenset(), 0)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all that may happen next."""
        world = World(*state)
        steps = []
        if world.published < len(PUBLISHED):
            published = world._replace(published=world.published + 1)
            steps.append(("the service publishes", published))
        for index in range(len(PROCESSES)):
            steps.extend(self.process_steps(world, index))
        return [(label, with_floor(after)) for label, after in steps]

    def process_steps(self, world: World, index: int) -> Iterator[tuple[str, World]]:
        """Yield what one process may do."""
        name, process = PROCESSES[index], world.processes[index]
        peer = world.processes[1 - index]
        if not process.joined:
            held = process.held
            if self.asks_peers:
                held = self.asked(held, peer)
            yield f"{name} joins", changed(world, index, Process(held, True))
            return
        for place in range(1, world.published + 1):
            label = f"{name} reads value {place} from the service"
            yield label, self.offered(world, index, place)
        for place in world.wire:
            label = f"{name} hears value {place} of its peer"
            yield label, self.offered(world, index, place)
        if process.held:
            sent = world._replace(wire=world.wire | {process.held})
            yield f"{name} hands value {process.held} on", sent
        if peer.joined:
            yield f"{name} restarts", changed(world, index, Process(0, False))

    def asked(self, held: int, peer: Process) -> int:
        """Return what a starting process holds once its inquiry is over."""
        inquiry = StartInquiry.begin(0.0)
        candidates = [VmId("peer")]
        while not inquiry.is_over(candidates, 0.0):
            for vm_id in inquiry.next_peers(candidates):
                inquiry.asked.add(vm_id)
                inquiry.answered.add(vm_id)
                if peer.held:
                    held = self.adopts(held, peer.held)
        return held

    def offered(self, world: World, index: int, place: int) -> World:
        """Return the state after a process was offered a value."""
        process = world.processes[index]
        held = self.adopts(process.held, place)
        return changed(world, index, process._replace(held=held))


def changed(world: World, index: int, process: Process) -> World:
    """Return the state with one process replaced."""
    processes = list(world.processes)
    processes[index] = process
    return world._replace(processes=tuple(processes))


def with_floor(world: World) -> World:
    """Return the state with the newest value that was in force everywhere."""
    if not all(process.joined for process in world.processes):
        return world
    lowest = min((process.held for process in world.processes), key=rank)
    return world._replace(floor=max(world.floor, lowest, key=rank))


def never_reverts(state: dict[str, Any]) -> bool:
    """Return whether no process has less in force than was in force everywhere."""
    world = World(**state)
    return all(
        not process.joined or rank(process.held) >= rank(world.floor)
        for process in world.processes
    )


def never_invalid(state: dict[str, Any]) -> bool:
    """Return whether no process has a value in force that is refused."""
    world = World(**state)
    held = [process.held for process in world.processes if process.held]
    return all(PUBLISHED[place - 1][1] != INVALID for place in held)


def specification(name: str, machine: Machine, refutes: str = "") -> Specification:
    """Return one specification of this module."""
    return Specification(
        name=name,
        fields=World._fields,
        initial=machine.initial(),
        transitions=machine.transitions,
        invariants={"never_reverts": never_reverts, "never_invalid": never_invalid},
        refutes=refutes,
    )


def specifications() -> list[Specification]:
    """Return what must hold, and the mutants that must be refuted."""
    reverts = "never_reverts"
    one_number = Machine(takes_any_of_its_number)
    return [
        specification("revisions", Machine()),
        specification("revisions: any value", Machine(takes_any), reverts),
        specification("revisions: order by number only", one_number, reverts),
        specification("revisions: asks no peer", Machine(asks_peers=False), reverts),
    ]
