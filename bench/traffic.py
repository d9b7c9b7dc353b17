"""
Open-loop requests of both kinds, each remembered with every answer to it.

A request that must run once asks for its ticket first; when its end is unknown it is
sent again with the same ticket, as a caller would. A request without any answer is
sent again to the next entry, as by a balancer that has found the first one gone.
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
DEADLINE_S = 10
MAX_SENDS = 3
RESEND_AFTER_S = 0.5
WORKERS = 96
FINAL = ("done", "not_run")


@dataclass(slots=True)
class Answer:
    """What came back for one sending; ``outcome`` is empty when nothing whole did."""

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
class Sent:
    """One request of a caller and the answers to each time that it was sent."""

    service: str
    body: str
    idempotent: bool
    answers: list[Answer] = field(default_factory=list)

    @property
    def outcome(self) -> str:
        """Return what the caller was told last."""
        return self.answers[-1].outcome if self.answers else ""


@dataclass(frozen=True, slots=True)
class Target:
    """An entry by name and URL."""

    name: str
    url: str


class Traffic:
    """
    Sends ``rate_per_s`` requests a second to the entries in turn.

    Every other request is idempotent. ``stop`` waits for the last answers.
    """

    def __init__(
        self,
        targets: Sequence[Target],
        rate_per_s: float,
        idempotent: str,
        once: str,
    ) -> None:
        self.targets = cycle(targets)
        self.interval_s = 1 / rate_per_s
        self.services = cycle(((idempotent, True), (once, False)))
        self.http = urllib3.PoolManager(
            retries=False, maxsize=WORKERS, num_pools=len(targets)
        )
        self.label = uuid.uuid4().hex[:8]
        self.sent: list[Sent] = []
        self.stopped = threading.Event()
        self.pool = ThreadPoolExecutor(WORKERS)
        self.scheduler = threading.Thread(target=self.schedule, daemon=True)

    def __enter__(self) -> Traffic:
        self.scheduler.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Send no more and wait for the answers that are still to come."""
        self.stopped.set()
        self.scheduler.join()
        self.pool.shutdown(wait=True)

    def schedule(self) -> None:
        """Send on time, whatever became of the requests before."""
        due = time.monotonic()
        while not self.stopped.is_set():
            service, idempotent = next(self.services)
            body = f"{service}-{self.label}-{len(self.sent):06d}"
            sent = Sent(service, body, idempotent)
            self.sent.append(sent)
            self.pool.submit(self.carry, sent, next(self.targets))
            due += self.interval_s
            self.stopped.wait(max(0.0, due - time.monotonic()))

    def carry(self, sent: Sent, target: Target) -> None:
        """Send one request, and again where a caller would."""
        ticket = ""
        sends = 0
        while sends < MAX_SENDS:
            answer = self.send(sent, target, ticket)
            sent.answers.append(answer)
            if answer.ticket and not ticket:
                ticket = answer.ticket
                continue
            sends += 1
            if answer.outcome in FINAL or (sent.idempotent and answer.outcome):
                return
            if not answer.refused:
                time.sleep(RESEND_AFTER_S)
            target = next(self.targets)

    def send(self, sent: Sent, target: Target, ticket: str) -> Answer:
        """Send a request once and read what comes back."""
        answer = Answer(target.name, sent_at=time.monotonic())
        headers = {"Workspace": "ministry", "Request-Timeout": str(DEADLINE_S)}
        if ticket:
            headers["Operation-Ticket"] = ticket
        try:
            reply = self.http.request(
                "POST",
                f"{target.url}/v1/services/{sent.service}/requests",
                body=sent.body.encode(),
                headers=headers,
                timeout=urllib3.Timeout(connect=2.0, read=ANSWER_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as exc:
            answer.reason = type(exc).__name__
            answer.refused = isinstance(exc, urllib3.exceptions.NewConnectionError)
        else:
            read_into(answer, reply)
        answer.ended_at = time.monotonic()
        return answer


def read_into(answer: Answer, reply: urllib3.BaseHTTPResponse) -> None:
    """Read outcome and text of a reply, whichever way they are told."""
    answer.ticket = reply.headers.get("Operation-Ticket", "")
    answer.outcome = reply.headers.get("Request-Outcome", "")
    answer.reason = reply.headers.get("Request-Reason", "")
    answer.retry_after = "Retry-After" in reply.headers
    if reply.status != 200:
        return
    if answer.outcome:
        answer.text = reply.data.decode()
        return
    for record in records(reply.data):
        answer.text += record.get("text", "")
        answer.outcome = record.get("outcome", answer.outcome)
        answer.reason = record.get("reason", answer.reason)


def records(data: bytes) -> Iterator[dict[str, str]]:
    """Yield the records of a streamed answer; a cut one is left out."""
    for line in data.splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            return
