"""A short seeded soak of the real programs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
LIMIT_S = 150


def soak(*options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "soak", *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )


def test_a_short_soak_keeps_all_promises() -> None:
    done = soak("--seed", "1", "--seconds", "8")
    assert done.returncode == 0, done.stdout + done.stderr
