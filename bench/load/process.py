"""Load drivers as processes of their own."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

    from .plan import Plan

GRACE_S = 30.0


class DriverProcess:
    """A load driver that runs beside the experiment."""

    def __init__(self, plan: Plan, directory: Path, name: str) -> None:
        path = directory / f"load-{name}.json"
        plan.write(path)
        self.output = directory / f"load-{name}.out"
        self.limit_s = plan.duration_s + plan.timeout_s + GRACE_S
        with open(self.output, "wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bench.load", str(path)],
                stdin=subprocess.DEVNULL,
                stdout=output,
            )

    def running(self) -> bool:
        """Return whether requests may still be on their way."""
        return self.process.poll() is None

    def results(self) -> dict[str, Any]:
        """Wait for the end and return the results."""
        try:
            self.process.wait(self.limit_s)
        finally:
            if self.process.poll() is None:
                self.process.kill()
                self.process.wait()
        return json.loads(self.output.read_text())
