from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from primroselever_node.admin import AdminApplication
from primroselever_node.console.application import run_application
from primroselever_node.console.status import StatusCommand
from primroselever_node.exceptions import ExplainError
from primroselever_node.http import HttpServer

if TYPE_CHECKING:
    from collections.abc import Iterator


def explain(query: dict[str, str]) -> dict[str, Any]:
    raise ExplainError("name a chunk")


@pytest.fixture
def admin() -> Iterator[HttpServer]:
    status = {"revision": 3, "revision_age_s": 1.26, "refused_findings": []}
    server = HttpServer(
        AdminApplication(lambda: "no profiles yet", lambda: status, explain),
        "127.0.0.1",
        0,
    )
    server.start()
    yield server
    server.stop()


def run(*argv: str) -> int:
    return run_application("primroselever", "A process.", [StatusCommand()], argv)


def test_status_is_printed_as_a_table(
    admin: HttpServer, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("status", f"127.0.0.1:{admin.port}") == 0
    assert capsys.readouterr().out.splitlines() == [
        "revision          3",
        "revision_age_s    1.3",
        "refused_findings  -",
    ]


def test_status_is_printed_as_json(
    admin: HttpServer, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("status", f"http://127.0.0.1:{admin.port}", "--json") == 0
    assert json.loads(capsys.readouterr().out)["revision"] == 3


def test_a_closed_admin_port_is_reported_with_a_remedy(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run("status", "127.0.0.1:1") == 1
    assert "is it the admin port" in capsys.readouterr().err


def test_an_invalid_address_is_a_usage_error() -> None:
    with pytest.raises(SystemExit) as raised:
        run("status", "nowhere")
    assert raised.value.code == 2


@pytest.mark.parametrize(
    ("method", "path", "status", "text"),
    [
        ("GET", "/readyz", "503 Service Unavailable", b"not ready: no profiles yet"),
        ("GET", "/explain", "400 Bad Request", b"name a chunk"),
        ("POST", "/status", "405 Method Not Allowed", b"only GET"),
        ("GET", "/other", "404 Not Found", b"no such page"),
    ],
)
def test_error_responses_of_the_admin_port(
    admin: HttpServer, method: str, path: str, status: str, text: bytes
) -> None:
    application = admin.application
    assert isinstance(application, AdminApplication)

    status_line, _, body = application.respond(method, path, {})

    assert status_line == status
    assert text in body
