"""A planned stop of real processes under load interrupts no request."""

from __future__ import annotations

from collections import Counter

import pytest

from bench.demo import build_profiles
from bench.judge import check_answers
from bench.launcher import Launcher
from bench.layout import build_layout, url
from bench.traffic import Target, Traffic

TOKENS = 20
SLOW_ENGINE = {"engine": {"tokens": TOKENS, "token_s": 0.02}}
GROUPS = {"alerts": ("engine", 2), "portal": ("plain", 1)}


@pytest.mark.parametrize("role", ["agent", "entry"])
def test_a_planned_stop_under_load_interrupts_no_request(role: str) -> None:
    layout = build_layout({"lag-a": "west"}, 1, GROUPS)
    stopping_vm = layout.entries()[0] if role == "entry" else layout.agents()[0]
    entry = layout.entries()[0]
    target = Target(entry.vm_id, url(entry.http_port))
    with Launcher(layout, SLOW_ENGINE) as fleet:
        fleet.publish_profiles(build_profiles("1"))
        fleet.wait_until_ready(30)
        with Traffic([target], 40, "summaries", "renewals") as traffic:
            fleet.wait_for(
                lambda: len(traffic.requests) > 40, 30, "requests before the stop"
            )
            fleet.signal_vm(stopping_vm.vm_id)
            if role == "entry":
                fleet.wait_for(lambda: not fleet.is_ready(stopping_vm), 10, "not ready")
                traffic.stop()
            exit_code = fleet.wait_for_exit(stopping_vm.vm_id)
        verdict = check_answers(traffic.requests, fleet.count_runs_by_body(), TOKENS)

    outcomes = Counter(
        request.outcome for request in traffic.requests if request.idempotent
    )
    assert exit_code == 0
    assert verdict.count_violations() == 0, verdict.examples
    assert set(outcomes) == {"done"}


def test_a_stopping_agent_gets_no_new_runs_while_the_vm_list_shows_it_live() -> None:
    layout = build_layout({"lag-a": "west"}, 1, GROUPS)
    stopping_vm, entry = layout.agents()[0], layout.entries()[0]
    target = Target(entry.vm_id, url(entry.http_port))
    with Launcher(layout, SLOW_ENGINE) as fleet:
        fleet.publish_profiles(build_profiles("1"))
        fleet.wait_until_ready(30)
        fleet.post_control(layout.configuration_port, down=True)
        with Traffic([target], 40, "summaries", "renewals") as traffic:
            fleet.wait_for(
                lambda: len(traffic.requests) > 40, 30, "requests before the stop"
            )
            fleet.signal_vm(stopping_vm.vm_id)
            fleet.wait_for(lambda: not fleet.is_ready(stopping_vm), 10, "not ready")
            count_before = len(traffic.requests)
            fleet.wait_for_exit(stopping_vm.vm_id)
            fleet.wait_for(
                lambda: len(traffic.requests) > count_before + 40,
                30,
                "requests after the stop",
            )
        bodies_run = fleet.get_json(stopping_vm.backend_port, "/control")["bodies"]

    bodies_sent_after = [request.body for request in traffic.requests[count_before:]]
    assert len(bodies_run) > 0
    assert not set(bodies_run) & set(bodies_sent_after)
