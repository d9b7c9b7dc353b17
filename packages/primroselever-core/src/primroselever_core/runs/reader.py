"""The answers that one reader follows, and what remains to be sent to the reader."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import RunId


@dataclass(slots=True)
class Reader:
    """
    The runs that a reader follows, and those with unsent data or an unsent ending.

    The work for a reader grows with the number of changed runs, not of followed runs.
    A reader whose reply was lost is dropped; its successor sends the offsets that it
    has reached.
    """

    offsets: dict[RunId, int] = field(default_factory=dict)
    changed: dict[RunId, None] = field(default_factory=dict)

    def follow(self, run_id: RunId, offset: int, is_new: bool = False) -> None:
        """Follow a run from an offset; an ``is_new`` run has nothing to send yet."""
        self.offsets[run_id] = offset
        if not is_new:
            self.changed[run_id] = None

    def mark_changed(self, run_id: RunId) -> bool:
        """Mark a run as changed; return whether this reader follows it."""
        if run_id not in self.offsets:
            return False
        self.changed[run_id] = None
        return True

    def next_changed(self) -> tuple[RunId, int] | None:
        """Remove and return the run that changed first, and the offset to read from."""
        for run_id in self.changed:
            del self.changed[run_id]
            return run_id, self.offsets[run_id]
        return None

    def record_sent(self, run_id: RunId, offset: int, ended: bool, more: bool) -> None:
        """Record the offset up to which a run was sent, and whether more is left."""
        if ended:
            del self.offsets[run_id]
            return
        self.offsets[run_id] = offset
        if more:
            self.changed[run_id] = None
