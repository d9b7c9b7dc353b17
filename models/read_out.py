"""
Reading an answer by offset over connections that lose, repeat and delay replies.

A sent piece may arrive at any later time and any number of times. So may pieces of
another caller's run and of the VM's next incarnation. The reader is the cursor of the
core package.
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

OWN_RUN, OTHER_RUN = RunId("own"), RunId("other")
ANSWER_BY_RUN = {(OWN_RUN, 1): b"abc", (OTHER_RUN, 1): b"xyz", (OWN_RUN, 2): b"nop"}
MAX_PIECE_BYTES = 2


class Piece(NamedTuple):
    """The reply to a read: a part of an answer and the state of the run."""

    run_id: RunId
    incarnation: int
    offset: int
    data: bytes
    state: str
    length: int = 0
    digest: str = ""


class GlobalState(NamedTuple):
    """
    A state of the model.

    The agent has produced ``produced_length`` bytes of the answer. ``wire`` contains
    all pieces ever sent, ``received`` the bytes that the reader has accepted.
    ``outcome`` is empty until the caller receives one.
    """

    incarnation: int
    produced_length: int
    state: str
    wire: frozenset[Piece]
    received: bytes
    outcome: str


class TransitionSystem:
    """
    The transitions for a cursor class and a behaviour of the agent.

    With ``ends_early`` the agent may send the end of an answer with any piece.
    """

    def __init__(
        self, cursor_class: type[AnswerCursor], ends_early: bool = False
    ) -> None:
        self.cursor_class = cursor_class
        self.ends_early = ends_early

    def initial(self) -> GlobalState:
        """Return the state before the first byte, with sent pieces of other runs."""
        other_pieces = frozenset(
            make_piece(run_id, incarnation, ANSWER_BY_RUN[run_id, incarnation], offset)
            for run_id, incarnation in ((OTHER_RUN, 1), (OWN_RUN, 2))
            for offset in range(3)
        )
        return GlobalState(1, 0, RunState.RUNNING, other_pieces, b"", "")

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        current = GlobalState(*state)
        return [
            *self.agent_steps(current),
            *self.read_steps(current),
            *self.receive_steps(current),
        ]

    def agent_steps(self, current: GlobalState) -> Iterator[tuple[str, State]]:
        """Yield the transitions in which the run progresses, ends or is lost."""
        if current.state != RunState.RUNNING or current.incarnation > 1:
            return
        if current.produced_length < len(ANSWER_BY_RUN[OWN_RUN, 1]):
            yield (
                "agent produces a byte",
                current._replace(produced_length=current.produced_length + 1),
            )
        else:
            yield "the run is done", current._replace(state=RunState.DONE)
        yield "the run fails", current._replace(state=RunState.FAILED)
        yield "the VM is replaced", current._replace(incarnation=2)

    def read_steps(self, current: GlobalState) -> Iterator[tuple[str, State]]:
        """Yield the replies to reads at all offsets up to the received length."""
        for offset in range(len(current.received) + 1):
            if current.incarnation > 1:
                piece = Piece(OWN_RUN, 2, offset, b"", RunState.MISSING)
            else:
                piece = self.make_reply(current, offset)
            label = f"read at {offset}: {piece.data!r} {piece.state}"
            yield label, current._replace(wire=current.wire | {piece})

    def make_reply(self, current: GlobalState, offset: int) -> Piece:
        """Return the agent's reply to a read at an offset."""
        buffer = AnswerBuffer(limit_bytes=99)
        buffer.append(ANSWER_BY_RUN[OWN_RUN, 1][: current.produced_length])
        data = buffer.read(offset, MAX_PIECE_BYTES)
        is_complete = offset + len(data) == current.produced_length or self.ends_early
        state = current.state if is_complete else RunState.RUNNING
        if state != RunState.DONE:
            return Piece(OWN_RUN, 1, offset, data, state)
        return Piece(
            OWN_RUN, 1, offset, data, state, current.produced_length, buffer.digest()
        )

    def receive_steps(self, current: GlobalState) -> Iterator[tuple[str, State]]:
        """Yield the receipt of each piece by the reader."""
        if current.outcome:
            return
        for piece in current.wire:
            cursor = self.cursor_class(OWN_RUN, Incarnation(1))
            cursor.accept_piece(OWN_RUN, 1, 0, current.received)
            accepted_data = cursor.accept_piece(
                piece.run_id, piece.incarnation, piece.offset, piece.data
            )
            if accepted_data is None:
                continue
            outcome = ""
            if piece.state != RunState.RUNNING:
                reason = "engine_failed" if piece.state == RunState.FAILED else ""
                outcome = cursor.ending(
                    piece.state, reason, piece.length, piece.digest
                ).outcome
            label = f"receives {accepted_data!r} at {piece.offset} {piece.state}"
            yield (
                label,
                current._replace(
                    received=current.received + accepted_data, outcome=outcome
                ),
            )


def make_piece(run_id: RunId, incarnation: int, answer: bytes, offset: int) -> Piece:
    """Return the piece of a finished answer at an offset."""
    buffer = AnswerBuffer(limit_bytes=99)
    buffer.append(answer)
    data = buffer.read(offset, MAX_PIECE_BYTES)
    if offset + len(data) < len(answer):
        return Piece(run_id, incarnation, offset, data, RunState.RUNNING)
    length, digest = len(answer), buffer.digest()
    return Piece(run_id, incarnation, offset, data, RunState.DONE, length, digest)


def own_answer(state: dict[str, Any]) -> bool:
    """Return whether the received data is a prefix of the run's own answer."""
    current = GlobalState(**state)
    return ANSWER_BY_RUN[OWN_RUN, 1].startswith(current.received)


def whole_answer(state: dict[str, Any]) -> bool:
    """Return whether the outcome is "done" only for the complete answer."""
    current = GlobalState(**state)
    return (
        current.outcome != Outcome.DONE or current.received == ANSWER_BY_RUN[OWN_RUN, 1]
    )


class AnyOffset(AnswerCursor):
    """A mutant that accepts pieces in any order."""

    def accept_piece(
        self, run_id: str, incarnation: int, offset: int, data: bytes
    ) -> bytes | None:
        """Accept a piece regardless of its offset."""
        return super().accept_piece(run_id, incarnation, self.offset, data)


class AnyRun(AnswerCursor):
    """A mutant that accepts pieces of other runs."""

    def accept_piece(
        self, run_id: str, incarnation: int, offset: int, data: bytes
    ) -> bytes | None:
        """Accept a piece of any run."""
        return super().accept_piece(self.run_id, incarnation, offset, data)


class AnyIncarnation(AnswerCursor):
    """A mutant that accepts pieces of the VM's next incarnation."""

    def accept_piece(
        self, run_id: str, incarnation: int, offset: int, data: bytes
    ) -> bytes | None:
        """Accept a piece of any incarnation."""
        return super().accept_piece(run_id, self.incarnation, offset, data)


class NoLength(AnswerCursor):
    """A mutant that accepts an end without checking its length and digest."""

    def ending(self, state: str, reason: str, length: int, digest: str) -> Ending:
        """Accept an end without checks."""
        if state == RunState.DONE:
            return Done(length, digest)
        return super().ending(state, reason, length, digest)


def specification(
    name: str,
    cursor_class: type[AnswerCursor],
    ends_early: bool = False,
    expected_violation: str = "",
) -> Specification:
    """Return a specification; a mutant names the violation that it must cause."""
    system = TransitionSystem(cursor_class, ends_early)
    return Specification(
        name=name,
        fields=GlobalState._fields,
        initial=system.initial(),
        transitions=system.transitions,
        invariants={"own_answer": own_answer, "whole_answer": whole_answer},
        expected_violation=expected_violation,
    )


def specifications() -> list[Specification]:
    """Return the specifications that must hold and the mutants to be refuted."""
    return [
        specification("read-out", AnswerCursor),
        specification("read-out: agent ends early", AnswerCursor, True),
        specification(
            "read-out: any offset", AnyOffset, expected_violation="own_answer"
        ),
        specification("read-out: any run", AnyRun, expected_violation="own_answer"),
        specification("read-out: any incarnation", AnyIncarnation, False, "own_answer"),
        specification("read-out: no length", NoLength, True, "whole_answer"),
    ]
