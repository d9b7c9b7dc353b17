"""A run that an entry started, and the answer as it comes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from eventlet.event import Event

if TYPE_CHECKING:
    from primroselever_core.outcomes import Ending
    from primroselever_core.routing.section import Server
    from primroselever_core.runs.cursor import AnswerCursor


@dataclass(slots=True)
class ActiveRun:
    """
    A run; ``pieces`` are those parts of its answer that were not passed on yet.

    ``deadline`` is the caller's. ``accepted`` is set once the agent is known to have
    the run. ``reader`` is the name under which the run was last told to be followed.
    """

    cursor: AnswerCursor
    server: Server
    deadline: float
    idempotent: bool = True
    accepted: bool = False
    reader: str = ""
    passed_on: bool = False
    pieces: list[bytes] = field(default_factory=list)
    ending: Ending | None = None
    waiting: Event | None = None

    def add(self, piece: bytes) -> None:
        """Take in more of the answer."""
        self.pieces.append(piece)
        self.wake()

    def end(self, ending: Ending) -> None:
        """Record the ending; only the first counts."""
        if self.ending is None:
            self.ending = ending
            self.wake()

    def wake(self) -> None:
        """Wake whoever passes the answer on."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.send()

    def wait(self) -> None:
        """Block until there is more to pass on, or the ending."""
        if not self.pieces and self.ending is None:
            self.waiting = Event()
            self.waiting.wait()
