"""Malformed and refused requests, sent to the real HTTP server of an entry."""

from __future__ import annotations

import json
import socket
from typing import TYPE_CHECKING

import pytest

from primroselever_core.profiles.parse import parse_profiles
from primroselever_core.profiles.revision import AcceptedProfiles, Revision
from primroselever_entry.commands.serve import EntryProcess
from primroselever_entry.settings import EntrySettings
from primroselever_node.admin import AdminApplication

if TYPE_CHECKING:
    from collections.abc import Iterator

PROFILES = '{"services": [{"name": "renewals", "group": "portal", "idempotent": true}]}'
ANY_PORT = {"host": "127.0.0.1", "port": 0}
BODY_LIMIT = 100


@pytest.fixture
def entry(monkeypatch: pytest.MonkeyPatch) -> Iterator[EntryProcess]:
    monkeypatch.setenv("PRIMROSELEVER_TICKET_KEY", "a-key-for-tests")
    settings = {
        "vm_id": "lag-a-entry-1",
        "failure_domain": "lag-a",
        "region": "west",
        "http": ANY_PORT,
        "rpc": ANY_PORT,
        "admin": ANY_PORT,
        "platform": {
            "configuration_service": "http://127.0.0.1:1",
            "vm_list": "http://127.0.0.1:1",
        },
        "secrets": {"ticket_key_variable": "PRIMROSELEVER_TICKET_KEY"},
        "body_limit_bytes": BODY_LIMIT,
    }
    process = EntryProcess(EntrySettings.model_validate(settings))
    revision = Revision.of(1, PROFILES)
    process.board.profiles.accepted = AcceptedProfiles(
        revision, PROFILES, parse_profiles(PROFILES, "profiles")
    )
    process.http.start()
    yield process
    process.http.stop()
    process.admin.stop()


def send_request(
    entry: EntryProcess, request: bytes
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a connection of its own; return status, headers and body."""
    address = (entry.http.host, entry.http.port)
    with socket.create_connection(address, timeout=10) as sock:
        sock.sendall(request)
        received = b""
        while data := sock.recv(65536):
            received += data
    head, _, body = received.partition(b"\r\n\r\n")
    status, *lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    return int(status.split()[1]), headers, body


def build_request(
    *lines: str,
    path: str = "/v1/services/renewals/requests",
    method: str = "POST",
    body: bytes = b"",
) -> bytes:
    head = [f"{method} {path} HTTP/1.1", "Host: a", "Connection: close", *lines, "", ""]
    return "\r\n".join(head).encode("latin-1") + body


WORKSPACE = "Workspace: ministry"


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (build_request("Content-Length: 0"), 400),
        (build_request("Workspace: a b", "Content-Length: 0"), 400),
        (build_request("Workspace: \xff\xfe", "Content-Length: 0"), 400),
        (build_request(WORKSPACE, "Priority: first", "Content-Length: 0"), 400),
        (build_request(WORKSPACE, "Priority: 10", "Content-Length: 0"), 400),
        (build_request(WORKSPACE, "Request-Timeout: soon", "Content-Length: 0"), 400),
        (build_request(WORKSPACE, "Request-Timeout: nan", "Content-Length: 0"), 400),
        (build_request(WORKSPACE, "Request-Timeout: inf", "Content-Length: 0"), 400),
        (build_request(WORKSPACE, "Request-Timeout: -1", "Content-Length: 0"), 400),
        (
            build_request(
                WORKSPACE, "Idempotency-Key: " + "a" * 300, "Content-Length: 0"
            ),
            400,
        ),
        (build_request(WORKSPACE, f"Content-Length: {BODY_LIMIT + 1}"), 413),
        (
            build_request(WORKSPACE, "Transfer-Encoding: chunked", body=b"0\r\n\r\n"),
            411,
        ),
        (
            build_request(
                WORKSPACE, "Content-Length: 0", path="/v1/services/none/requests"
            ),
            404,
        ),
        (
            build_request(
                WORKSPACE, "Content-Length: 0", path="/v1/services/%00/requests"
            ),
            404,
        ),
        (build_request(WORKSPACE, "Content-Length: 0", path="/"), 404),
        (build_request(WORKSPACE, "Content-Length: 0", method="PUT"), 405),
    ],
)
def test_a_malformed_request_is_refused_as_not_run(
    entry: EntryProcess,
    request_bytes: bytes,
    status: int,
    caplog: pytest.LogCaptureFixture,
) -> None:
    actual_status, headers, body = send_request(entry, request_bytes)

    assert actual_status == status
    assert headers["Content-Type"] == "application/problem+json"
    assert headers["Request-Outcome"] == "not_run"
    assert json.loads(body)["outcome"] == "not_run"
    assert not caplog.records


def test_a_leaving_entry_refuses_with_a_retry_after_header(entry: EntryProcess) -> None:
    entry.board.leaving = True

    status, headers, _ = send_request(
        entry, build_request(WORKSPACE, "Content-Length: 0")
    )

    assert status == 503
    assert headers["Request-Outcome"] == "not_run"
    assert headers["Request-Reason"] == "leaving"
    assert headers["Retry-After"] == "1"


@pytest.mark.parametrize(
    ("query", "status", "text"),
    [
        ({"service": "none"}, "400 Bad Request", b"name one of: renewals"),
        ({"service": "renewals"}, "200 OK", b'"reason": "no_server"'),
    ],
)
def test_explain_shows_the_choice_or_names_the_services(
    entry: EntryProcess, query: dict[str, str], status: str, text: bytes
) -> None:
    application = entry.admin.application
    assert isinstance(application, AdminApplication)

    actual_status, _, body = application.respond("GET", "/explain", query)

    assert actual_status == status
    assert text in body
