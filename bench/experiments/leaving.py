"""
Stops a backend server that the platform still lists as live.

Under steady load one agent receives SIGTERM; its runs take seconds, so that it drains
for a while. The VM list still shows it as live, and the configuration service is down.
The results count the runs that its engine gets after the stop, and all outcomes.
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
from .routing import GROUP, READY_LIMIT_S, SERVICE, build_profiles, build_senders

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

STOP_AFTER_S = 4.0
OBSERVATION_S = 8.0
POLL_INTERVAL_S = 0.05


def add_arguments(parser: ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=15.0, help="requests a second")


def run(arguments: Namespace) -> dict[str, Any]:
    """Stop one agent under load and return the results."""
    layout = build_layout({"lag-a": "west"}, 2, {GROUP: ("engine", 3)})
    engine = {"tokens": 30, "token_s": 0.1, "first_token_s": 0.1}
    with Launcher(layout, {"engine": engine}) as fleet:
        fleet.publish_profiles(build_profiles())
        fleet.wait_until_ready(READY_LIMIT_S)
        fleet.post_control(layout.configuration_port, down=True)
        plan = Plan(
            seed=arguments.seed,
            rate_per_s=arguments.rate,
            duration_s=STOP_AFTER_S + OBSERVATION_S,
            timeout_s=15.0,
            service=SERVICE,
            senders=build_senders(),
            targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
        )
        driver = DriverProcess(plan, fleet.directory, "leaving")
        time.sleep(STOP_AFTER_S)
        stopping_vm = layout.agents()[0]
        process = fleet.processes.pop(stopping_vm.vm_id)
        runs_before = count_runs(fleet, stopping_vm.backend_port)
        process.send_signal(signal.SIGTERM)
        new_run_times_s = record_new_runs(fleet, stopping_vm.backend_port, runs_before)
        exit_code = process.wait(30)
        answers = driver.wait_for_results()["answers"]
        return {
            "requests": len(answers),
            "outcomes": Counter(a["outcome"] for a in answers),
            "reasons": Counter(a["reason"] for a in answers if a["reason"]),
            "runs_before_the_stop": runs_before,
            "runs_after_the_stop": len(new_run_times_s),
            "last_new_run_after_s": new_run_times_s[-1] if new_run_times_s else 0.0,
            "exit_code": exit_code,
        }


def count_runs(fleet: Launcher, port: int) -> int:
    """Return the number of runs that an engine has received."""
    return len(fleet.get_json(port, "/control")["runs"])


def record_new_runs(fleet: Launcher, port: int, runs_before: int) -> list[float]:
    """Return the times of new runs on an engine, in seconds after the stop."""
    new_run_times_s: list[float] = []
    started_at = time.monotonic()
    while (elapsed_s := time.monotonic() - started_at) < OBSERVATION_S:
        new_runs = count_runs(fleet, port) - runs_before - len(new_run_times_s)
        new_run_times_s += [round(elapsed_s, 2)] * new_runs
        time.sleep(POLL_INTERVAL_S)
    return new_run_times_s
