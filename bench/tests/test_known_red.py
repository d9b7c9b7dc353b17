from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from bench.known_red import KnownRedError, parse_known_red, without_test

ROOT = Path(__file__).parents[2]
PLAIN = "bench/tests/test_known_red.py::test_an_entry_without_all_parts_is_refused"


def test_an_entry_names_a_test_and_all_its_cases() -> None:
    (entry,) = parse_known_red("# why\n\na.py::b | make test | timeout | issue 3\n")

    assert entry.names("a.py::b")
    assert entry.names("a.py::b[case]")
    assert not entry.names("a.py::bc")


def test_an_entry_without_all_parts_is_refused() -> None:
    with pytest.raises(KnownRedError, match="KNOWN-RED.txt:1"):
        parse_known_red("a.py::b | make test | timeout\n")


def test_an_entry_without_a_test_is_found() -> None:
    entries = parse_known_red("a.py::b | c | d | e\na.py::f | c | d | e\n")

    assert without_test(entries, ["a.py::f[1]"]) == ["a.py::b"]


@pytest.mark.parametrize(
    ("listed", "code", "printed"),
    [(PLAIN, 0, "known to fail: "), (f"{PLAIN}_not", 4, "names no test: ")],
)
def test_the_list_is_printed_and_must_name_tests(
    tmp_path: Path, listed: str, code: int, printed: str
) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(f"{listed} | make test | nothing | issue 0\n")
    command = [sys.executable, "-m", "pytest", PLAIN, "--known-red", str(path)]

    ended = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=60)

    assert ended.returncode == code
    assert printed in (ended.stdout + ended.stderr).decode()
