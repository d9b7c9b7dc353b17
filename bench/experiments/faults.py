"""
Causes faults in a seeded order, sometimes two at once, under steady load.

Every answer is checked against what the back ends ran; ``broken``, the number of
violations, must be 0.
"""

from __future__ import annotations

import math
import sys
import time
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from bench.demo import build_profiles
from bench.judge import check_answers
from bench.layout import build_layout, url
from bench.links import PLATFORM, LinkedLauncher
from bench.traffic import Target, Traffic

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace
    from collections.abc import Callable

    from bench.layout import VmPlan
    from bench.traffic import Answer, SentRequest

REGION_BY_DOMAIN = {"lag-a": "west", "abj-a": "west", "phc-a": "east"}
GROUPS = {"alerts": ("engine", 2), "portal": ("plain", 2)}
ANSWER_TOKENS = 20
BACKEND_FAULTS = {
    "engine": {"tokens": ANSWER_TOKENS, "token_s": 0.01},
    "plain_service": {"call_s": 0.1},
}
READY_LIMIT_S = 40.0
FAULT_DURATION_RANGE_S = (0.5, 5.0)
PAUSE_RANGE_S = (0.1, 1.0)
SECOND_FAULT_PROBABILITY = 0.5
SETTLE_S = 4.0
POLL_INTERVAL_S = 0.05


def add_arguments(parser: ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--seed", type=int, default=1, help="order of the faults")
    parser.add_argument("--seconds", type=float, default=60, help="time with faults")
    parser.add_argument("--rate", type=float, default=60, help="requests a second")


@dataclass(slots=True)
class Fault:
    """One fault at a location; ``ends_at`` is when ``undo`` is called."""

    name: str
    location: str
    start: Callable[[], None]
    undo: Callable[[], None] = lambda: None
    ends_at: float = 0.0


@dataclass(slots=True)
class Outage:
    """The period in which connections to an entry may break."""

    entry: str
    since: float
    until: float = math.inf

    def covers(self, answer: Answer) -> bool:
        """Return whether an attempt overlaps the outage."""
        overlaps = answer.sent_at <= self.until and answer.ended_at >= self.since
        return answer.entry == self.entry and overlaps


class FaultPlan:
    """Starts faults in a seeded order and undoes each when its duration has passed."""

    def __init__(self, fleet: LinkedLauncher, random: Random) -> None:
        self.fleet = fleet
        self.random = random
        self.active_faults: list[Fault] = []
        self.history: list[str] = []
        self.outages: list[Outage] = []
        self.version = 1

    def run(self, seconds: float) -> None:
        """Start and undo faults for a number of seconds."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self.start_fault()
            if self.random.random() < SECOND_FAULT_PROBABILITY:
                self.start_fault()
            while self.active_faults:
                self.undo_due_faults()
                time.sleep(POLL_INTERVAL_S)
            time.sleep(self.random.uniform(*PAUSE_RANGE_S))

    def start_fault(self) -> None:
        """Start a random fault, unless its location already has one."""
        fault = self.random.choice(self.fault_factories())()
        duration_s = self.random.uniform(*FAULT_DURATION_RANGE_S)
        if fault.location in {active.location for active in self.active_faults}:
            return
        print(f"fault: {fault.name}, {duration_s:.1f} s", file=sys.stderr, flush=True)
        self.history.append(fault.name)
        fault.start()
        fault.ends_at = time.monotonic() + duration_s
        self.active_faults.append(fault)

    def undo_due_faults(self) -> None:
        """Undo the faults whose duration has passed."""
        for fault in list(self.active_faults):
            if time.monotonic() >= fault.ends_at:
                fault.undo()
                self.active_faults.remove(fault)

    def fault_factories(self) -> list[Callable[[], Fault]]:
        """Return the functions that plan a fault of each kind."""
        return [
            self.plan_agent_kill,
            self.plan_entry_kill,
            self.plan_agent_pause,
            self.plan_entry_pause,
            self.plan_domain_cut,
            self.plan_platform_cut,
            self.plan_silence,
            self.plan_platform_outage,
            self.plan_stale_platform,
            self.plan_engine_crash,
            self.plan_publication,
        ]

    def choose_agent(self) -> VmPlan:
        """Return a random agent."""
        return self.random.choice(self.fleet.layout.agents())

    def choose_domains(self) -> list[str]:
        """Return two random failure domains."""
        return self.random.sample(self.fleet.link_plan.domains, 2)

    def plan_agent_kill(self) -> Fault:
        """Plan to kill an agent and start a new one at its address."""
        vm = self.choose_agent()
        return Fault(
            f"kill {vm.vm_id}",
            vm.vm_id,
            lambda: self.fleet.kill_vm(vm),
            lambda: self.fleet.start_vm(vm),
        )

    def plan_entry_kill(self) -> Fault:
        """Plan to kill an entry, which breaks its connections, and to restart it."""
        vm = self.random.choice(self.fleet.layout.entries())
        outage = Outage(vm.vm_id, 0.0)

        def kill() -> None:
            outage.since = time.monotonic()
            self.outages.append(outage)
            self.fleet.kill_vm(vm)

        def start() -> None:
            self.fleet.start_vm(vm)
            self.fleet.wait_for(
                lambda: self.fleet.is_ready(vm), READY_LIMIT_S, vm.vm_id
            )
            outage.until = time.monotonic()

        return Fault(f"kill {vm.vm_id}", vm.vm_id, kill, start)

    def plan_agent_pause(self) -> Fault:
        """Plan to pause an agent, which resumes with outdated state."""
        return self.plan_pause(self.choose_agent())

    def plan_entry_pause(self) -> Fault:
        """Plan to pause an entry, which then answers late."""
        return self.plan_pause(self.random.choice(self.fleet.layout.entries()))

    def plan_pause(self, vm: VmPlan) -> Fault:
        """Plan to pause and resume a VM's process."""
        return Fault(
            f"freeze {vm.vm_id}",
            vm.vm_id,
            lambda: self.fleet.pause_vm(vm),
            lambda: self.fleet.resume_vm(vm),
        )

    def plan_domain_cut(self) -> Fault:
        """Plan to cut two failure domains off from each other."""
        first, second = sorted(self.choose_domains())
        return Fault(
            f"cut {first} {second}",
            f"{first}>{second}",
            lambda: self.fleet.cut_paths(first, second),
            lambda: self.fleet.heal_paths(first, second),
        )

    def plan_platform_cut(self) -> Fault:
        """Plan to cut a failure domain off from the platform."""
        domain = self.choose_domains()[0]
        return Fault(
            f"cut {domain} platform",
            f"{domain}>{PLATFORM}",
            lambda: self.fleet.cut_paths(domain, PLATFORM),
            lambda: self.fleet.heal_paths(domain, PLATFORM),
        )

    def plan_silence(self) -> Fault:
        """Plan to silence open connections between two domains permanently."""
        first, second = sorted(self.choose_domains())
        return Fault(
            f"silence {first} {second}",
            f"silent {first}>{second}",
            lambda: self.fleet.silence_connections(first, second),
        )

    def plan_platform_outage(self) -> Fault:
        """Plan to stop the answers of the platform's services."""
        return Fault(
            "platform down",
            PLATFORM,
            lambda: self.fleet.set_platform_down(True),
            lambda: self.fleet.set_platform_down(False),
        )

    def plan_stale_platform(self) -> Fault:
        """Plan to make the configuration service answer with the first revision."""
        return Fault(
            "platform stale",
            "stale",
            lambda: self.fleet.serve_stale_revision(1),
            lambda: self.fleet.serve_stale_revision(0),
        )

    def plan_publication(self) -> Fault:
        """Plan to publish a version, which is no fault but must work during faults."""
        self.version += 1
        value = build_profiles(str(self.version))
        return Fault(
            f"publish {self.version}", "profiles", lambda: self.publish_value(value)
        )

    def publish_value(self, value: dict[str, Any]) -> None:
        """Publish profiles, which works even while the service is down for readers."""
        self.fleet.publish_profiles(value)

    def plan_engine_crash(self) -> Fault:
        """Plan to crash and restart an engine, which loses its weights."""
        engines = [v for v in self.fleet.layout.agents() if v.backend_kind == "engine"]
        vm = self.random.choice(engines)
        return Fault(
            f"crash engine of {vm.vm_id}",
            f"engine {vm.vm_id}",
            lambda: self.fleet.crash_engine(vm),
        )


def run(arguments: Namespace) -> dict[str, Any]:
    """Run the experiment and return its results."""
    layout = build_layout(REGION_BY_DOMAIN, 2, GROUPS)
    targets = [Target(vm.vm_id, url(vm.http_port)) for vm in layout.entries()]
    with LinkedLauncher(layout, BACKEND_FAULTS) as fleet:
        print(f"logs: {fleet.directory}", file=sys.stderr, flush=True)
        fleet.publish_profiles(build_profiles("1"))
        fleet.wait_until_ready(READY_LIMIT_S)
        plan = FaultPlan(fleet, Random(arguments.seed))
        with Traffic(targets, arguments.rate, "summaries", "renewals") as traffic:
            time.sleep(SETTLE_S)
            plan.run(arguments.seconds)
            recovered_s = fleet.wait_until_ready(READY_LIMIT_S)
            plan.version += 1
            fleet.publish_profiles(build_profiles(str(plan.version)))
            rollout_s = fleet.wait_for_version(
                "alerts", str(plan.version), READY_LIMIT_S
            )
            time.sleep(SETTLE_S)
            healed_at = time.monotonic()
            time.sleep(SETTLE_S)
        verdict = check_answers(
            traffic.requests,
            fleet.count_runs_by_body(),
            ANSWER_TOKENS,
            lambda answer: any(outage.covers(answer) for outage in plan.outages),
        )
    requests_after_heal = [
        request
        for request in traffic.requests
        if request.answers and request.answers[0].sent_at > healed_at
    ]
    return {
        "seed": arguments.seed,
        "requests": len(traffic.requests),
        "faults": plan.history,
        "reasons": count_reasons(traffic.requests),
        "broken": verdict.count_violations(),
        "ready_again_s": round(recovered_s, 2),
        "rollout_after_heal_s": round(rollout_s, 2),
        "done_after_heal": sum(
            request.outcome == "done" for request in requests_after_heal
        ),
        "sent_after_heal": len(requests_after_heal),
        **verdict.to_results(),
    }


def count_reasons(requests: list[SentRequest]) -> dict[str, int]:
    """Return the number of requests by final outcome and reason."""
    last_answers = [request.answers[-1] for request in requests if request.answers]
    counts = Counter(f"{a.outcome or 'no answer'}: {a.reason}" for a in last_answers)
    return dict(counts.most_common())
