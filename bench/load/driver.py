"""Sending the requests of a plan, each in a greenlet of its own."""

from __future__ import annotations

import http.client
import json
import time
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import eventlet

from .plan import arrivals

if TYPE_CHECKING:
    from .plan import Arrival, Plan

MAX_OUTSTANDING = 3000


@dataclass(slots=True)
class Answer:
    """How one request ended; times are in seconds from when it was due."""

    at_s: float
    target: str
    workspace: str
    priority: int
    prefix: int
    outcome: str = "unknown"
    reason: str = ""
    status: int = 0
    retry_after: str = ""
    first_token_s: float | None = None
    gaps_s: list[float] = field(default_factory=list)
    ended_s: float = 0.0


class Driver:
    """Sends the requests of a plan and collects their answers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.answers: list[Answer] = []
        self.not_sent = 0
        self.idle: dict[int, list[http.client.HTTPConnection]] = {}

    def run(self) -> dict[str, Any]:
        """Send everything, wait for the last answer, return all of them."""
        pool = eventlet.GreenPool(MAX_OUTSTANDING)
        started = time.monotonic()
        for arrival in arrivals(self.plan):
            eventlet.sleep(max(0.0, started + arrival.at_s - time.monotonic()))
            if pool.free() == 0:
                self.not_sent += 1
                continue
            pool.spawn_n(self.send, arrival, started + arrival.at_s)
        pool.waitall()
        return {
            "not_sent": self.not_sent,
            "answers": [asdict(answer) for answer in self.answers],
        }

    def send(self, arrival: Arrival, due: float) -> None:
        """Send one request and record how it ended."""
        sender = arrival.sender
        answer = Answer(
            arrival.at_s,
            arrival.target.name,
            sender.workspace,
            sender.priority,
            arrival.prefix,
        )
        self.answers.append(answer)
        try:
            self.exchange(arrival, answer, due)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            answer.reason = type(exc).__name__
        answer.ended_s = time.monotonic() - due

    def exchange(self, arrival: Arrival, answer: Answer, due: float) -> None:
        """Send a request over a kept connection and read its answer."""
        port = arrival.target.port
        idle = self.idle.setdefault(port, [])
        connection = idle.pop() if idle else self.connect(port)
        path, body, headers = self.message(arrival)
        connection.request("POST", path, body, headers)
        reply = connection.getresponse()
        answer.status = reply.status
        answer.retry_after = reply.headers.get("Retry-After", "")
        if reply.status == 200:
            self.read_stream(reply, answer, due)
        else:
            answer.outcome = reply.headers.get("Request-Outcome", "unknown")
            answer.reason = reply.headers.get("Request-Reason", "")
            reply.read()
        idle.append(connection)

    def connect(self, port: int) -> http.client.HTTPConnection:
        """Open a connection."""
        return http.client.HTTPConnection(
            "127.0.0.1", port, timeout=self.plan.timeout_s + 5
        )

    def message(self, arrival: Arrival) -> tuple[str, bytes, dict[str, str]]:
        """Return the path, body and headers of a request."""
        sender = arrival.sender
        if arrival.target.direct:
            fields = {
                "run_id": f"{arrival.number:032x}",
                "workspace": sender.workspace,
                "priority": sender.priority,
                "body": arrival.body(),
            }
            return "/v1/generate", json.dumps(fields).encode(), {}
        headers = {
            "Workspace": sender.workspace,
            "Priority": str(sender.priority),
            "Request-Timeout": str(self.plan.timeout_s),
        }
        path = f"/v1/services/{self.plan.service}/requests"
        return path, arrival.body().encode(), headers

    def read_stream(
        self, reply: http.client.HTTPResponse, answer: Answer, due: float
    ) -> None:
        """Read records as they come, with the time of each token."""
        last = 0.0
        for line in reply:
            now = time.monotonic()
            if line.startswith(b'{"text"'):
                if answer.first_token_s is None:
                    answer.first_token_s = now - due
                else:
                    answer.gaps_s.append(now - last)
                last = now
                continue
            record = json.loads(line)
            if "end" in record:
                answer.outcome = "done"
            elif "outcome" in record:
                answer.outcome = record["outcome"]
                answer.reason = record.get("reason", "")
