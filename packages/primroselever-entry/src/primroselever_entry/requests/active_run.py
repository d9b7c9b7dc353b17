"""A run that an entry started, and the part of its answer still to forward."""

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
    A run in progress on an agent, seen from the entry.

    ``pending_pieces`` holds the parts of the answer that were received but not yet
    forwarded to the caller; ``data_forwarded`` is set once any part was forwarded.
    ``deadline`` is the caller's, as a time of the monotonic clock. ``accepted`` is
    set once the agent is known to have accepted the run. ``reader_name`` is the
    reader under which the agent was last asked to send the run's answer.
    """

    cursor: AnswerCursor
    server: Server
    deadline: float
    idempotent: bool = True
    accepted: bool = False
    reader_name: str = ""
    data_forwarded: bool = False
    pending_pieces: list[bytes] = field(default_factory=list)
    ending: Ending | None = None
    update_event: Event | None = None

    def add_piece(self, piece: bytes) -> None:
        """Append a piece of the answer and wake the waiting greenlet."""
        self.pending_pieces.append(piece)
        self.notify()

    def record_ending(self, ending: Ending) -> None:
        """Record the ending; later calls have no effect."""
        if self.ending is None:
            self.ending = ending
            self.notify()

    def notify(self) -> None:
        """Wake the greenlet that is blocked in ``wait_for_update``, if any."""
        event, self.update_event = self.update_event, None
        if event is not None:
            event.send()

    def wait_for_update(self) -> None:
        """Block until there is a piece to forward or the run has ended."""
        if not self.pending_pieces and self.ending is None:
            self.update_event = Event()
            self.update_event.wait()
