"""
Profile revisions of a service that may be stale, and processes that restart.

A process receives values from the service, which may return any earlier one, and from
its peer, possibly late. A value that was active in all processes must never be replaced
by an older one. A process starts only while its peer is running, because a process that
is cut off from all peers cannot ask for newer values.
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

# The values that the service publishes, in order. Two of them have the same number, and
# one is refused.
PUBLISHED_VALUES = ((1, VALID), (2, VALID), (2, ALSO_VALID), (3, INVALID), (4, VALID))
PROCESS_NAMES = ("a", "b")


class Process(NamedTuple):
    """
    A process; ``joined`` is set once its start is complete.

    ``held_position`` is the position of its active value in ``PUBLISHED_VALUES``,
    counted from 1, or 0 for none.
    """

    held_position: int
    joined: bool


class GlobalState(NamedTuple):
    """
    A state of the model.

    ``published_count`` counts the values that the service has published. ``wire``
    contains the positions of all values that processes ever sent to their peer.
    ``newest_common`` is the position of the newest value that was active in all
    processes at once.
    """

    published_count: int
    processes: tuple[Process, ...]
    wire: frozenset[int]
    newest_common: int


@cache
def revision_order(position: int) -> tuple[int, str]:
    """Return the sort key of the value at a position."""
    if position == 0:
        return (0, "")
    number, text = PUBLISHED_VALUES[position - 1]
    revision = Revision.of(number, text)
    return (revision.number, revision.digest)


@cache
def adopt_offer(held_position: int, offered_position: int) -> int:
    """Return the position that the core package selects after an offer."""
    section = ProfilesSection()
    if held_position:
        number, text = PUBLISHED_VALUES[held_position - 1]
        profiles: Any = None
        section.accepted = AcceptedProfiles(Revision.of(number, text), text, profiles)
    number, text = PUBLISHED_VALUES[offered_position - 1]
    adopt(section, number, text, "", 0.0)
    accepted = section.accepted
    if accepted is None:
        return 0
    held_value = (accepted.revision.number, accepted.text)
    return PUBLISHED_VALUES.index(held_value) + 1


def takes_any(held_position: int, offered_position: int) -> int:
    """Return any valid offer, even one that is older than the held value: a mutant."""
    return (
        offered_position
        if PUBLISHED_VALUES[offered_position - 1][1] != INVALID
        else held_position
    )


def takes_any_of_its_number(held_position: int, offered_position: int) -> int:
    """Return any valid offer unless its number is lower than the held one: a mutant."""
    is_older = revision_order(offered_position)[0] < revision_order(held_position)[0]
    return held_position if is_older else takes_any(held_position, offered_position)


# Maps the held and the offered position to the position that is held afterwards.
AdoptionRule = Callable[[int, int], int]


class TransitionSystem:
    """
    The transitions for an adoption rule.

    Starting processes ask their peer for its value if ``asks_peers`` is set.
    """

    def __init__(
        self, adoption_rule: AdoptionRule = adopt_offer, asks_peers: bool = True
    ) -> None:
        self.adoption_rule = adoption_rule
        self.asks_peers = asks_peers

    def initial(self) -> GlobalState:
        """Return the state before the first publication."""
        return GlobalState(0, (Process(0, True), Process(0, True)), frozenset(), 0)

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        current = GlobalState(*state)
        steps = []
        if current.published_count < len(PUBLISHED_VALUES):
            successor = current._replace(published_count=current.published_count + 1)
            steps.append(("the service publishes", successor))
        for index in range(len(PROCESS_NAMES)):
            steps.extend(self.process_steps(current, index))
        return [(label, update_newest_common(successor)) for label, successor in steps]

    def process_steps(
        self, current: GlobalState, index: int
    ) -> Iterator[tuple[str, GlobalState]]:
        """Yield the transitions of one process."""
        name, process = PROCESS_NAMES[index], current.processes[index]
        peer = current.processes[1 - index]
        if not process.joined:
            held_position = process.held_position
            if self.asks_peers:
                held_position = self.inquire_peers(held_position, peer)
            yield (
                f"{name} joins",
                replace_process(current, index, Process(held_position, True)),
            )
            return
        for position in range(1, current.published_count + 1):
            label = f"{name} reads value {position} from the service"
            yield label, self.offer_value(current, index, position)
        for position in current.wire:
            label = f"{name} receives value {position} from its peer"
            yield label, self.offer_value(current, index, position)
        if process.held_position:
            successor = current._replace(wire=current.wire | {process.held_position})
            yield f"{name} sends value {process.held_position} to its peer", successor
        if peer.joined:
            yield f"{name} restarts", replace_process(current, index, Process(0, False))

    def inquire_peers(self, held_position: int, peer: Process) -> int:
        """Return the position that a starting process holds after asking its peer."""
        inquiry = StartInquiry.begin(0.0)
        candidates = [VmId("peer")]
        while not inquiry.is_over(candidates, 0.0):
            for vm_id in inquiry.next_peers(candidates):
                inquiry.asked.add(vm_id)
                inquiry.answered.add(vm_id)
                if peer.held_position:
                    held_position = self.adoption_rule(
                        held_position, peer.held_position
                    )
        return held_position

    def offer_value(
        self, current: GlobalState, index: int, position: int
    ) -> GlobalState:
        """Return the state after a process receives a value."""
        process = current.processes[index]
        held_position = self.adoption_rule(process.held_position, position)
        return replace_process(
            current, index, process._replace(held_position=held_position)
        )


def replace_process(current: GlobalState, index: int, process: Process) -> GlobalState:
    """Return the state with one process replaced."""
    processes = list(current.processes)
    processes[index] = process
    return current._replace(processes=tuple(processes))


def update_newest_common(current: GlobalState) -> GlobalState:
    """Return the state with an updated newest value that was active everywhere."""
    if not all(process.joined for process in current.processes):
        return current
    lowest_position = min(
        (process.held_position for process in current.processes), key=revision_order
    )
    return current._replace(
        newest_common=max(current.newest_common, lowest_position, key=revision_order)
    )


def never_reverts(state: dict[str, Any]) -> bool:
    """Return whether no process holds a value older than one once active in all."""
    current = GlobalState(**state)
    return all(
        not process.joined
        or revision_order(process.held_position)
        >= revision_order(current.newest_common)
        for process in current.processes
    )


def never_invalid(state: dict[str, Any]) -> bool:
    """Return whether no process holds an invalid value."""
    current = GlobalState(**state)
    held_positions = [
        process.held_position for process in current.processes if process.held_position
    ]
    return all(
        PUBLISHED_VALUES[position - 1][1] != INVALID for position in held_positions
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
        invariants={"never_reverts": never_reverts, "never_invalid": never_invalid},
        expected_violation=expected_violation,
    )


def specifications() -> list[Specification]:
    """Return the specifications that must hold and the mutants to be refuted."""
    reverts = "never_reverts"
    number_only = TransitionSystem(takes_any_of_its_number)
    return [
        specification("revisions", TransitionSystem()),
        specification("revisions: any value", TransitionSystem(takes_any), reverts),
        specification("revisions: order by number only", number_only, reverts),
        specification(
            "revisions: asks no peer", TransitionSystem(asks_peers=False), reverts
        ),
    ]
