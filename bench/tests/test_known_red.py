from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from bench.known_red import KnownRedError, parse_known_red, without_test

ROOT = Path(__file__).parents[2]
PASSING_TEST = (
    "bench/tests/test_known_red.py::test_an_entry_with_missing_parts_is_rejected"
)


def test_an_entry_matches_a_test_and_all_its_cases() -> None:
    (entry,) = parse_known_red("# why\n\na.py::b | make test | timeout | issue 3\n")

    assert entry.names("a.py::b")
    assert entry.names("a.py::b[case]")
    assert not entry.names("a.py::bc")


def test_an_entry_with_missing_parts_is_rejected() -> None:
    with pytest.raises(KnownRedError, match="KNOWN-RED.txt:1"):
        parse_known_red("a.py::b | make test | timeout\n")


def test_entries_that_match_no_test_are_returned() -> None:
    entries = parse_known_red("a.py::b | c | d | e\na.py::f | c | d | e\n")

    assert without_test(entries, ["a.py::f[1]"]) == ["a.py::b"]


@pytest.mark.parametrize(
    ("listed", "exit_code", "printed"),
    [
        (PASSING_TEST, 1, "known to fail: "),
        (f"{PASSING_TEST}_not", 4, "names no test: "),
    ],
)
def test_entries_are_printed_and_must_match_a_test(
    tmp_path: Path, listed: str, exit_code: int, printed: str
) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(f"{listed} | make test | nothing | issue 0\n")
    command = [sys.executable, "-m", "pytest", PASSING_TEST, "--known-red", str(path)]

    completed = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=60)

    # A listed test that passes is a failure too: its entry must be taken off the list.
    assert completed.returncode == exit_code
    assert printed in (completed.stdout + completed.stderr).decode()


def test_a_listed_test_that_fails_is_no_failure(tmp_path: Path) -> None:
    failing = ROOT / "bench" / "tests" / f"test_expected_to_fail_{tmp_path.name}.py"
    failing.write_text("def test_fails():\n    raise AssertionError\n")
    path = tmp_path / "KNOWN-RED.txt"
    listed = f"bench/tests/{failing.name}::test_fails"
    path.write_text(f"{listed} | make test | nothing | issue 0\n")
    command = [sys.executable, "-m", "pytest", listed, "--known-red", str(path)]
    try:
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=60)
    finally:
        failing.unlink()

    assert completed.returncode == 0
    assert b"1 xfailed" in completed.stdout
