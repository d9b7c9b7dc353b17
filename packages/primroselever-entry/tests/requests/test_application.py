"""HTTP responses to callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_entry.requests.application import CallerApplication
from primroselever_entry.requests.problem import problem_from_ending
from primroselever_entry.settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Generator

    from primroselever_core.outcomes import Ending

    from .conftest import Fleet


class FakeInput:
    def read(self, length: int) -> bytes:
        return b"renew 7"[:length]


def post_call(fleet: Fleet, ticket: str | None = None, leaving: bool = False) -> Any:
    """Send a non-idempotent call; return status, headers and body."""
    flow = fleet.new_request_flow()
    flow.board.leaving = leaving
    settings = EntrySettings.model_construct(
        default_deadline_s=30.0, max_deadline_s=60.0, body_limit_bytes=100
    )
    environ = {
        "PATH_INFO": "/v1/services/renewals/requests",
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": "7",
        "HTTP_WORKSPACE": "ministry",
        "wsgi.input": FakeInput(),
    }
    if ticket is not None:
        environ["HTTP_OPERATION_TICKET"] = ticket
    response: list[Any] = []
    application = CallerApplication(flow.board, flow, settings)
    body = application(
        environ, lambda status, headers: response.extend([status, headers])
    )
    return response[0][:3], dict(response[1]), b"".join(body)


def test_a_call_without_a_ticket_gets_one_and_runs_with_it(fleet: Fleet) -> None:
    status, headers, _ = post_call(fleet)
    assert (status, headers["Request-Outcome"]) == ("428", "not_run")
    status, headers, body = post_call(fleet, headers["Operation-Ticket"])
    assert (status, headers["Request-Outcome"]) == ("200", "done")
    assert body == b"one two three"


def test_a_leaving_entry_answers_unknown_to_a_call_with_a_ticket(fleet: Fleet) -> None:
    ticket = post_call(fleet)[1]["Operation-Ticket"]
    post_call(fleet, ticket)
    status, headers, body = post_call(fleet, ticket, leaving=True)
    assert (status, headers["Request-Outcome"]) == ("503", "unknown")
    assert json.loads(body)["outcome"] == "unknown"


@pytest.mark.parametrize(
    ("ending", "status", "retry_after"),
    [
        (NotRun(Reason.NO_SERVER), 503, "1"),
        (NotRun(Reason.OVERLOADED, 2.5), 429, "3"),
        (NotRun(Reason.DEADLINE_PASSED), 504, "1"),
        (NotRun(Reason.TICKET_INVALID), 400, None),
        (Unknown(Reason.ENGINE_FAILED), 502, None),
        (Unknown(Reason.SERVER_LOST, 1.0), 502, "1"),
    ],
)
def test_status_and_retry_after_of_an_ending(ending, status, retry_after) -> None:
    problem = problem_from_ending(ending)
    assert problem.status == status
    assert dict(problem.headers()).get("Retry-After") == retry_after


def test_an_exception_while_streaming_is_not_counted_as_caller_gone(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    def failing_parts() -> Generator[bytes | Ending, None, None]:
        yield b"two "
        raise RuntimeError("a bug in the entry")

    flow = fleet.new_request_flow()
    application = CallerApplication(flow.board, flow, EntrySettings.model_construct())
    counted: list[tuple[str, str]] = []
    monkeypatch.setattr(
        application.outcome_counter,
        "count_outcome",
        lambda outcome, reason: counted.append((outcome, reason)),
    )

    *pieces, last = application.stream_answer(b"one ", failing_parts())

    assert pieces == [b"one ", b"two "]
    assert json.loads(last) == {
        "outcome": "unknown",
        "reason": "internal",
        "retry_after_s": None,
    }
    assert counted == [("unknown", "internal")]
