"""The admin port: /healthz, /readyz, /metrics, /status, /explain; read-only."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from .exceptions import ExplainError
from .metrics import exposition

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .http import StartResponse

    Answer = tuple[str, str, bytes]

OK = "200 OK"
JSON = "application/json"
TEXT = "text/plain; charset=utf-8"
READINESS_PATH = "/readyz"


class AdminApplication:
    """
    Answers operators and the platform's balancer.

    ``unready_reason`` returns why no new work may come, or None when it may;
    ``status`` returns what the process knows and how old it is, and ``explain``
    what it would decide now for the fields of a query. Neither changes anything.
    ``readiness_path`` is a second path for readiness, for balancers that want another.
    """

    def __init__(
        self,
        unready_reason: Callable[[], str | None],
        status: Callable[[], dict[str, Any]],
        explain: Callable[[dict[str, str]], dict[str, Any]],
    ) -> None:
        self.unready_reason = unready_reason
        self.status = status
        self.explain = explain
        self.readiness_path = READINESS_PATH

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request over WSGI."""
        method = environ["REQUEST_METHOD"]
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        status_line, kind, body = self.answer(method, environ["PATH_INFO"], query)
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        if status_line.startswith("405"):
            headers.append(("Allow", "GET, HEAD"))
        start_response(status_line, headers)
        return [] if method == "HEAD" else [body]

    def answer(self, method: str, path: str, query: dict[str, str]) -> Answer:
        """Return status line, content type and body."""
        if method not in ("GET", "HEAD"):
            return "405 Method Not Allowed", TEXT, b"only GET\n"
        if path == "/healthz":
            return OK, TEXT, b"ok\n"
        if path in (READINESS_PATH, self.readiness_path):
            return self.readiness()
        if path == "/metrics":
            return OK, TEXT, exposition()
        if path == "/status":
            return json_answer(self.status())
        if path == "/explain":
            return self.explanation(query)
        return "404 Not Found", TEXT, b"no such page\n"

    def readiness(self) -> Answer:
        """Say whether new work may come, and else why not."""
        reason = self.unready_reason()
        if reason is None:
            return OK, TEXT, b"ready\n"
        return "503 Service Unavailable", TEXT, f"not ready: {reason}\n".encode()

    def explanation(self, query: dict[str, str]) -> Answer:
        """Say what would be decided, or what to ask."""
        try:
            return json_answer(self.explain(query))
        except ExplainError as exc:
            return "400 Bad Request", TEXT, f"{exc}\n".encode()


def json_answer(value: dict[str, Any]) -> Answer:
    """Return a page with JSON."""
    return OK, JSON, json.dumps(value, indent=2, default=str).encode() + b"\n"
