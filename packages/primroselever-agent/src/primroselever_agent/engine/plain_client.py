"""A client of a plain service, which answers with a single body."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3

from primroselever_core.outcomes import Outcome, Reason
from primroselever_node.platform.http_client import (
    ReplyTooLargeError,
    new_http_pool,
    new_timeout,
    read_body,
)

from ..exceptions import BackendError
from .failure import error_for_exception

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroselever_core.runs.registry import Run

READ_TIMEOUT_S = 10.0
# The runner ends a run at its deadline. This is above the largest default of one,
# 600 s, and its grace period of 30 s.
CALL_TIMEOUT_S = 900.0

# Set to "not_run" by a plain service that refused a call before acting on it.
OUTCOME_HEADER = "Request-Outcome"


class PlainClient:
    """Sends the body of a request to the plain service once, without retries."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool(connections=256)

    def run(self, run: Run, body: bytes, priority: int) -> Iterator[bytes]:
        """Yield the body of the answer, or raise ``BackendError``."""
        try:
            reply = self.http.request(
                "POST",
                f"{self.url}/v1/calls/{run.service}",
                body=body,
                headers={"Request-Id": run.run_id},
                timeout=new_timeout(READ_TIMEOUT_S, CALL_TIMEOUT_S),
                preload_content=False,
            )
            answer = read_body(reply, run.answer.limit_bytes)
        except ReplyTooLargeError as exc:
            raise BackendError(Reason.ANSWER_DAMAGED, str(exc)) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise error_for_exception(exc) from exc
        if reply.status >= 300:
            outcome = reply.headers.get(OUTCOME_HEADER, "")
            raise BackendError(
                Reason.ENGINE_REFUSED,
                f"the plain service answered with status {reply.status}",
                never_ran=outcome == Outcome.NOT_RUN,
            )
        yield answer

    def cancel(self, run: Run) -> None:
        """Do nothing, since a plain service cannot cancel a run."""
