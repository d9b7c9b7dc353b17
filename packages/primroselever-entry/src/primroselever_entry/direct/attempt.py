"""How one sending of a request to one back end ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class AttemptEnd(StrEnum):
    """What became of one sending."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    BROKEN = "broken"
    SILENT = "silent"
    OUT_OF_TIME = "out of time"
    CALLER_LEFT = "caller left"


@dataclass(slots=True)
class Attempt:
    """The end of a sending, with the status that the back end said, 0 for none."""

    end: AttemptEnd
    status: int = 0
    reason: str = ""
    retry_after_s: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether the back end may have begun to work on the request."""
        return self.end not in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN)

    @property
    def crashed(self) -> bool:
        """Return whether it ended as if the back end had crashed."""
        return self.end is AttemptEnd.BROKEN and not self.status
