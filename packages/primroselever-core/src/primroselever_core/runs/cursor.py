"""Position in an answer that is being received; pieces that do not fit are ignored."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import xxhash

from ..outcomes import Done, Ending, NotRun, Reason, Unknown
from .registry import RunState

if TYPE_CHECKING:
    from ..identifiers import Incarnation, RunId


@dataclass(slots=True)
class AnswerCursor:
    """
    The offset up to which one run's answer was received, and its digest so far.

    A piece that belongs to another run or incarnation, was received before, or follows
    a gap changes nothing. Late, duplicated and reordered replies therefore do not reach
    a caller.
    """

    run_id: RunId
    incarnation: Incarnation
    offset: int = 0
    digest: Any = field(default_factory=xxhash.xxh3_128)

    def accept_piece(
        self, run_id: str, incarnation: int, offset: int, data: bytes
    ) -> bytes | None:
        """Return the new bytes of a piece, or None if the piece does not fit."""
        if run_id != self.run_id or incarnation != self.incarnation:
            return None
        if offset > self.offset or offset + len(data) < self.offset:
            return None
        new = data[self.offset - offset :] if offset < self.offset else data
        self.offset += len(new)
        self.digest.update(new)
        return new

    def ending(self, state: str, reason: str, length: int, digest: str) -> Ending:
        """Return the ending; ``Done`` requires that the length and the digest match."""
        if state == RunState.DONE:
            if length == self.offset and digest == self.digest.hexdigest():
                return Done(length, digest)
            return Unknown(Reason.ANSWER_DAMAGED)
        if state == RunState.NOT_RUN:
            return NotRun(Reason(reason))
        if state == RunState.MISSING:
            return Unknown(Reason(reason or Reason.ANSWER_GONE))
        return Unknown(Reason(reason))
