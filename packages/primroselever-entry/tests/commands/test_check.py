from __future__ import annotations

from pathlib import Path

import pytest

from primroselever_entry.commands.check import CheckCommand
from primroselever_node.console.application import run_application

EXAMPLES = Path(__file__).parents[4] / "examples"


@pytest.mark.parametrize("user", ["kudirat", "co-operative"])
def test_the_examples_are_accepted(
    user: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("PRIMROSELEVER_TICKET_KEY", "a-key-for-tests")
    argv = [
        "check",
        str(EXAMPLES / f"{user}-entry.jsonc"),
        "--profiles",
        str(EXAMPLES / f"{user}-profiles.jsonc"),
    ]

    code = run_application("primroselever", "A process.", [CheckCommand()], argv)

    assert (code, capsys.readouterr().err) == (0, "")


def test_findings_of_both_files_are_reported_together(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings, profiles = tmp_path / "a.jsonc", tmp_path / "b.jsonc"
    settings.write_text('{"vm_id": ""}')
    profiles.write_text('{"services": [{"name": "s", "idempotent": true}]}')
    argv = ["check", str(settings), "--profiles", str(profiles)]

    code = run_application("primroselever", "A process.", [CheckCommand()], argv)

    lines = capsys.readouterr().err.splitlines()
    assert code == 2
    places = [line.split(": ")[:2] for line in lines]
    assert places == sorted(places)
    assert any(line.startswith(f"{settings}: vm_id: ") for line in lines)
    assert lines[-1].startswith(f"{profiles}: services[0]: ")
