"""How far an answer was taken in; what does not fit exactly is not taken."""

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
    The place up to which one run's answer was taken in, and its digest so far.

    A piece of another run or incarnation, one that was taken before, or one
    behind a gap changes nothing, so that late, duplicated and crossed replies
    reach no caller.
    """

    run_id: RunId
    incarnation: Incarnation
    offset: int = 0
    digest: Any = field(default_factory=xxhash.xxh3_128)

    def take(
        self, run_id: str, incarnation: int, offset: int, data: bytes
    ) -> bytes | None:
        """Return the bytes that are new, or None if the piece does not fit."""
        if run_id != self.run_id or incarnation != self.incarnation:
            return None
        if offset > self.offset or offset + len(data) < self.offset:
            return None
        new = data[self.offset - offset :] if offset < self.offset else data
        self.offset += len(new)
        self.digest.update(new)
        return new

    def ending(self, state: str, reason: str, length: int, digest: str) -> Ending:
        """Return the ending; ``Done`` only for the whole answer, checked."""
        if state == RunState.DONE:
            if length == self.offset and digest == self.digest.hexdigest():
                return Done(length, digest)
            return Unknown(Reason.ANSWER_DAMAGED)
        if state == RunState.NOT_RUN:
            return NotRun(Reason(reason))
        if state == RunState.MISSING:
            return Unknown(Reason(reason or Reason.ANSWER_GONE))
        return Unknown(Reason(reason))
