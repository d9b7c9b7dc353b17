"""Sends the requests of a plan, each in its own greenlet."""

from __future__ import annotations

import http.client
import json
import time
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import eventlet

from .plan import draw_arrivals

if TYPE_CHECKING:
    from .plan import Arrival, Plan

MAX_OUTSTANDING = 3000


@dataclass(slots=True)
class Answer:
    """How a request ended; ``at_s`` is when it was due, other times count from that."""

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
        self.idle_connections: dict[int, list[http.client.HTTPConnection]] = {}

    def run(self) -> dict[str, Any]:
        """Send all requests and return the answers when the last one has ended."""
        pool = eventlet.GreenPool(MAX_OUTSTANDING)
        started_at = time.monotonic()
        for arrival in draw_arrivals(self.plan):
            eventlet.sleep(max(0.0, started_at + arrival.at_s - time.monotonic()))
            if pool.free() == 0:
                self.not_sent += 1
                continue
            pool.spawn_n(self.send_request, arrival, started_at + arrival.at_s)
        pool.waitall()
        return {
            "not_sent": self.not_sent,
            "answers": [asdict(answer) for answer in self.answers],
        }

    def send_request(self, arrival: Arrival, due_at: float) -> None:
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
            self.exchange(arrival, answer, due_at)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            answer.reason = type(exc).__name__
        answer.ended_s = time.monotonic() - due_at

    def exchange(self, arrival: Arrival, answer: Answer, due_at: float) -> None:
        """Send a request over an idle or new connection and read the answer."""
        port = arrival.target.port
        idle_connections = self.idle_connections.setdefault(port, [])
        connection = (
            idle_connections.pop() if idle_connections else self.open_connection(port)
        )
        path, body, headers = self.build_message(arrival)
        connection.request("POST", path, body, headers)
        reply = connection.getresponse()
        answer.status = reply.status
        answer.retry_after = reply.headers.get("Retry-After", "")
        if reply.status == 200:
            self.read_stream(reply, answer, due_at)
        else:
            answer.outcome = reply.headers.get("Request-Outcome", "unknown")
            answer.reason = reply.headers.get("Request-Reason", "")
            reply.read()
        idle_connections.append(connection)

    def open_connection(self, port: int) -> http.client.HTTPConnection:
        """Return a new connection to a local port."""
        return http.client.HTTPConnection(
            "127.0.0.1", port, timeout=self.plan.timeout_s + 5
        )

    def build_message(self, arrival: Arrival) -> tuple[str, bytes, dict[str, str]]:
        """Return the path, body and headers of a request."""
        sender = arrival.sender
        if arrival.target.direct:
            fields = {
                "run_id": f"{arrival.number:032x}",
                "workspace": sender.workspace,
                "priority": sender.priority,
                "body": arrival.build_body(),
            }
            return "/v1/generate", json.dumps(fields).encode(), {}
        headers = {
            "Workspace": sender.workspace,
            "Priority": str(sender.priority),
            "Request-Timeout": str(self.plan.timeout_s),
        }
        path = f"/v1/services/{self.plan.service}/requests"
        return path, arrival.build_body().encode(), headers

    def read_stream(
        self, reply: http.client.HTTPResponse, answer: Answer, due_at: float
    ) -> None:
        """Read the records of a streamed answer and record the time of each token."""
        last_token_at = 0.0
        for line in reply:
            now = time.monotonic()
            if line.startswith(b'{"text"'):
                if answer.first_token_s is None:
                    answer.first_token_s = now - due_at
                else:
                    answer.gaps_s.append(now - last_token_at)
                last_token_at = now
                continue
            record = json.loads(line)
            if "end" in record:
                answer.outcome = "done"
            elif "outcome" in record:
                answer.outcome = record["outcome"]
                answer.reason = record.get("reason", "")
