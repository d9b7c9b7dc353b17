"""
Twice the capacity: goodput, refusals, shares, priorities, retries; then a suspect.

The engines slow down beyond a number of runs, so that their capacity is known. One
workspace sends ten times its share, nine send a little more than theirs; each sends
half of its requests with priority 1 and half with priority 8. At the end a request
that crashes each engine that runs it is sent again and again through all entries,
beside others.
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

TOKENS = 10
FIRST_TOKEN_S = 0.05
TOKEN_S = 0.05
RUN_S = FIRST_TOKEN_S + TOKENS * TOKEN_S
CRASHING = "poison"
LARGE = "large"
SMALL = [f"small-{number}" for number in range(9)]
FIRST, LAST = 1, 8
SUSPECT_S = 15.0
RESENDS = 10
RESEND_PAUSE_S = 0.5


def add_arguments(parser: ArgumentParser) -> None:
    """Add the size of the run."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--capacity", type=int, default=6, help="runs of an engine")
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--factor", type=float, default=2.0)
    parser.add_argument("--timeout", type=float, default=4.0)


def senders() -> list[Sender]:
    """Return ten workspaces of equal share; one sends half of the load."""
    return [
        Sender(name, share / 2, prefixes=3, priority=priority)
        for name, share in [(LARGE, 9.0), *((name, 1.0) for name in SMALL)]
        for priority in (FIRST, LAST)
    ]


def published() -> dict[str, Any]:
    """Return the profiles of the run."""
    profile = {"name": GROUP, "group": GROUP, "model": "eligibility", "version": "1"}
    service = {"name": SERVICE, "profile": GROUP, "idempotent": True}
    workspaces = [{"name": name} for name in (LARGE, *SMALL)]
    return {"profiles": [profile], "services": [service], "workspaces": workspaces}


def run(arguments: Namespace) -> dict[str, Any]:
    """Run the overload and the suspect, and return the figures."""
    layout = build_layout(
        {"lag-a": "west"}, arguments.entries, {GROUP: ("engine", arguments.engines)}
    )
    engine = {
        "tokens": TOKENS,
        "token_s": TOKEN_S,
        "first_token_s": FIRST_TOKEN_S,
        "capacity": arguments.capacity,
        "load_lag_s": 1.0,
        "crash_on": CRASHING,
    }
    with Launcher(layout, {"engine": engine}) as fleet:
        fleet.publish_profiles(published())
        fleet.wait_until_ready(READY_LIMIT_S)
        capacity_per_s = arguments.capacity * arguments.engines / RUN_S
        answers = drive(fleet, layout, arguments, capacity_per_s)
        figures = summarize_answers(answers, capacity_per_s, arguments)
        started = sum(
            sum(fleet.get_json(vm.backend_port, "/control")["runs"].values())
            for vm in layout.agents()
        )
        retries = metrics_of(fleet, layout)
        suspect = suspect_phase(fleet, layout, arguments, capacity_per_s)
        return {**figures, "runs_started": started, **retries, **suspect}


def drive(
    fleet: Launcher, layout: Layout, arguments: Namespace, capacity_per_s: float
) -> list[dict[str, Any]]:
    """Send the load through all entries and return the answers."""
    plan = Plan(
        seed=arguments.seed,
        rate_per_s=arguments.factor * capacity_per_s,
        duration_s=arguments.seconds,
        timeout_s=arguments.timeout,
        service=SERVICE,
        senders=senders(),
        targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
    )
    results = DriverProcess(plan, fleet.directory, "overload").wait_for_results()
    answers: list[dict[str, Any]] = results["answers"]
    return answers


def summarize_answers(
    answers: list[dict[str, Any]], capacity_per_s: float, arguments: Namespace
) -> dict[str, Any]:
    """Return what the answers say; runs that began in the first second are left out."""
    counted = [a for a in answers if a["at_s"] >= 1.0]
    done = [a for a in counted if a["outcome"] == "done"]
    refused = [a for a in counted if a["outcome"] == "not_run"]
    in_time = [a for a in done if a["ended_s"] <= arguments.timeout]
    seconds = arguments.seconds - 1.0
    by_workspace = Counter(a["workspace"] for a in in_time)
    small = sorted(by_workspace[name] for name in SMALL)
    at_once = [a for a in refused if a["first_token_s"] is None]
    return {
        "capacity_per_s": round(capacity_per_s, 2),
        "sent_per_s": round(len(counted) / seconds, 2),
        "outcomes": Counter(a["outcome"] for a in counted),
        "reasons": Counter(a["reason"] for a in counted if a["reason"]),
        "goodput_of_capacity": round(len(in_time) / seconds / capacity_per_s, 3),
        "refused_after_ms": percentiles_ms(a["ended_s"] for a in at_once),
        "refused_without_retry_after": sum(not a["retry_after"] for a in refused),
        "done_large": by_workspace[LARGE],
        "done_small": small,
        "large_of_fair_share": round(by_workspace[LARGE] * 10 / len(in_time), 3),
        "done_share_by_priority": {
            priority: done_share(counted, priority) for priority in (FIRST, LAST)
        },
    }


def done_share(answers: list[dict[str, Any]], priority: int) -> float:
    """Return the share of a priority's requests that were done."""
    sent = [a for a in answers if a["priority"] == priority]
    return round(sum(a["outcome"] == "done" for a in sent) / len(sent), 3)


def metrics_of(fleet: Launcher, layout: Layout) -> dict[str, Any]:
    """Return the retries that the entries allowed and refused."""
    counts: Counter[str] = Counter()
    for vm in layout.entries():
        url = f"http://127.0.0.1:{vm.admin_port}/metrics"
        text = fleet.http.request("GET", url).data.decode()
        for line in text.splitlines():
            if line.startswith("primroselever_routing_retries"):
                key = "allowed" if 'allowed="true"' in line.lower() else "denied"
                counts[f"retries_{key}"] += int(float(line.rsplit(" ", 1)[1]))
    return dict(counts)


def suspect_phase(
    fleet: Launcher, layout: Layout, arguments: Namespace, capacity_per_s: float
) -> dict[str, Any]:
    """Send the crashing request again and again, beside others at a third of load."""
    plan = Plan(
        seed=arguments.seed + 1,
        rate_per_s=capacity_per_s / 3,
        duration_s=SUSPECT_S,
        timeout_s=arguments.timeout,
        service=SERVICE,
        senders=senders(),
        targets=[Target(vm.vm_id, vm.http_port) for vm in layout.entries()],
    )
    driver = DriverProcess(plan, fleet.directory, "beside")
    told: list[tuple[str, float]] = []
    with ThreadPoolExecutor(len(layout.entries())) as pool:
        for _ in range(RESENDS):
            told += pool.map(send_crashing, [vm.http_port for vm in layout.entries()])
            time.sleep(RESEND_PAUSE_S)
    beside = driver.wait_for_results()["answers"]
    states = [fleet.get_json(vm.backend_port, "/control") for vm in layout.agents()]
    refused = [a["at_s"] for a in beside if a["reason"] == "quarantined"]
    return {
        "suspect_sent": len(told),
        "suspect_told": Counter(reason for reason, _ in told),
        "suspect_last_answer_ms": round(max(s for _, s in told[-2:]) * 1000, 1),
        "engines_crashed": sum(state["crashes"] > 0 for state in states),
        "crashes": sum(state["crashes"] for state in states),
        "beside_outcomes": Counter(a["outcome"] for a in beside),
        "beside_reasons": Counter(a["reason"] for a in beside if a["reason"]),
        "beside_quarantined": len(refused),
    }


def send_crashing(port: int) -> tuple[str, float]:
    """Send the crashing request; return what its caller was told, and how late."""
    began = time.monotonic()
    reply = urllib3.request(
        "POST",
        f"http://127.0.0.1:{port}/v1/services/{SERVICE}/requests",
        body=CRASHING.encode(),
        headers={"Workspace": SMALL[0], "Request-Timeout": "10"},
        retries=False,
        timeout=20,
    )
    told = reply.headers.get("Request-Reason")
    if told is None:
        last = json.loads(reply.data.splitlines()[-1])
        told = str(last.get("reason") or last.get("outcome"))
    return told, time.monotonic() - began
