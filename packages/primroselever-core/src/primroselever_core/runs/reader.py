"""What one reader of many answers has not been sent yet."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import RunId


@dataclass(slots=True)
class Reader:
    """
    The runs that a reader follows, and those with something new for it.

    Work for a reader grows with what changed, not with what it follows. A reader
    whose reply was lost is dropped; its successor says where it stands.
    """

    offsets: dict[RunId, int] = field(default_factory=dict)
    changed: dict[RunId, None] = field(default_factory=dict)

    def follow(self, run_id: RunId, offset: int, fresh: bool = False) -> None:
        """Follow a run from an offset on; a fresh one has nothing to say yet."""
        self.offsets[run_id] = offset
        if not fresh:
            self.changed[run_id] = None

    def note(self, run_id: RunId) -> bool:
        """Note that a run has something new; return whether that matters here."""
        if run_id not in self.offsets:
            return False
        self.changed[run_id] = None
        return True

    def next_changed(self) -> tuple[RunId, int] | None:
        """Take the run that has waited longest, with the offset to read from."""
        for run_id in self.changed:
            del self.changed[run_id]
            return run_id, self.offsets[run_id]
        return None

    def sent(self, run_id: RunId, offset: int, ended: bool, more: bool) -> None:
        """Note up to which offset a run was sent, and whether that was all."""
        if ended:
            del self.offsets[run_id]
            return
        self.offsets[run_id] = offset
        if more:
            self.changed[run_id] = None

    def drop(self, run_id: RunId) -> None:
        """Follow a run no more."""
        self.offsets.pop(run_id, None)
        self.changed.pop(run_id, None)
