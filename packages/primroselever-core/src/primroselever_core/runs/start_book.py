"""
Record of the run identifiers that may still start at one agent incarnation.

Every start names an epoch that the agent announced before. A mark, either of a start
or of a tombstone, is kept while its epoch is open. A start for a closed epoch is
refused, so that dropping a mark never allows a start that the mark prevented. The clock
only decides when an epoch closes, never which runs may start.

    >>> book = StartBook()
    >>> book.mark_tombstone("r1", epoch=1)
    <StartStanding.TOMBSTONE: 'tombstone'>
    >>> book.mark_started("r1", epoch=1)
    <StartStanding.TOMBSTONE: 'tombstone'>
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import RunId

OPEN_EPOCHS = 2
MAX_MARKS = 50_000


class StartStanding(StrEnum):
    """What is recorded for a run identifier."""

    NEW = "new"
    STARTED = "started"
    TOMBSTONE = "tombstone"
    CLOSED = "closed"


@dataclass(slots=True)
class StartBook:
    """
    The marks of the open epochs, from ``oldest_open_epoch`` to ``newest_epoch``.

    The agent closes epochs early while there are more than ``max_marks`` marks.
    """

    newest_epoch: int = 1
    oldest_open_epoch: int = 1
    max_marks: int = MAX_MARKS
    marks: dict[int, dict[RunId, StartStanding]] = field(default_factory=dict)

    def standing(self, run_id: RunId, epoch: int) -> StartStanding:
        """Return the standing of an identifier."""
        if not self.oldest_open_epoch <= epoch <= self.newest_epoch:
            return StartStanding.CLOSED
        return self.marks.get(epoch, {}).get(run_id, StartStanding.NEW)

    def mark_started(self, run_id: RunId, epoch: int) -> StartStanding:
        """Mark a start; it may go ahead only if this returns ``NEW``."""
        return self.mark_if_new(run_id, epoch, StartStanding.STARTED)

    def mark_tombstone(self, run_id: RunId, epoch: int) -> StartStanding:
        """Set a tombstone unless the run started; return the resulting standing."""
        previous = self.mark_if_new(run_id, epoch, StartStanding.TOMBSTONE)
        return StartStanding.TOMBSTONE if previous is StartStanding.NEW else previous

    def mark_if_new(
        self, run_id: RunId, epoch: int, standing: StartStanding
    ) -> StartStanding:
        """Mark an identifier if it is new; return its previous standing."""
        previous = self.standing(run_id, epoch)
        if previous is StartStanding.NEW:
            self.marks.setdefault(epoch, {})[run_id] = standing
        return previous

    def is_full(self) -> bool:
        """Return whether the oldest epoch should close early."""
        return sum(map(len, self.marks.values())) > self.max_marks

    def advance_epoch(self) -> None:
        """Open a new epoch; close the oldest and drop its marks."""
        self.newest_epoch += 1
        self.oldest_open_epoch = max(
            self.oldest_open_epoch, self.newest_epoch - OPEN_EPOCHS + 1
        )
        for epoch in [e for e in self.marks if e < self.oldest_open_epoch]:
            del self.marks[epoch]
