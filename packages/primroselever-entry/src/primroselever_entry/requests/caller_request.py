"""Parsing and validation of a caller's HTTP request."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import Fingerprint, ServiceName, WorkspaceName
from primroselever_core.runs.fingerprint import fingerprint_of
from primroselever_node import clock

from .problem import Problem

if TYPE_CHECKING:
    from ..settings import EntrySettings

REQUEST_PATH = re.compile(r"^/v1/services/(?P<service>[a-z0-9][a-z0-9-]*)/requests$")
WORKSPACE_NAME = re.compile(r"^[A-Za-z0-9._-]{1,128}$")
MAX_IDEMPOTENCY_KEY_LENGTH = 256
TICKET_ENVIRON_KEY = "HTTP_OPERATION_TICKET"
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    A validated request of a caller.

    ``priority`` ranges from 0, served first, to 9, served last. ``deadline`` is a
    time of the monotonic clock. ``ticket`` and ``idempotency_key`` are empty if the
    caller sent none.
    """

    service: ServiceName
    workspace: WorkspaceName
    body: bytes
    deadline: float
    priority: int
    idempotency_key: str
    ticket: str
    fingerprint: Fingerprint


def parse_request(
    environ: dict[str, Any], settings: EntrySettings
) -> CallerRequest | Problem:
    """Return the request of a WSGI environment, or the problem to refuse it with."""
    match = REQUEST_PATH.match(environ["PATH_INFO"])
    if match is None:
        return Problem(404, "not found", "POST to /v1/services/{service}/requests")
    if environ["REQUEST_METHOD"] != "POST":
        return Problem(405, "method not allowed", "POST the request")
    workspace = environ.get("HTTP_WORKSPACE", "")
    if not WORKSPACE_NAME.match(workspace):
        return Problem(400, "no workspace", "name one in the Workspace header")
    idempotency_key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        return Problem(
            400, "key too long", f"use at most {MAX_IDEMPOTENCY_KEY_LENGTH} characters"
        )
    try:
        remaining_s = float(
            environ.get("HTTP_REQUEST_TIMEOUT", settings.default_deadline_s)
        )
        priority = int(environ.get("HTTP_PRIORITY", DEFAULT_PRIORITY))
    except ValueError:
        return Problem(
            400, "unreadable header", "Request-Timeout and Priority: numbers"
        )
    if not 0 < remaining_s <= settings.max_deadline_s:
        limit = f"at most {settings.max_deadline_s:g} seconds"
        return Problem(400, "Request-Timeout out of range", limit)
    if not 0 <= priority <= MAX_PRIORITY:
        return Problem(400, "Priority out of range", "0 (first) to 9 (last)")
    deadline = clock.now() + remaining_s
    body = read_body(environ, settings.body_limit_bytes)
    if isinstance(body, Problem):
        return body
    service = match["service"]
    return CallerRequest(
        service=ServiceName(service),
        workspace=WorkspaceName(workspace),
        body=body,
        deadline=deadline,
        priority=priority,
        idempotency_key=idempotency_key,
        ticket=environ.get(TICKET_ENVIRON_KEY, ""),
        fingerprint=fingerprint_of(service, workspace, body),
    )


def read_body(environ: dict[str, Any], limit_bytes: int) -> bytes | Problem:
    """Return the request's body, or the problem to refuse the request with."""
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        return Problem(400, "unreadable Content-Length", "send a number")
    if length < 0 or length > limit_bytes:
        return Problem(413, "body too long", f"send at most {limit_bytes} bytes")
    if "HTTP_TRANSFER_ENCODING" in environ:
        return Problem(411, "length required", "send Content-Length")
    body = environ["wsgi.input"].read(length)
    if len(body) != length:
        return Problem(400, "body cut short", "send all of Content-Length")
    return body
