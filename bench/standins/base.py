"""The base class of stand-ins: WSGI requests, replies and the control page."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroselever_node.http import StartResponse


@dataclass(slots=True)
class Request:
    """A request to a stand-in; ``connection`` is the socket on which it arrived."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: Any = None

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


@dataclass(slots=True)
class Reply:
    """A reply of a stand-in; ``body`` may be generated while it is sent."""

    status: str = "200 OK"
    body: Iterable[bytes] = ()
    headers: list[tuple[str, str]] = field(default_factory=list)


def json_reply(value: Any, status: str = "200 OK") -> Reply:
    """Return a reply with a JSON body."""
    body = json.dumps(value).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    return Reply(status, [body], headers)


def bytes_reply(body: bytes, status: str = "200 OK") -> Reply:
    """Return a reply with a body of known length."""
    return Reply(status, [body], [("Content-Length", str(len(body)))])


class StandIn:
    """
    The base class of all stand-ins.

    ``faults`` control the behaviour and can be set at ``/control``; each class
    documents its own.
    """

    def __init__(self, **faults: Any) -> None:
        self.faults: dict[str, Any] = faults

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        request = Request(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query={
                k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()
            },
            headers={
                key[5:].replace("_", "-").title(): value
                for key, value in environ.items()
                if key.startswith("HTTP_")
            },
            body=environ["wsgi.input"].read(length) if length else b"",
            connection=environ["wsgi.input"].get_socket(),
        )
        if request.path == "/control":
            reply = self.control(request)
        else:
            reply = self.answer(request)
        start_response(reply.status, reply.headers)
        return reply.body

    def control(self, request: Request) -> Reply:
        """Set faults on POST, and return counters and faults."""
        if request.method == "POST":
            self.faults.update(request.json())
        return json_reply({"faults": self.faults, **self.counters()})

    def counters(self) -> dict[str, Any]:
        """Return the counters that the control page shows."""
        return {}

    def answer(self, request: Request) -> Reply:
        """Answer a request other than one for the control page."""
        raise NotImplementedError


def not_found() -> Reply:
    """Return the reply to an unknown path."""
    return json_reply({"problem": "not found"}, "404 Not Found")
