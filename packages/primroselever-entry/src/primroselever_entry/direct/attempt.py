"""The result of one attempt to send a request to one back end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class AttemptEnd(StrEnum):
    """How an attempt ended; the values are metric labels."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    BROKEN = "broken"
    SILENT = "silent"
    LAPSED = "weights lapsed"  # no first event while old weights were usable
    OVERTAKEN = "overtaken"  # an earlier silent attempt resumed
    OUT_OF_TIME = "out of time"
    CALLER_LEFT = "caller left"


@dataclass(slots=True)
class Attempt:
    """
    The result of an attempt.

    ``status`` is the HTTP status from the back end, 0 if none was received.
    """

    end: AttemptEnd
    status: int = 0
    reason: str = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether the back end may have started to process the request."""
        return self.end not in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN)

    @property
    def suggests_crash(self) -> bool:
        """Return whether the connection broke without a status, as in a crash."""
        return self.end is AttemptEnd.BROKEN and not self.status
