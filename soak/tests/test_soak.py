"""A short soak of the real programs with a fixed seed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
SOAK_TIMEOUT_S = 180  # it takes about 100 s on an idle machine


def run_soak(*options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "soak", *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_S,
        check=False,
    )


def test_short_soak_has_no_violations() -> None:
    process = run_soak("--seed", "1", "--seconds", "8")
    assert process.returncode == 0, process.stdout + process.stderr
