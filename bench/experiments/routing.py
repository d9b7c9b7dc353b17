"""
Routing under steady load: balance, use of cached prefixes, and added time.

The first phase sends prefixes of ten workspaces, a few of them large, through all
entries; engines hold few prefixes and report their load late. Imbalance is the
largest over the mean number of runs in flight, each averaged over one second. The
best possible hit share has one miss for each prefix. The second phase alternates
between an entry and direct calls to the engines.
"""

from __future__ import annotations

import time
from statistics import mean, median
from typing import TYPE_CHECKING, Any

from ..launcher import Launcher
from ..layout import Layout, build_layout
from ..load.percentiles import percentiles_ms
from ..load.plan import Plan, Sender, Target
from ..load.process import DriverProcess

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

GROUP = "alerts"
SERVICE = "summaries"
SAMPLE_S = 0.05
WARM_UP_S = 2.0
LARGE = [30.0, 20.0, 15.0]
SMALL = [5.0] * 7
PREFIXES_LARGE, PREFIXES_SMALL = 8, 3
READY_LIMIT_S = 40.0


def add_arguments(parser: ArgumentParser) -> None:
    """Add the size of the run."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--rate", type=float, default=90.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=20.0, help="of each phase")
    parser.add_argument("--added-rate", type=float, default=40.0)


def senders() -> list[Sender]:
    """Return ten workspaces, three of them large."""
    large = [Sender(f"large-{i}", s, PREFIXES_LARGE) for i, s in enumerate(LARGE)]
    return large + [
        Sender(f"small-{i}", s, PREFIXES_SMALL) for i, s in enumerate(SMALL)
    ]


def published() -> dict[str, Any]:
    """Return the profiles of the run."""
    profile = {"name": GROUP, "group": GROUP, "model": "eligibility", "version": "1"}
    service = {"name": SERVICE, "profile": GROUP, "idempotent": True}
    workspaces = [{"name": sender.workspace} for sender in senders()]
    return {"profiles": [profile], "services": [service], "workspaces": workspaces}


def run(arguments: Namespace) -> dict[str, Any]:
    """Run both phases and return the figures."""
    layout = build_layout(
        {"lag-a": "west"}, arguments.entries, {GROUP: ("engine", arguments.engines)}
    )
    faults = {
        "engine": {
            "tokens": 10,
            "token_s": 0.1,
            "first_token_s": 0.05,
            "miss_s": 0.1,
            "load_lag_s": 1.0,
            "prefixes": 16,
        }
    }
    with Launcher(layout, faults) as fleet:
        fleet.publish_profiles(published())
        fleet.wait_until_ready(READY_LIMIT_S)
        balance = steady_phase(fleet, arguments)
        for vm in layout.agents():
            fleet.post_control(
                vm.backend_port, miss_s=0.0, token_s=0.02, first_token_s=0.02
            )
        return {**balance, **added_phase(fleet, arguments)}


def steady_phase(fleet: Launcher, arguments: Namespace) -> dict[str, Any]:
    """Return balance and hit share under steady load."""
    layout = fleet.layout
    plan = Plan(
        seed=arguments.seed,
        rate_per_s=arguments.rate,
        duration_s=arguments.seconds,
        timeout_s=15.0,
        service=SERVICE,
        senders=senders(),
        targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
    )
    driver = DriverProcess(plan, fleet.directory, "steady")
    windows = sample_in_flight(fleet, layout, arguments.seconds)
    answers = driver.wait_for_results()["answers"]
    ratios = [max(window) / mean(window) for window in windows if mean(window)]
    whole = [mean(server) for server in zip(*windows, strict=True)]
    hits, uses, best = hit_shares(fleet, answers)
    return {
        "requests": len(answers),
        "done": sum(a["outcome"] == "done" for a in answers),
        "in_flight_mean": round(mean(whole), 2),
        "imbalance_1s_median": round(median(ratios), 3),
        "imbalance_1s_worst": round(max(ratios), 3),
        "imbalance_whole_run": round(max(whole) / mean(whole), 3),
        "hit_share": round(hits / uses, 3),
        "hit_share_best": round(best, 3),
        "hit_share_of_best": round(hits / uses / best, 3),
    }


def sample_in_flight(
    fleet: Launcher, layout: Layout, seconds: float
) -> list[list[float]]:
    """Return, for each second, each engine's mean number of runs in flight."""
    time.sleep(WARM_UP_S)
    windows: list[list[list[int]]] = []
    started = time.monotonic()
    while (passed := time.monotonic() - started) < seconds - WARM_UP_S - 1:
        while len(windows) <= int(passed):
            windows.append([])
        windows[int(passed)].append(
            [
                int(fleet.get_json(vm.backend_port, "/control/load")["in_flight"])
                for vm in layout.agents()
            ]
        )
        time.sleep(SAMPLE_S)
    return [[mean(server) for server in zip(*w, strict=True)] for w in windows if w]


def hit_shares(
    fleet: Launcher, answers: list[dict[str, Any]]
) -> tuple[int, int, float]:
    """Return hits, uses and the best possible share of hits."""
    states = [
        fleet.get_json(vm.backend_port, "/control") for vm in fleet.layout.agents()
    ]
    hits = sum(state["hits"] for state in states)
    uses = hits + sum(state["misses"] for state in states)
    distinct = {(answer["workspace"], answer["prefix"]) for answer in answers}
    return hits, uses, 1 - len(distinct) / len(answers)


def added_phase(fleet: Launcher, arguments: Namespace) -> dict[str, Any]:
    """Return the time that entry and agent add to a direct call."""
    layout = fleet.layout
    engines = [
        Target(f"direct-{i}", vm.backend_port, direct=True)
        for i, vm in enumerate(layout.agents())
    ]
    entries = [Target(vm.vm_id, vm.http_port) for vm in layout.entries()]
    plan = Plan(
        seed=arguments.seed,
        rate_per_s=arguments.added_rate,
        duration_s=arguments.seconds,
        timeout_s=15.0,
        service=SERVICE,
        senders=senders(),
        targets=engines + entries * (len(engines) // len(entries)),
    )
    answers = DriverProcess(plan, fleet.directory, "added").wait_for_results()[
        "answers"
    ]
    done = [a for a in answers if a["outcome"] == "done"]
    direct = [a for a in done if a["target"].startswith("direct-")]
    through = [a for a in done if not a["target"].startswith("direct-")]
    figures: dict[str, Any] = {"direct_done": len(direct), "through_done": len(through)}
    for name, values in (("first_token", first_tokens), ("gap", gaps)):
        base, ours = percentiles_ms(values(direct)), percentiles_ms(values(through))
        figures[f"{name}_ms_direct"] = base
        figures[f"{name}_ms_through"] = ours
        added = {rank: round(ours[rank] - base[rank], 2) for rank in base}
        figures[f"{name}_ms_added"] = added
    return figures


def first_tokens(answers: list[dict[str, Any]]) -> list[float]:
    """Return the times to the first token."""
    return [a["first_token_s"] for a in answers if a["first_token_s"] is not None]


def gaps(answers: list[dict[str, Any]]) -> list[float]:
    """Return the times between tokens."""
    return [gap for answer in answers for gap in answer["gaps_s"]]
