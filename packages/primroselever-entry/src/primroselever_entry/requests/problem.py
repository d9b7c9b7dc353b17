"""Error responses in the problem details format of RFC 9457."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from http import HTTPStatus

from primroselever_core.outcomes import NotRun, Outcome, Reason, Unknown

PROBLEM_MEDIA_TYPE = "application/problem+json"

STATUS_BY_REASON = {
    Reason.DEADLINE_PASSED: 504,
    Reason.FAIR_SHARE: 429,
    Reason.OVERLOADED: 429,
    Reason.QUARANTINED: 422,
    Reason.KEY_REUSED: 422,
    Reason.TICKET_GONE: 409,
    Reason.TICKET_INVALID: 400,
    Reason.TICKET_REQUIRED: 428,
}


@dataclass(frozen=True, slots=True)
class Problem:
    """
    A refusal or failure to answer with, and its HTTP status.

    ``outcome`` is ``not_run`` unless the request may have run.
    """

    status: int
    title: str
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    reason: str = "malformed"
    retry_after_s: float | None = None
    ticket: str = ""

    @property
    def status_line(self) -> str:
        """Return the HTTP status code with its reason phrase."""
        return f"{self.status} {HTTPStatus(self.status).phrase}"

    def headers(self) -> list[tuple[str, str]]:
        """Return the HTTP headers except Content-Length."""
        headers = [
            ("Content-Type", PROBLEM_MEDIA_TYPE),
            ("Request-Outcome", self.outcome),
            ("Request-Reason", self.reason),
        ]
        if self.retry_after_s is not None:
            headers.append(("Retry-After", str(math.ceil(self.retry_after_s))))
        if self.ticket:
            headers.append(("Operation-Ticket", self.ticket))
        return headers

    def body(self) -> bytes:
        """Return the problem as JSON."""
        fields = {
            "type": f"urn:primroselever:problem:{self.reason}",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "outcome": self.outcome,
            "reason": self.reason,
        }
        if self.retry_after_s is not None:
            fields["retry_after_s"] = self.retry_after_s
        return json.dumps(fields).encode() + b"\n"


# Reasons whose cause goes away without the caller's help, so a retry makes sense.
TEMPORARY_REASONS = (
    Reason.DEADLINE_PASSED,
    Reason.FAIR_SHARE,
    Reason.LEAVING,
    Reason.NO_SERVER,
    Reason.NO_WEIGHTS,
    Reason.OVERLOADED,
    Reason.PAUSED,
    Reason.SERVER_LOST,
    Reason.TOMBSTONE,
)
DEFAULT_RETRY_S = 1.0


def retry_delay_s(ending: NotRun | Unknown) -> float | None:
    """Return the seconds after which to retry, or None if a retry makes no sense."""
    if ending.retry_after_s is not None:
        return ending.retry_after_s
    is_temporary = isinstance(ending, NotRun) and ending.reason in TEMPORARY_REASONS
    return DEFAULT_RETRY_S if is_temporary else None


def problem_from_ending(ending: NotRun | Unknown) -> Problem:
    """Return the problem that reports an ending to the caller."""
    ticket = ""
    if isinstance(ending, NotRun):
        ticket = ending.ticket
        detail = "the request did not run and will not"
        status = STATUS_BY_REASON.get(ending.reason, 503)
    else:
        detail = "the request may have run; do not assume either"
        status = STATUS_BY_REASON.get(ending.reason, 502)
    return Problem(
        status=status,
        title=ending.reason.replace("_", " "),
        detail=detail,
        outcome=ending.outcome,
        reason=ending.reason,
        retry_after_s=retry_delay_s(ending),
        ticket=ticket,
    )
