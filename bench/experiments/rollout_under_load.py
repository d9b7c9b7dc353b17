"""Compares steady requests without a rollout and with one in their middle."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from ..launcher import Launcher
from ..load.percentiles import percentiles_ms
from ..load.plan import Plan, Sender, Target
from ..load.process import DriverProcess
from ..rollout_fleet import (
    GROUP,
    add_link_arguments,
    build_fleet_layout,
    build_profiles,
    build_source_faults,
    get_control_page,
    parse_link_arguments,
    wait_for_serving_times,
)

if TYPE_CHECKING:
    import argparse

START_LIMIT_S = 60.0
WARM_UP_S = 3.0
PUBLISH_AFTER_S = 2.0
SAMPLE_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 10.0
SEED = 11
ENGINE_FAULTS = {"first_token_s": 0.05, "token_s": 0.01, "tokens": 30}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    add_link_arguments(parser)
    parser.set_defaults(vms=12, copy_s=6.0)
    parser.add_argument("--rate", type=float, default=40.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=22.0, help="of each run")


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run the same load twice, the second time with a rollout."""
    links = parse_link_arguments(arguments)
    layout = build_fleet_layout(links, arguments.vms, arguments.domains, entries=1)
    faults = {**build_source_faults(links), "engine": ENGINE_FAULTS}
    with Launcher(layout, faults, engines_per_process=4) as fleet:
        return LoadComparison(fleet, arguments).run()


class LoadComparison:
    """Runs one load twice on one fleet, the second time with a rollout."""

    def __init__(self, fleet: Launcher, arguments: argparse.Namespace) -> None:
        self.fleet = fleet
        self.arguments = arguments
        self.per_domain = arguments.vms // arguments.domains
        self.min_serving = max(1, self.per_domain - 1)
        self.fewest_serving: dict[str, int] = {}

    def publish_version(self, version: str) -> None:
        """Publish the profile at a version."""
        self.fleet.publish_profiles(
            build_profiles(version, min_serving=self.min_serving)
        )

    def run(self) -> dict[str, Any]:
        """Run both loads and return the results."""
        self.publish_version("1")
        self.fleet.wait_until_ready(START_LIMIT_S)
        time.sleep(WARM_UP_S)
        baseline = self.run_load("calm")
        rollout = self.run_load("rollout", version="2")
        published_at = self.published_at
        serving_times_s = wait_for_serving_times(
            self.fleet, "2", published_at, START_LIMIT_S, set()
        )
        baseline_p95 = baseline["first_token_ms"]["p95"]
        rollout_p95 = rollout["first_token_ms"]["p95"]
        return {
            "vms": self.arguments.vms,
            "min_serving": self.min_serving,
            "fewest_serving_by_domain": self.fewest_serving,
            "rollout_s": round(serving_times_s[-1], 2) if serving_times_s else None,
            "served": len(serving_times_s),
            "load_s": self.arguments.seconds,
            "without": baseline,
            "with": rollout,
            "p95_ratio": round(rollout_p95 / baseline_p95, 3),
            "runs_with_two_digests": self.count_mixed_runs(),
        }

    def run_load(self, name: str, version: str = "") -> dict[str, Any]:
        """Run the load once, and publish ``version`` meanwhile unless it is empty."""
        layout = self.fleet.layout
        plan = Plan(
            seed=SEED,
            rate_per_s=self.arguments.rate,
            duration_s=self.arguments.seconds,
            timeout_s=REQUEST_TIMEOUT_S,
            service="summaries",
            senders=[Sender("ministry", 1.0)],
            targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
        )
        driver = DriverProcess(plan, self.fleet.directory, name)
        started_at = time.monotonic()
        while driver.is_running():
            if version and time.monotonic() > started_at + PUBLISH_AFTER_S:
                self.published_at = time.time()
                self.publish_version(version)
                version = ""
            self.sample_serving()
            time.sleep(SAMPLE_INTERVAL_S)
        answers = driver.wait_for_results()["answers"]
        return {
            "requests": len(answers),
            "outcomes": Counter(answer["outcome"] for answer in answers),
            "reasons": Counter(a["reason"] for a in answers if a["reason"]),
            "first_token_ms": percentiles_ms(
                a["first_token_s"] for a in answers if a["first_token_s"] is not None
            ),
        }

    def sample_serving(self) -> None:
        """Record the lowest number of serving VMs in each failure domain."""
        serving: Counter[str] = Counter()
        for vm in self.fleet.layout.agents():
            status = self.fleet.get_json(vm.admin_port, "/status")
            serving[vm.failure_domain] += bool(status and status["serving"])
        for domain, count in serving.items():
            self.fewest_serving[domain] = min(
                count, self.fewest_serving.get(domain, count)
            )

    def count_mixed_runs(self) -> int:
        """Return the number of runs that started and ended on different weights."""
        agents = [vm for vm in self.fleet.layout.agents() if vm.group == GROUP]
        return sum(
            get_control_page(self.fleet, vm.backend_port)["mixed"] for vm in agents
        )
