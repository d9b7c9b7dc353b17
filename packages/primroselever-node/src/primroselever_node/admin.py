"""
The read-only admin port.

It serves /healthz, /readyz, /metrics, /status, /explain and, on entries that call back
ends directly, /configuration.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from .exceptions import ExplainError
from .metrics import exposition

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .http import StartResponse

    Response = tuple[str, str, bytes]

OK = "200 OK"
JSON = "application/json"
TEXT = "text/plain; charset=utf-8"
READINESS_PATH = "/readyz"


class AdminApplication:
    """
    The WSGI application for operators and the platform's load balancer.

    ``unready_reason`` returns why the process must not receive new work, or
    None if it may. ``status`` returns the state of the process, and ``explain`` what
    it would decide now for the parameters of a query; neither changes any state.
    ``readiness_path`` is an additional path for the readiness check, for load
    balancers that are configured with another one. ``configuration`` returns the
    configuration in force without secrets, for processes that have one.
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
        self.configuration: Callable[[], dict[str, Any]] | None = None

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one WSGI request."""
        method = environ["REQUEST_METHOD"]
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        status_line, content_type, body = self.respond(
            method, environ["PATH_INFO"], query
        )
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        if status_line.startswith("405"):
            headers.append(("Allow", "GET, HEAD"))
        start_response(status_line, headers)
        return [] if method == "HEAD" else [body]

    def respond(self, method: str, path: str, query: dict[str, str]) -> Response:
        """Return the status line, the content type and the body for a request."""
        if method not in ("GET", "HEAD"):
            return "405 Method Not Allowed", TEXT, b"only GET\n"
        if path == "/healthz":
            return OK, TEXT, b"ok\n"
        if path in (READINESS_PATH, self.readiness_path):
            return self.readiness_response()
        if path == "/metrics":
            return OK, TEXT, exposition()
        if path == "/status":
            return json_response(self.status())
        if path == "/explain":
            return self.explain_response(query)
        if path == "/configuration" and self.configuration is not None:
            return json_response(self.configuration())
        return "404 Not Found", TEXT, b"no such page\n"

    def readiness_response(self) -> Response:
        """Return 200 if the process may receive new work, else 503 with the reason."""
        reason = self.unready_reason()
        if reason is None:
            return OK, TEXT, b"ready\n"
        return "503 Service Unavailable", TEXT, f"not ready: {reason}\n".encode()

    def explain_response(self, query: dict[str, str]) -> Response:
        """Return the explanation, or 400 with how to correct the query."""
        try:
            return json_response(self.explain(query))
        except ExplainError as exc:
            return "400 Bad Request", TEXT, f"{exc}\n".encode()


def json_response(value: dict[str, Any]) -> Response:
    """Return a response with a JSON body."""
    return OK, JSON, json.dumps(value, indent=2, default=str).encode() + b"\n"
