"""A client of a plain service, whose answers are one body."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3

from primroselever_core.outcomes import Outcome, Reason
from primroselever_node.platform.http_client import new_http_pool, timeout

from ..exceptions import BackendError
from .failure import failed

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroselever_core.runs.registry import Run

SILENCE_TIMEOUT_S = 10.0

# A plain service that refused a call before it acted says so in this header.
OUTCOME_HEADER = "Request-Outcome"


class PlainClient:
    """Hands a request's body to the plain service, once."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool(connections=256)

    def run(self, run: Run, body: bytes, priority: int) -> Iterator[bytes]:
        """Yield the one body of the answer, or raise ``BackendError``."""
        try:
            reply = self.http.request(
                "POST",
                f"{self.url}/v1/calls/{run.service}",
                body=body,
                headers={"Request-Id": run.run_id},
                timeout=timeout(SILENCE_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as exc:
            raise failed(exc) from exc
        if reply.status >= 300:
            said = reply.headers.get(OUTCOME_HEADER, "")
            raise BackendError(
                Reason.ENGINE_REFUSED,
                f"status {reply.status}",
                never_ran=said == Outcome.NOT_RUN,
            )
        yield reply.data

    def cancel(self, run: Run) -> None:
        """Do nothing: a plain service cannot cancel."""
