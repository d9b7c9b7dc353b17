"""The WSGI application that callers speak to."""

from __future__ import annotations

import json
import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from primroselever_core.outcomes import Done, Ending, NotRun, Outcome, Reason, Unknown

from .caller_request import TICKET_VARIABLE, CallerRequest, parse_request
from .outcome_counter import OutcomeCounter
from .problem import Problem, problem_of

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable, Iterator

    from primroselever_core.board import Blackboard
    from primroselever_core.profiles.model import Service
    from primroselever_node.http import StartResponse

    from ..settings import EntrySettings
    from .flow import RequestFlow

STREAM_TYPE = "application/x-ndjson"
LEAVING_RETRY_S = 1.0

logger = logging.getLogger(__name__)


class CallerApplication:
    """Answers callers; every answer says its outcome."""

    def __init__(
        self, board: Blackboard, flow: RequestFlow, settings: EntrySettings
    ) -> None:
        self.board = board
        self.flow = flow
        self.settings = settings
        self.outcomes = OutcomeCounter()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request over WSGI, with its outcome."""
        try:
            return self.handle(environ, start_response)
        except Exception:
            logger.exception("a request failed")
            problem = Problem(
                status=500,
                title="internal error",
                detail="see the logs",
                outcome=Outcome.UNKNOWN,
                reason=Reason.INTERNAL,
            )
            return self.refuse(problem, start_response)

    def handle(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        request = parse_request(environ, self.settings)
        if isinstance(request, Problem):
            return self.refuse(unconfirmed(request, environ), start_response)
        service = self.service_of(request)
        if isinstance(service, Problem):
            return self.refuse(unconfirmed(service, environ), start_response)
        parts = self.flow.answer(request, service)
        first = next(parts)
        if isinstance(first, (NotRun, Unknown)):
            return self.refuse(problem_of(first), start_response)
        if service.profile is None:
            return self.whole(first, parts, start_response)
        start_response("200 OK", [("Content-Type", STREAM_TYPE)])
        return self.stream(first, parts)

    def service_of(self, request: CallerRequest) -> Service | Problem:
        """Return the service that a request names, or the problem with it."""
        if self.board.leaving:
            return problem_of(NotRun(Reason.LEAVING, LEAVING_RETRY_S))
        accepted = self.board.profiles.accepted
        if accepted is None:
            return problem_of(NotRun(Reason.NO_SERVER, LEAVING_RETRY_S))
        service = accepted.profiles.service(request.service)
        if service is None:
            return Problem(404, "no such service", "name a published service")
        return service

    def refuse(
        self, problem: Problem, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer with a problem."""
        self.outcomes.count(problem.outcome, problem.reason)
        body = problem.body()
        headers = [*problem.headers(), ("Content-Length", str(len(body)))]
        start_response(problem.status_line, headers)
        return [body]

    def stream(
        self, first: bytes | Ending, parts: Generator[bytes | Ending, None, None]
    ) -> Iterator[bytes]:
        """Yield the answer's records and a last one with the outcome."""
        part: bytes | Ending | None = first
        try:
            while isinstance(part, bytes):
                yield part
                part = next(parts, None)
        except Exception:
            logger.exception("an answer broke off")
            part = Unknown(Reason.INTERNAL)
        finally:
            self.outcomes.count_ending(part)
            parts.close()
        yield trailer(part)

    def whole(
        self,
        first: bytes | Ending,
        parts: Iterator[bytes | Ending],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer with one body, sent only when it is whole."""
        body = b""
        part: bytes | Ending | None = first
        while isinstance(part, bytes):
            body += part
            part = next(parts, None)
        if not isinstance(part, Done):
            assert part is not None
            return self.refuse(problem_of(part), start_response)
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
            ("Request-Outcome", part.outcome),
        ]
        self.outcomes.count_ending(part)
        start_response("200 OK", headers)
        return [body]


def unconfirmed(problem: Problem, environ: dict[str, Any]) -> Problem:
    """
    Return a refusal of this entry as it may be said.

    A call that has a ticket may have run before, so only the ticket's agent may
    say "not run".
    """
    if TICKET_VARIABLE in environ:
        detail = f"{problem.detail}; with its ticket it may have run before"
        return replace(problem, outcome=Outcome.UNKNOWN, detail=detail)
    return problem


def trailer(ending: Ending | None) -> bytes:
    """Return the last record of a streamed answer."""
    fields: dict[str, Any] = {}
    if isinstance(ending, Done):
        fields = {"length": ending.length, "digest": ending.digest}
    elif ending is not None:
        fields = {"reason": ending.reason, "retry_after_s": ending.retry_after_s}
    outcome = Outcome.UNKNOWN if ending is None else ending.outcome
    return json.dumps({"outcome": outcome, **fields}).encode() + b"\n"
