"""
Measures routing under steady load: balance, prefix cache hits and added time.

The first phase sends requests with prefixes of ten workspaces, three of them large,
through all entries. The engines hold few prefixes and report their load late.
Imbalance is the ratio of the largest to the mean number of runs in flight per engine,
averaged over one second. The best possible hit share has one miss for each prefix. The
second phase sends requests through the entries and directly to the engines.
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
SAMPLE_INTERVAL_S = 0.05
WARM_UP_S = 2.0
LARGE_SHARES = [30.0, 20.0, 15.0]
SMALL_SHARES = [5.0] * 7
LARGE_PREFIXES, SMALL_PREFIXES = 8, 3
READY_LIMIT_S = 40.0


def add_arguments(parser: ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--rate", type=float, default=90.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=20.0, help="of each phase")
    parser.add_argument("--added-rate", type=float, default=40.0)


def build_senders() -> list[Sender]:
    """Return the senders of ten workspaces, three of them large."""
    large_senders = [
        Sender(f"large-{number}", share, LARGE_PREFIXES)
        for number, share in enumerate(LARGE_SHARES)
    ]
    return large_senders + [
        Sender(f"small-{number}", share, SMALL_PREFIXES)
        for number, share in enumerate(SMALL_SHARES)
    ]


def build_profiles() -> dict[str, Any]:
    """Return the published value of the run."""
    profile = {"name": GROUP, "group": GROUP, "model": "eligibility", "version": "1"}
    service = {"name": SERVICE, "profile": GROUP, "idempotent": True}
    workspaces = [{"name": sender.workspace} for sender in build_senders()]
    return {"profiles": [profile], "services": [service], "workspaces": workspaces}


def run(arguments: Namespace) -> dict[str, Any]:
    """Run both phases and return the results."""
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
        fleet.publish_profiles(build_profiles())
        fleet.wait_until_ready(READY_LIMIT_S)
        balance = run_steady_phase(fleet, arguments)
        for vm in layout.agents():
            fleet.post_control(
                vm.backend_port, miss_s=0.0, token_s=0.02, first_token_s=0.02
            )
        return {**balance, **run_added_time_phase(fleet, arguments)}


def run_steady_phase(fleet: Launcher, arguments: Namespace) -> dict[str, Any]:
    """Run steady load and return the balance and the hit share."""
    layout = fleet.layout
    plan = Plan(
        seed=arguments.seed,
        rate_per_s=arguments.rate,
        duration_s=arguments.seconds,
        timeout_s=15.0,
        service=SERVICE,
        senders=build_senders(),
        targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
    )
    driver = DriverProcess(plan, fleet.directory, "steady")
    windows = sample_in_flight(fleet, layout, arguments.seconds)
    answers = driver.wait_for_results()["answers"]
    imbalances = [max(window) / mean(window) for window in windows if mean(window)]
    engine_means = [mean(engine_counts) for engine_counts in zip(*windows, strict=True)]
    hit_count, use_count, best_share = count_hits(fleet, answers)
    return {
        "requests": len(answers),
        "done": sum(a["outcome"] == "done" for a in answers),
        "in_flight_mean": round(mean(engine_means), 2),
        "imbalance_1s_median": round(median(imbalances), 3),
        "imbalance_1s_worst": round(max(imbalances), 3),
        "imbalance_whole_run": round(max(engine_means) / mean(engine_means), 3),
        "hit_share": round(hit_count / use_count, 3),
        "hit_share_best": round(best_share, 3),
        "hit_share_of_best": round(hit_count / use_count / best_share, 3),
    }


def sample_in_flight(
    fleet: Launcher, layout: Layout, seconds: float
) -> list[list[float]]:
    """Return each engine's mean number of runs in flight for each second."""
    time.sleep(WARM_UP_S)
    windows: list[list[list[int]]] = []
    started_at = time.monotonic()
    while (elapsed_s := time.monotonic() - started_at) < seconds - WARM_UP_S - 1:
        while len(windows) <= int(elapsed_s):
            windows.append([])
        windows[int(elapsed_s)].append(
            [
                int(fleet.get_json(vm.backend_port, "/control/load")["in_flight"])
                for vm in layout.agents()
            ]
        )
        time.sleep(SAMPLE_INTERVAL_S)
    return [
        [mean(engine_counts) for engine_counts in zip(*window, strict=True)]
        for window in windows
        if window
    ]


def count_hits(
    fleet: Launcher, answers: list[dict[str, Any]]
) -> tuple[int, int, float]:
    """Return the hits, the uses and the best possible share of hits."""
    engine_states = [
        fleet.get_json(vm.backend_port, "/control") for vm in fleet.layout.agents()
    ]
    hit_count = sum(state["hits"] for state in engine_states)
    use_count = hit_count + sum(state["misses"] for state in engine_states)
    distinct_prefixes = {(answer["workspace"], answer["prefix"]) for answer in answers}
    return hit_count, use_count, 1 - len(distinct_prefixes) / len(answers)


def run_added_time_phase(fleet: Launcher, arguments: Namespace) -> dict[str, Any]:
    """Run direct and routed requests; return the time that entry and agent add."""
    layout = fleet.layout
    engines = [
        Target(f"direct-{number}", vm.backend_port, direct=True)
        for number, vm in enumerate(layout.agents())
    ]
    entries = [Target(vm.vm_id, vm.http_port) for vm in layout.entries()]
    plan = Plan(
        seed=arguments.seed,
        rate_per_s=arguments.added_rate,
        duration_s=arguments.seconds,
        timeout_s=15.0,
        service=SERVICE,
        senders=build_senders(),
        targets=engines + entries * (len(engines) // len(entries)),
    )
    answers = DriverProcess(plan, fleet.directory, "added").wait_for_results()[
        "answers"
    ]
    done = [a for a in answers if a["outcome"] == "done"]
    direct = [a for a in done if a["target"].startswith("direct-")]
    through = [a for a in done if not a["target"].startswith("direct-")]
    results: dict[str, Any] = {"direct_done": len(direct), "through_done": len(through)}
    for name, collect_values in (
        ("first_token", collect_first_token_s),
        ("gap", collect_gaps_s),
    ):
        direct_ms, through_ms = (
            percentiles_ms(collect_values(direct)),
            percentiles_ms(collect_values(through)),
        )
        results[f"{name}_ms_direct"] = direct_ms
        results[f"{name}_ms_through"] = through_ms
        added_ms = {
            rank: round(through_ms[rank] - direct_ms[rank], 2) for rank in direct_ms
        }
        results[f"{name}_ms_added"] = added_ms
    return results


def collect_first_token_s(answers: list[dict[str, Any]]) -> list[float]:
    """Return the times to the first token, in seconds."""
    return [a["first_token_s"] for a in answers if a["first_token_s"] is not None]


def collect_gaps_s(answers: list[dict[str, Any]]) -> list[float]:
    """Return the times between tokens, in seconds."""
    return [gap for answer in answers for gap in answer["gaps_s"]]
