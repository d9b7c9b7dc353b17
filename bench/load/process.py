"""Runs load drivers as separate processes."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

    from .plan import Plan

EXIT_GRACE_S = 30.0


class DriverProcess:
    """The process of a load driver, started when the object is created."""

    def __init__(self, plan: Plan, directory: Path, name: str) -> None:
        path = directory / f"load-{name}.json"
        plan.write(path)
        self.output = directory / f"load-{name}.out"
        self.limit_s = plan.duration_s + plan.timeout_s + EXIT_GRACE_S
        with open(self.output, "wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bench.load", str(path)],
                stdin=subprocess.DEVNULL,
                stdout=output,
            )

    def is_running(self) -> bool:
        """Return whether the driver is still running."""
        return self.process.poll() is None

    def wait_for_results(self) -> dict[str, Any]:
        """Wait until the driver exits and return its results; kill it if it is late."""
        try:
            self.process.wait(self.limit_s)
        finally:
            if self.process.poll() is None:
                self.process.kill()
                self.process.wait()
        return json.loads(self.output.read_text())
