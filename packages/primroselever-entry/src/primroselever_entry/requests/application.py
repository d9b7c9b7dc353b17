"""The WSGI application that answers callers' requests."""

from __future__ import annotations

import json
import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from primroselever_core.outcomes import Done, Ending, NotRun, Outcome, Reason, Unknown

from .caller_request import TICKET_ENVIRON_KEY, CallerRequest, parse_request
from .outcome_counter import OutcomeCounter
from .problem import Problem, problem_from_ending

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable, Iterator

    from primroselever_core.board import Blackboard
    from primroselever_core.profiles.model import Service
    from primroselever_node.http import StartResponse

    from ..settings import EntrySettings
    from .flow import RequestFlow

STREAM_MEDIA_TYPE = "application/x-ndjson"
UNAVAILABLE_RETRY_S = 1.0

logger = logging.getLogger(__name__)


class CallerApplication:
    """Answers callers; every answer states the outcome of its request."""

    def __init__(
        self, board: Blackboard, flow: RequestFlow, settings: EntrySettings
    ) -> None:
        self.board = board
        self.flow = flow
        self.settings = settings
        self.outcome_counter = OutcomeCounter()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; an unexpected exception gets status 500 and is logged."""
        try:
            return self.handle_request(environ, start_response)
        except Exception:
            logger.exception("unhandled error while answering a request")
            problem = Problem(
                status=500,
                title="internal error",
                detail="see the logs",
                outcome=Outcome.UNKNOWN,
                reason=Reason.INTERNAL,
            )
            return self.send_problem(problem, start_response)

    def handle_request(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request with its whole answer, a stream or a problem."""
        request = parse_request(environ, self.settings)
        if isinstance(request, Problem):
            return self.send_problem(
                mark_unknown_with_ticket(request, environ), start_response
            )
        service = self.find_service(request)
        if isinstance(service, Problem):
            return self.send_problem(
                mark_unknown_with_ticket(service, environ), start_response
            )
        parts = self.flow.answer_request(request, service)
        first_part = next(parts)
        if isinstance(first_part, (NotRun, Unknown)):
            return self.send_problem(problem_from_ending(first_part), start_response)
        if service.profile is None:
            return self.send_whole_answer(first_part, parts, start_response)
        start_response("200 OK", [("Content-Type", STREAM_MEDIA_TYPE)])
        return self.stream_answer(first_part, parts)

    def find_service(self, request: CallerRequest) -> Service | Problem:
        """Return the service that a request names, or why it is not served."""
        if self.board.leaving:
            return problem_from_ending(NotRun(Reason.LEAVING, UNAVAILABLE_RETRY_S))
        accepted = self.board.profiles.accepted
        if accepted is None:
            return problem_from_ending(NotRun(Reason.NO_SERVER, UNAVAILABLE_RETRY_S))
        service = accepted.profiles.service(request.service)
        if service is None:
            return Problem(404, "no such service", "name a published service")
        return service

    def send_problem(
        self, problem: Problem, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer with a problem and count its outcome."""
        self.outcome_counter.count_outcome(problem.outcome, problem.reason)
        body = problem.body()
        headers = [*problem.headers(), ("Content-Length", str(len(body)))]
        start_response(problem.status_line, headers)
        return [body]

    def stream_answer(
        self, first_part: bytes | Ending, parts: Generator[bytes | Ending, None, None]
    ) -> Iterator[bytes]:
        """
        Yield the answer's records and a last record with the outcome.

        If the caller leaves, the server closes this generator and the request is
        counted as ``caller_gone``.
        """
        part: bytes | Ending | None = first_part
        try:
            while isinstance(part, bytes):
                yield part
                part = next(parts, None)
        except Exception:
            logger.exception("unhandled error while streaming an answer")
            part = Unknown(Reason.INTERNAL)
        finally:
            self.outcome_counter.count_ending(part)
            parts.close()
        yield encode_last_record(part)

    def send_whole_answer(
        self,
        first_part: bytes | Ending,
        parts: Iterator[bytes | Ending],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer with one body, after the whole answer has arrived."""
        body = b""
        part: bytes | Ending | None = first_part
        while isinstance(part, bytes):
            body += part
            part = next(parts, None)
        if not isinstance(part, Done):
            assert part is not None
            return self.send_problem(problem_from_ending(part), start_response)
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
            ("Request-Outcome", part.outcome),
        ]
        self.outcome_counter.count_ending(part)
        start_response("200 OK", headers)
        return [body]


def mark_unknown_with_ticket(problem: Problem, environ: dict[str, Any]) -> Problem:
    """
    Return a problem, with its outcome set to unknown if the request has a ticket.

    A request with a ticket may have run before through another entry, so only the
    agent that issued the ticket can answer "not run".
    """
    if TICKET_ENVIRON_KEY in environ:
        detail = f"{problem.detail}; with its ticket it may have run before"
        return replace(problem, outcome=Outcome.UNKNOWN, detail=detail)
    return problem


def encode_last_record(ending: Ending | None) -> bytes:
    """Return the last record of a streamed answer, a JSON line with the outcome."""
    fields: dict[str, Any] = {}
    if isinstance(ending, Done):
        fields = {"length": ending.length, "digest": ending.digest}
    elif ending is not None:
        fields = {"reason": ending.reason, "retry_after_s": ending.retry_after_s}
    outcome = Outcome.UNKNOWN if ending is None else ending.outcome
    return json.dumps({"outcome": outcome, **fields}).encode() + b"\n"
