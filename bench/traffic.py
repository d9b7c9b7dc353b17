"""
Open-loop requests, idempotent and not, recorded with every answer to them.

A non-idempotent request first obtains an operation ticket; while its outcome is unknown
it is sent again with the same ticket, as a caller does. A request without an answer is
sent again to the next entry, like a balancer that no longer reaches the first one.
"""

from __future__ import annotations

import json
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import cycle
from typing import TYPE_CHECKING

import urllib3

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

ANSWER_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 10
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.5
MAX_WORKERS = 96
FINAL_OUTCOMES = ("done", "not_run")


@dataclass(slots=True)
class Answer:
    """The answer to one attempt; ``outcome`` is empty unless a complete one arrived."""

    entry: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    outcome: str = ""
    reason: str = ""
    text: str = ""
    ticket: str = ""
    retry_after: bool = False
    refused: bool = False


@dataclass(slots=True)
class SentRequest:
    """One request of a caller and the answer to each attempt."""

    service: str
    body: str
    idempotent: bool
    answers: list[Answer] = field(default_factory=list)

    @property
    def outcome(self) -> str:
        """Return the outcome of the last answer."""
        return self.answers[-1].outcome if self.answers else ""


@dataclass(frozen=True, slots=True)
class Target:
    """An entry by name and URL."""

    name: str
    url: str


class Traffic:
    """
    Sends ``rate_per_s`` requests a second to the entries in turn.

    It alternates between the idempotent and the non-idempotent service. ``stop`` waits
    for the last answers.
    """

    def __init__(
        self,
        targets: Sequence[Target],
        rate_per_s: float,
        idempotent: str,
        non_idempotent: str,
    ) -> None:
        self.targets = cycle(targets)
        self.interval_s = 1 / rate_per_s
        self.services = cycle(((idempotent, True), (non_idempotent, False)))
        self.http = urllib3.PoolManager(
            retries=False, maxsize=MAX_WORKERS, num_pools=len(targets)
        )
        self.run_label = uuid.uuid4().hex[:8]
        self.requests: list[SentRequest] = []
        self.stopped = threading.Event()
        self.pool = ThreadPoolExecutor(MAX_WORKERS)
        self.scheduler = threading.Thread(target=self.send_on_schedule, daemon=True)

    def __enter__(self) -> Traffic:
        self.scheduler.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop sending and wait for the outstanding answers."""
        self.stopped.set()
        self.scheduler.join()
        self.pool.shutdown(wait=True)

    def send_on_schedule(self) -> None:
        """Send requests at fixed intervals, whether or not earlier ones have ended."""
        due_at = time.monotonic()
        while not self.stopped.is_set():
            service, idempotent = next(self.services)
            body = f"{service}-{self.run_label}-{len(self.requests):06d}"
            request = SentRequest(service, body, idempotent)
            self.requests.append(request)
            self.pool.submit(self.send_until_final, request, next(self.targets))
            due_at += self.interval_s
            self.stopped.wait(max(0.0, due_at - time.monotonic()))

    def send_until_final(self, request: SentRequest, target: Target) -> None:
        """Send one request, and retry it as a caller does."""
        ticket = ""
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            answer = self.send_once(request, target, ticket)
            request.answers.append(answer)
            if answer.ticket and not ticket:
                ticket = answer.ticket
                continue
            attempts += 1
            if answer.outcome in FINAL_OUTCOMES or (
                request.idempotent and answer.outcome
            ):
                return
            if not answer.refused:
                time.sleep(RETRY_DELAY_S)
            target = next(self.targets)

    def send_once(self, request: SentRequest, target: Target, ticket: str) -> Answer:
        """Send a request once and return the answer."""
        answer = Answer(target.name, sent_at=time.monotonic())
        headers = {"Workspace": "ministry", "Request-Timeout": str(REQUEST_TIMEOUT_S)}
        if ticket:
            headers["Operation-Ticket"] = ticket
        try:
            reply = self.http.request(
                "POST",
                f"{target.url}/v1/services/{request.service}/requests",
                body=request.body.encode(),
                headers=headers,
                timeout=urllib3.Timeout(connect=2.0, read=ANSWER_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as exc:
            answer.reason = type(exc).__name__
            answer.refused = isinstance(exc, urllib3.exceptions.NewConnectionError)
        else:
            parse_reply(answer, reply)
        answer.ended_at = time.monotonic()
        return answer


def parse_reply(answer: Answer, reply: urllib3.BaseHTTPResponse) -> None:
    """Set outcome and text from the headers or the streamed records of a reply."""
    answer.ticket = reply.headers.get("Operation-Ticket", "")
    answer.outcome = reply.headers.get("Request-Outcome", "")
    answer.reason = reply.headers.get("Request-Reason", "")
    answer.retry_after = "Retry-After" in reply.headers
    if reply.status != 200:
        return
    if answer.outcome:
        answer.text = reply.data.decode()
        return
    for record in parse_records(reply.data):
        answer.text += record.get("text", "")
        answer.outcome = record.get("outcome", answer.outcome)
        answer.reason = record.get("reason", answer.reason)


def parse_records(data: bytes) -> Iterator[dict[str, str]]:
    """Yield the records of a streamed answer up to the first incomplete one."""
    for line in data.splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            return
