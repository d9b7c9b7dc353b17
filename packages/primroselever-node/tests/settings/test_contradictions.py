from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from primroselever_core.exceptions import FindingsError
from primroselever_node.settings.load import load_settings
from primroselever_node.settings.model import NodeSettings

if TYPE_CHECKING:
    from pathlib import Path


def settings(**changes: Any) -> dict[str, Any]:
    valid = {
        "vm_id": "a",
        "failure_domain": "lag-a",
        "region": "west",
        "rpc": {"host": "127.0.0.1", "port": 9090},
        "admin": {"host": "127.0.0.1", "port": 9100},
        "platform": {"configuration_service": "http://a:1", "vm_list": "http://a:2"},
    }
    return {**valid, **changes}


def findings_in(path: Path, data: dict[str, Any], **environ: str) -> list[str]:
    path.write_text(json.dumps(data))
    try:
        load_settings(path, NodeSettings, environ)
    except FindingsError as exc:
        return [str(finding) for finding in exc.findings]
    return []


@pytest.mark.parametrize(
    ("changes", "place", "problem"),
    [
        (
            {"admin": {"host": "0.0.0.0", "port": 9090}},
            "admin.port",
            "also used by rpc",
        ),
        ({"rpc": {"host": "lag.example", "port": 1}}, "rpc.host", "not an IP address"),
        ({"log_level": "LOUD"}, "log_level", "unknown log level"),
        (
            {"secrets": {"ticket_key_variable": "NO_KEY"}},
            "secrets.ticket_key_variable",
            "is not set",
        ),
        (
            {"secrets": {"ticket_key_file": "/no/such/key"}},
            "secrets.ticket_key_file",
            "cannot be read",
        ),
        (
            {"platform": {"configuration_service": "a:1", "vm_list": "http://a:2/"}},
            "platform.vm_list",
            "ends with a slash",
        ),
    ],
)
def test_a_finding_has_its_place_and_problem(
    tmp_path: Path, changes: dict[str, Any], place: str, problem: str
) -> None:
    path = tmp_path / "settings.jsonc"

    findings = findings_in(path, settings(**changes))

    assert any(line.startswith(f"{path}: {place}: ") for line in findings), findings
    assert any(problem in line for line in findings)


def test_all_findings_are_reported_together_and_sorted(tmp_path: Path) -> None:
    changes = {
        "log_level": "LOUD",
        "admin": {"host": "here", "port": 9100},
        "secrets": {"ticket_key_variable": "NO_KEY", "ticket_key_file": "/no/key"},
    }

    findings = findings_in(tmp_path / "s.jsonc", settings(**changes))

    assert len(findings) == 5
    places = [line.split(": ")[1] for line in findings]
    assert places == sorted(places)


def test_findings_do_not_contain_the_key(tmp_path: Path) -> None:
    key = tmp_path / "key"
    key.write_text("short")
    changes = {"secrets": {"ticket_key_file": str(key)}}

    findings = findings_in(tmp_path / "s.jsonc", settings(**changes))

    assert "fewer than" in findings[0]
    assert "short" not in findings[0]


def test_two_addresses_may_both_use_port_0(tmp_path: Path) -> None:
    any_port = {"host": "127.0.0.1", "port": 0}

    assert not findings_in(tmp_path / "s.jsonc", settings(rpc=any_port, admin=any_port))
