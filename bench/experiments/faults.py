"""
Faults in a seeded order, sometimes two at once, under steady load.

Every answer is checked against what the stand-ins saw; each figure under
``broken`` must be 0.
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

DOMAINS = {"lag-a": "west", "abj-a": "west", "phc-a": "east"}
GROUPS = {"alerts": ("engine", 2), "portal": ("plain", 2)}
TOKENS = 20
BACKENDS = {
    "engine": {"tokens": TOKENS, "token_s": 0.01},
    "plain_service": {"call_s": 0.1},
}
READY_LIMIT_S = 40.0
FAULT_S = (0.5, 5.0)
PAUSE_S = (0.1, 1.0)
TWO_AT_ONCE = 0.5
SETTLE_S = 4.0
POLL_S = 0.05


def add_arguments(parser: ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--seed", type=int, default=1, help="order of the faults")
    parser.add_argument("--seconds", type=float, default=60, help="time with faults")
    parser.add_argument("--rate", type=float, default=60, help="requests a second")


@dataclass(slots=True)
class Fault:
    """One fault: where it is, how it starts and how it ends."""

    name: str
    place: str
    start: Callable[[], None]
    undo: Callable[[], None] = lambda: None
    ends_at: float = 0.0


@dataclass(slots=True)
class Outage:
    """From when to when the callers of an entry may see their connections break."""

    entry: str
    since: float
    until: float = math.inf

    def excuses(self, answer: Answer) -> bool:
        """Return whether an answer fell into the outage."""
        overlaps = answer.sent_at <= self.until and answer.ended_at >= self.since
        return answer.entry == self.entry and overlaps


class FaultPlan:
    """Starts faults in a seeded order and undoes them in time."""

    def __init__(self, fleet: LinkedLauncher, random: Random) -> None:
        self.fleet = fleet
        self.random = random
        self.going_on: list[Fault] = []
        self.history: list[str] = []
        self.outages: list[Outage] = []
        self.version = 1

    def run(self, seconds: float) -> None:
        """Cause faults for so long and undo each in its time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self.start_one()
            if self.random.random() < TWO_AT_ONCE:
                self.start_one()
            while self.going_on:
                self.undo_due()
                time.sleep(POLL_S)
            time.sleep(self.random.uniform(*PAUSE_S))

    def start_one(self) -> None:
        """Start one fault, unless its place already has one."""
        fault = self.random.choice(self.kinds())()
        lasts_s = self.random.uniform(*FAULT_S)
        if fault.place in {other.place for other in self.going_on}:
            return
        print(f"fault: {fault.name}, {lasts_s:.1f} s", file=sys.stderr, flush=True)
        self.history.append(fault.name)
        fault.start()
        fault.ends_at = time.monotonic() + lasts_s
        self.going_on.append(fault)

    def undo_due(self) -> None:
        """Undo the faults whose time has come."""
        for fault in list(self.going_on):
            if time.monotonic() >= fault.ends_at:
                fault.undo()
                self.going_on.remove(fault)

    def kinds(self) -> list[Callable[[], Fault]]:
        """Return what makes a fault of each kind."""
        return [
            self.kill_agent,
            self.kill_entry,
            self.freeze_agent,
            self.freeze_entry,
            self.cut_domains,
            self.cut_platform,
            self.silence,
            self.platform_down,
            self.platform_stale,
            self.crash_engine,
            self.publish,
        ]

    def agent(self) -> VmPlan:
        """Return any agent."""
        return self.random.choice(self.fleet.layout.agents())

    def domains(self) -> list[str]:
        """Return two failure domains."""
        return self.random.sample(self.fleet.plan.domains, 2)

    def kill_agent(self) -> Fault:
        """Kill an agent; a new one starts at its address."""
        vm = self.agent()
        return Fault(
            f"kill {vm.vm_id}",
            vm.vm_id,
            lambda: self.fleet.kill_vm(vm),
            lambda: self.fleet.start_vm(vm),
        )

    def kill_entry(self) -> Fault:
        """Kill an entry; its callers see their connections break."""
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

    def freeze_agent(self) -> Fault:
        """Pause an agent, which wakes up late."""
        return self.freeze(self.agent())

    def freeze_entry(self) -> Fault:
        """Pause an entry, which answers late."""
        return self.freeze(self.random.choice(self.fleet.layout.entries()))

    def freeze(self, vm: VmPlan) -> Fault:
        """Pause a VM's process."""
        return Fault(
            f"freeze {vm.vm_id}",
            vm.vm_id,
            lambda: self.fleet.pause_vm(vm),
            lambda: self.fleet.resume_vm(vm),
        )

    def cut_domains(self) -> Fault:
        """Cut two failure domains off from each other."""
        one, other = sorted(self.domains())
        return Fault(
            f"cut {one} {other}",
            f"{one}>{other}",
            lambda: self.fleet.cut_paths(one, other),
            lambda: self.fleet.heal_paths(one, other),
        )

    def cut_platform(self) -> Fault:
        """Cut a failure domain off from the platform."""
        domain = self.domains()[0]
        return Fault(
            f"cut {domain} platform",
            f"{domain}>{PLATFORM}",
            lambda: self.fleet.cut_paths(domain, PLATFORM),
            lambda: self.fleet.heal_paths(domain, PLATFORM),
        )

    def silence(self) -> Fault:
        """Let open connections between two failure domains go silent for good."""
        one, other = sorted(self.domains())
        return Fault(
            f"silence {one} {other}",
            f"silent {one}>{other}",
            lambda: self.fleet.silence_connections(one, other),
        )

    def platform_down(self) -> Fault:
        """Take the platform's services down."""
        return Fault(
            "platform down",
            PLATFORM,
            lambda: self.fleet.set_platform_down(True),
            lambda: self.fleet.set_platform_down(False),
        )

    def platform_stale(self) -> Fault:
        """Let the configuration service answer what was published first."""
        return Fault(
            "platform stale",
            "stale",
            lambda: self.fleet.serve_stale_revision(1),
            lambda: self.fleet.serve_stale_revision(0),
        )

    def publish(self) -> Fault:
        """Publish a new version: no fault, but it may come at any moment."""
        self.version += 1
        value = build_profiles(str(self.version))
        return Fault(f"publish {self.version}", "profiles", lambda: self.deliver(value))

    def deliver(self, value: dict[str, Any]) -> None:
        """Publish profiles, whether or not the service can be read now."""
        self.fleet.publish_profiles(value)

    def crash_engine(self) -> Fault:
        """Crash and restart an engine: its weights are gone."""
        engines = [v for v in self.fleet.layout.agents() if v.backend_kind == "engine"]
        vm = self.random.choice(engines)
        return Fault(
            f"crash engine of {vm.vm_id}",
            f"engine {vm.vm_id}",
            lambda: self.fleet.crash_engine(vm),
        )


def run(arguments: Namespace) -> dict[str, Any]:
    """Run the experiment and return its figures."""
    layout = build_layout(DOMAINS, 2, GROUPS)
    targets = [Target(vm.vm_id, url(vm.http_port)) for vm in layout.entries()]
    with LinkedLauncher(layout, BACKENDS) as fleet:
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
            TOKENS,
            lambda answer: any(outage.excuses(answer) for outage in plan.outages),
        )
    after = [
        s for s in traffic.requests if s.answers and s.answers[0].sent_at > healed_at
    ]
    return {
        "seed": arguments.seed,
        "requests": len(traffic.requests),
        "faults": plan.history,
        "reasons": reasons(traffic.requests),
        "broken": verdict.count_violations(),
        "ready_again_s": round(recovered_s, 2),
        "rollout_after_heal_s": round(rollout_s, 2),
        "done_after_heal": sum(s.outcome == "done" for s in after),
        "sent_after_heal": len(after),
        **verdict.to_results(),
    }


def reasons(requests: list[SentRequest]) -> dict[str, int]:
    """Return how often each outcome was told last, by its reason."""
    last = [sent.answers[-1] for sent in requests if sent.answers]
    counts = Counter(f"{a.outcome or 'no answer'}: {a.reason}" for a in last)
    return dict(counts.most_common())
