"""
A backend server that leaves while the platform knows nothing of it.

Under steady load one agent is told to stop; its runs take seconds, so that it lives on
while it drains. The VM list goes on to call it live, and the configuration service
is down. Counted are the runs that its engine gets afterwards, and how callers fared.
"""

from __future__ import annotations

import signal
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from ..launcher import Launcher
from ..layout import build_layout
from ..load.plan import Plan, Target
from ..load.process import DriverProcess
from .routing import GROUP, READY_LIMIT_S, SERVICE, published, senders

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

STOP_AFTER_S = 4.0
WATCHED_S = 8.0
POLL_S = 0.05


def add_arguments(parser: ArgumentParser) -> None:
    """Add the size of the run."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=15.0, help="requests a second")


def run(arguments: Namespace) -> dict[str, Any]:
    """Stop one agent under load and return the figures."""
    layout = build_layout({"lag-a": "west"}, 2, {GROUP: ("engine", 3)})
    engine = {"tokens": 30, "token_s": 0.1, "first_token_s": 0.1}
    with Launcher(layout, {"engine": engine}) as fleet:
        fleet.publish_profiles(published())
        fleet.wait_until_ready(READY_LIMIT_S)
        fleet.post_control(layout.configuration_port, down=True)
        plan = Plan(
            seed=arguments.seed,
            rate_per_s=arguments.rate,
            duration_s=STOP_AFTER_S + WATCHED_S,
            timeout_s=15.0,
            service=SERVICE,
            senders=senders(),
            targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
        )
        driver = DriverProcess(plan, fleet.directory, "leaving")
        time.sleep(STOP_AFTER_S)
        leaving = layout.agents()[0]
        process = fleet.processes.pop(leaving.vm_id)
        before = runs_of(fleet, leaving.backend_port)
        process.send_signal(signal.SIGTERM)
        new_work = watch(fleet, leaving.backend_port, before)
        exit_code = process.wait(30)
        answers = driver.wait_for_results()["answers"]
        return {
            "requests": len(answers),
            "outcomes": Counter(a["outcome"] for a in answers),
            "reasons": Counter(a["reason"] for a in answers if a["reason"]),
            "runs_before_the_stop": before,
            "runs_after_the_stop": len(new_work),
            "last_new_run_after_s": new_work[-1] if new_work else 0.0,
            "exit_code": exit_code,
        }


def runs_of(fleet: Launcher, port: int) -> int:
    """Return how many runs an engine was given."""
    return len(fleet.get_json(port, "/control")["runs"])


def watch(fleet: Launcher, port: int, before: int) -> list[float]:
    """Return when the engine got each run after the stop, in seconds from it."""
    new_work: list[float] = []
    began = time.monotonic()
    while (passed := time.monotonic() - began) < WATCHED_S:
        new = runs_of(fleet, port) - before - len(new_work)
        new_work += [round(passed, 2)] * new
        time.sleep(POLL_S)
    return new_work
