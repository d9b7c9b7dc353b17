"""
Measures goodput, refusals, shares, priorities and retries at twice the capacity.

The engines slow down above a number of runs, so that their capacity is known. One
workspace sends ten times its share, nine send a little more than theirs; each sends
half of its requests with priority 1 and half with priority 8. In a second phase, a
request that crashes each engine that runs it is sent repeatedly through all entries,
along with background load.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import urllib3

from ..launcher import Launcher
from ..layout import Layout, build_layout
from ..load.percentiles import percentiles_ms
from ..load.plan import Plan, Sender, Target
from ..load.process import DriverProcess
from .routing import GROUP, READY_LIMIT_S, SERVICE

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

ANSWER_TOKENS = 10
FIRST_TOKEN_S = 0.05
TOKEN_S = 0.05
RUN_DURATION_S = FIRST_TOKEN_S + ANSWER_TOKENS * TOKEN_S
CRASHING_BODY = "poison"
LARGE_WORKSPACE = "large"
SMALL_WORKSPACES = [f"small-{number}" for number in range(9)]
HIGH_PRIORITY, LOW_PRIORITY = 1, 8
SUSPECT_PHASE_S = 15.0
SUSPECT_ROUNDS = 10
ROUND_PAUSE_S = 0.5


def add_arguments(parser: ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--capacity", type=int, default=6, help="runs of an engine")
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--factor", type=float, default=2.0)
    parser.add_argument("--timeout", type=float, default=4.0)


def build_senders() -> list[Sender]:
    """Return the senders of ten workspaces, one of which sends half of the load."""
    return [
        Sender(name, share / 2, prefixes=3, priority=priority)
        for name, share in [
            (LARGE_WORKSPACE, 9.0),
            *((name, 1.0) for name in SMALL_WORKSPACES),
        ]
        for priority in (HIGH_PRIORITY, LOW_PRIORITY)
    ]


def build_profiles() -> dict[str, Any]:
    """Return the published value of the run."""
    profile = {"name": GROUP, "group": GROUP, "model": "eligibility", "version": "1"}
    service = {"name": SERVICE, "profile": GROUP, "idempotent": True}
    workspaces = [{"name": name} for name in (LARGE_WORKSPACE, *SMALL_WORKSPACES)]
    return {"profiles": [profile], "services": [service], "workspaces": workspaces}


def run(arguments: Namespace) -> dict[str, Any]:
    """Run the overload phase and the suspect phase, and return the results."""
    layout = build_layout(
        {"lag-a": "west"}, arguments.entries, {GROUP: ("engine", arguments.engines)}
    )
    engine = {
        "tokens": ANSWER_TOKENS,
        "token_s": TOKEN_S,
        "first_token_s": FIRST_TOKEN_S,
        "capacity": arguments.capacity,
        "load_lag_s": 1.0,
        "crash_on": CRASHING_BODY,
    }
    with Launcher(layout, {"engine": engine}) as fleet:
        fleet.publish_profiles(build_profiles())
        fleet.wait_until_ready(READY_LIMIT_S)
        capacity_per_s = arguments.capacity * arguments.engines / RUN_DURATION_S
        answers = run_load(fleet, layout, arguments, capacity_per_s)
        results = summarize_answers(answers, capacity_per_s, arguments)
        runs_started = sum(
            sum(fleet.get_json(vm.backend_port, "/control")["runs"].values())
            for vm in layout.agents()
        )
        retries = count_retries(fleet, layout)
        suspect_results = run_suspect_phase(fleet, layout, arguments, capacity_per_s)
        return {**results, "runs_started": runs_started, **retries, **suspect_results}


def run_load(
    fleet: Launcher, layout: Layout, arguments: Namespace, capacity_per_s: float
) -> list[dict[str, Any]]:
    """Send the overload through all entries and return the answers."""
    plan = Plan(
        seed=arguments.seed,
        rate_per_s=arguments.factor * capacity_per_s,
        duration_s=arguments.seconds,
        timeout_s=arguments.timeout,
        service=SERVICE,
        senders=build_senders(),
        targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
    )
    results = DriverProcess(plan, fleet.directory, "overload").wait_for_results()
    answers: list[dict[str, Any]] = results["answers"]
    return answers


def summarize_answers(
    answers: list[dict[str, Any]], capacity_per_s: float, arguments: Namespace
) -> dict[str, Any]:
    """Return the results of the answers, without those of the first second."""
    counted = [a for a in answers if a["at_s"] >= 1.0]
    done = [a for a in counted if a["outcome"] == "done"]
    refused = [a for a in counted if a["outcome"] == "not_run"]
    in_time = [a for a in done if a["ended_s"] <= arguments.timeout]
    seconds = arguments.seconds - 1.0
    done_by_workspace = Counter(a["workspace"] for a in in_time)
    done_by_small_workspace = sorted(
        done_by_workspace[name] for name in SMALL_WORKSPACES
    )
    refused_before_start = [a for a in refused if a["first_token_s"] is None]
    return {
        "capacity_per_s": round(capacity_per_s, 2),
        "sent_per_s": round(len(counted) / seconds, 2),
        "outcomes": Counter(a["outcome"] for a in counted),
        "reasons": Counter(a["reason"] for a in counted if a["reason"]),
        "goodput_of_capacity": round(len(in_time) / seconds / capacity_per_s, 3),
        "refused_after_ms": percentiles_ms(a["ended_s"] for a in refused_before_start),
        "refused_without_retry_after": sum(not a["retry_after"] for a in refused),
        "done_large": done_by_workspace[LARGE_WORKSPACE],
        "done_small": done_by_small_workspace,
        "large_of_fair_share": round(
            done_by_workspace[LARGE_WORKSPACE] * 10 / len(in_time), 3
        ),
        "done_share_by_priority": {
            priority: compute_done_share(counted, priority)
            for priority in (HIGH_PRIORITY, LOW_PRIORITY)
        },
    }


def compute_done_share(answers: list[dict[str, Any]], priority: int) -> float:
    """Return the share of a priority's requests with the outcome "done"."""
    sent = [a for a in answers if a["priority"] == priority]
    return round(sum(a["outcome"] == "done" for a in sent) / len(sent), 3)


def count_retries(fleet: Launcher, layout: Layout) -> dict[str, Any]:
    """Return the numbers of retries that the entries allowed and denied."""
    counts: Counter[str] = Counter()
    for vm in layout.entries():
        url = f"http://127.0.0.1:{vm.admin_port}/metrics"
        text = fleet.http.request("GET", url).data.decode()
        for line in text.splitlines():
            if line.startswith("primroselever_routing_retries"):
                result = "allowed" if 'allowed="true"' in line.lower() else "denied"
                counts[f"retries_{result}"] += int(float(line.rsplit(" ", 1)[1]))
    return dict(counts)


def run_suspect_phase(
    fleet: Launcher, layout: Layout, arguments: Namespace, capacity_per_s: float
) -> dict[str, Any]:
    """Send the crashing request repeatedly, with load at a third of the capacity."""
    plan = Plan(
        seed=arguments.seed + 1,
        rate_per_s=capacity_per_s / 3,
        duration_s=SUSPECT_PHASE_S,
        timeout_s=arguments.timeout,
        service=SERVICE,
        senders=build_senders(),
        targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
    )
    driver = DriverProcess(plan, fleet.directory, "beside")
    suspect_answers: list[tuple[str, float]] = []
    with ThreadPoolExecutor(len(layout.entries())) as pool:
        for _ in range(SUSPECT_ROUNDS):
            suspect_answers += pool.map(
                send_crashing_request, [vm.http_port for vm in layout.entries()]
            )
            time.sleep(ROUND_PAUSE_S)
    background_answers = driver.wait_for_results()["answers"]
    engine_states = [
        fleet.get_json(vm.backend_port, "/control") for vm in layout.agents()
    ]
    refused = [a["at_s"] for a in background_answers if a["reason"] == "quarantined"]
    return {
        "suspect_sent": len(suspect_answers),
        "suspect_told": Counter(reason for reason, _ in suspect_answers),
        "suspect_last_answer_ms": round(
            max(s for _, s in suspect_answers[-2:]) * 1000, 1
        ),
        "engines_crashed": sum(state["crashes"] > 0 for state in engine_states),
        "crashes": sum(state["crashes"] for state in engine_states),
        "beside_outcomes": Counter(a["outcome"] for a in background_answers),
        "beside_reasons": Counter(
            a["reason"] for a in background_answers if a["reason"]
        ),
        "beside_quarantined": len(refused),
    }


def send_crashing_request(port: int) -> tuple[str, float]:
    """Send the crashing request; return the reason or outcome, and the seconds."""
    started_at = time.monotonic()
    reply = urllib3.request(
        "POST",
        f"http://127.0.0.1:{port}/v1/services/{SERVICE}/requests",
        body=CRASHING_BODY.encode(),
        headers={"Workspace": SMALL_WORKSPACES[0], "Request-Timeout": "10"},
        retries=False,
        timeout=20,
    )
    reason = reply.headers.get("Request-Reason")
    if reason is None:
        last = json.loads(reply.data.splitlines()[-1])
        reason = str(last.get("reason") or last.get("outcome"))
    return reason, time.monotonic() - started_at
