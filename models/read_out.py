"""
Reading an answer out, by offset, over connections that lose, repeat and delay.

Pieces, once sent, stay on the wire; so do pieces of another caller's run and of
the VM's next incarnation. The reader is the cursor of the core package.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from primroselever_core.identifiers import Incarnation, RunId
from primroselever_core.outcomes import Done, Ending, Outcome
from primroselever_core.runs.answer_buffer import AnswerBuffer
from primroselever_core.runs.cursor import AnswerCursor
from primroselever_core.runs.registry import RunState

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State

OWN, OTHER = RunId("own"), RunId("other")
ANSWERS = {(OWN, 1): b"abc", (OTHER, 1): b"xyz", (OWN, 2): b"nop"}
MAX_PIECE_BYTES = 2


class Piece(NamedTuple):
    """A part of an answer as it goes over the wire."""

    run_id: RunId
    incarnation: int
    offset: int
    data: bytes
    state: str
    length: int = 0
    digest: str = ""


class World(NamedTuple):
    """
    A state: what the agent has made so far, pieces ever sent, what was taken.

    ``told`` is empty until the caller was told an outcome.
    """

    incarnation: int
    made: int
    state: str
    wire: frozenset[Piece]
    taken: bytes
    told: str


class Machine:
    """The transitions, for one kind of cursor and of agent."""

    def __init__(self, cursor: type[AnswerCursor], ends_early: bool = False) -> None:
        self.cursor = cursor
        self.ends_early = ends_early

    def initial(self) -> World:
        """Return the state in which nothing was made; others' pieces are there."""
        others = frozenset(
            piece_of(run_id, incarnation, ANSWERS[run_id, incarnation], offset)
            for run_id, incarnation in ((OTHER, 1), (OWN, 2))
            for offset in range(3)
        )
        return World(1, 0, RunState.RUNNING, others, b"", "")

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all that may happen next."""
        world = World(*state)
        return [*self.agent_steps(world), *self.reads(world), *self.takes(world)]

    def agent_steps(self, world: World) -> Iterator[tuple[str, State]]:
        """Yield how the run goes on, ends, or is lost with its agent."""
        if world.state != RunState.RUNNING or world.incarnation > 1:
            return
        if world.made < len(ANSWERS[OWN, 1]):
            yield "agent makes a byte", world._replace(made=world.made + 1)
        else:
            yield "the run is done", world._replace(state=RunState.DONE)
        yield "the run fails", world._replace(state=RunState.FAILED)
        yield "the VM is replaced", world._replace(incarnation=2)

    def reads(self, world: World) -> Iterator[tuple[str, State]]:
        """Yield replies to reads, also to those that were sent long ago."""
        for offset in range(len(world.taken) + 1):
            if world.incarnation > 1:
                piece = Piece(OWN, 2, offset, b"", RunState.MISSING)
            else:
                piece = self.read(world, offset)
            label = f"read at {offset}: {piece.data!r} {piece.state}"
            yield label, world._replace(wire=world.wire | {piece})

    def read(self, world: World, offset: int) -> Piece:
        """Return the agent's reply to a read."""
        buffer = AnswerBuffer(limit_bytes=99)
        buffer.append(ANSWERS[OWN, 1][: world.made])
        data = buffer.read(offset, MAX_PIECE_BYTES)
        whole = offset + len(data) == world.made or self.ends_early
        state = world.state if whole else RunState.RUNNING
        if state != RunState.DONE:
            return Piece(OWN, 1, offset, data, state)
        return Piece(OWN, 1, offset, data, state, world.made, buffer.digest())

    def takes(self, world: World) -> Iterator[tuple[str, State]]:
        """Yield the arrival of each piece at the reader."""
        if world.told:
            return
        for piece in world.wire:
            cursor = self.cursor(OWN, Incarnation(1))
            cursor.accept_piece(OWN, 1, 0, world.taken)
            new = cursor.accept_piece(
                piece.run_id, piece.incarnation, piece.offset, piece.data
            )
            if new is None:
                continue
            told = ""
            if piece.state != RunState.RUNNING:
                reason = "engine_failed" if piece.state == RunState.FAILED else ""
                told = cursor.ending(
                    piece.state, reason, piece.length, piece.digest
                ).outcome
            label = f"takes {new!r} at {piece.offset} {piece.state}"
            yield label, world._replace(taken=world.taken + new, told=told)


def piece_of(run_id: RunId, incarnation: int, answer: bytes, offset: int) -> Piece:
    """Return a piece of a whole answer, with its end."""
    buffer = AnswerBuffer(limit_bytes=99)
    buffer.append(answer)
    data = buffer.read(offset, MAX_PIECE_BYTES)
    if offset + len(data) < len(answer):
        return Piece(run_id, incarnation, offset, data, RunState.RUNNING)
    length, digest = len(answer), buffer.digest()
    return Piece(run_id, incarnation, offset, data, RunState.DONE, length, digest)


def own_answer(state: dict[str, Any]) -> bool:
    """Return whether all that was taken is the start of the run's own answer."""
    world = World(**state)
    return ANSWERS[OWN, 1].startswith(world.taken)


def whole_answer(state: dict[str, Any]) -> bool:
    """Return whether "done" was told only for the whole answer."""
    world = World(**state)
    return world.told != Outcome.DONE or world.taken == ANSWERS[OWN, 1]


class AnyOffset(AnswerCursor):
    """A mutant: takes pieces as they come."""

    def accept_piece(
        self, run_id: str, incarnation: int, offset: int, data: bytes
    ) -> bytes | None:
        """Take a piece wherever it belongs."""
        return super().accept_piece(run_id, incarnation, self.offset, data)


class AnyRun(AnswerCursor):
    """A mutant: does not look whose answer a piece is of."""

    def accept_piece(
        self, run_id: str, incarnation: int, offset: int, data: bytes
    ) -> bytes | None:
        """Take a piece of any run."""
        return super().accept_piece(self.run_id, incarnation, offset, data)


class AnyIncarnation(AnswerCursor):
    """A mutant: takes pieces of the VM's next incarnation."""

    def accept_piece(
        self, run_id: str, incarnation: int, offset: int, data: bytes
    ) -> bytes | None:
        """Take a piece of any incarnation."""
        return super().accept_piece(run_id, self.incarnation, offset, data)


class NoLength(AnswerCursor):
    """A mutant: believes the end without its length and digest."""

    def ending(self, state: str, reason: str, length: int, digest: str) -> Ending:
        """Believe the end."""
        if state == RunState.DONE:
            return Done(length, digest)
        return super().ending(state, reason, length, digest)


def specification(
    name: str,
    cursor: type[AnswerCursor],
    ends_early: bool = False,
    refutes: str = "",
) -> Specification:
    """Return one specification of this module."""
    machine = Machine(cursor, ends_early)
    return Specification(
        name=name,
        fields=World._fields,
        initial=machine.initial(),
        transitions=machine.transitions,
        invariants={"own_answer": own_answer, "whole_answer": whole_answer},
        refutes=refutes,
    )


def specifications() -> list[Specification]:
    """Return what must hold, and the mutants that must be refuted."""
    return [
        specification("read-out", AnswerCursor),
        specification("read-out: agent ends early", AnswerCursor, True),
        specification("read-out: any offset", AnyOffset, refutes="own_answer"),
        specification("read-out: any run", AnyRun, refutes="own_answer"),
        specification("read-out: any incarnation", AnyIncarnation, False, "own_answer"),
        specification("read-out: no length", NoLength, True, "whole_answer"),
    ]
