"""A planned stop of real processes under load cuts off nothing."""

from __future__ import annotations

from collections import Counter

import pytest

from bench.demo import profiles
from bench.judge import judge
from bench.launcher import Launcher
from bench.layout import build_layout, url
from bench.traffic import Target, Traffic

TOKENS = 20
SLOW_ENGINE = {"engine": {"tokens": TOKENS, "token_s": 0.02}}
GROUPS = {"alerts": ("engine", 2), "portal": ("plain", 1)}


@pytest.mark.parametrize("role", ["agent", "entry"])
def test_a_planned_stop_under_load_cuts_off_nothing(role: str) -> None:
    layout = build_layout({"lag-a": "west"}, 1, GROUPS)
    leaving = layout.entries()[0] if role == "entry" else layout.agents()[0]
    entry = layout.entries()[0]
    target = Target(entry.vm_id, url(entry.http_port))
    with Launcher(layout, SLOW_ENGINE) as fleet:
        fleet.publish(profiles("1"))
        fleet.wait_ready(30)
        with Traffic([target], 40, "summaries", "renewals") as traffic:
            fleet.wait_for(lambda: len(traffic.sent) > 40, 30, "some load")
            fleet.signal_vm(leaving.vm_id)
            if role == "entry":
                fleet.wait_for(lambda: not fleet.ready(leaving), 10, "not ready")
                traffic.stop()
            code = fleet.wait_vm(leaving.vm_id)
        verdict = judge(traffic.sent, fleet.runs_by_body(), TOKENS)

    told = Counter(sent.outcome for sent in traffic.sent if sent.idempotent)
    assert code == 0
    assert verdict.broken() == 0, verdict.examples
    assert set(told) == {"done"}


def test_a_leaving_agent_gets_nothing_new_whatever_the_platform_says() -> None:
    layout = build_layout({"lag-a": "west"}, 1, GROUPS)
    leaving, entry = layout.agents()[0], layout.entries()[0]
    target = Target(entry.vm_id, url(entry.http_port))
    with Launcher(layout, SLOW_ENGINE) as fleet:
        fleet.publish(profiles("1"))
        fleet.wait_ready(30)
        fleet.control(layout.configuration_port, down=True)
        with Traffic([target], 40, "summaries", "renewals") as traffic:
            fleet.wait_for(lambda: len(traffic.sent) > 40, 30, "some load")
            fleet.signal_vm(leaving.vm_id)
            fleet.wait_for(lambda: not fleet.ready(leaving), 10, "not ready")
            before = len(traffic.sent)
            fleet.wait_vm(leaving.vm_id)
            fleet.wait_for(lambda: len(traffic.sent) > before + 40, 30, "more load")
        ran = fleet.get(leaving.backend_port, "/control")["bodies"]

    sent_after = [sent.body for sent in traffic.sent[before:]]
    assert len(ran) > 0
    assert not set(ran) & set(sent_after)
