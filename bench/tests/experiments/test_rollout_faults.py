"""The counts of a rollout in which agents are killed."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from bench.experiments.rollout_faults import Rollout, count_copies_by_domain
from bench.launcher import WaitFailedError
from bench.layout import build_layout

MIB = 1 << 20


class FakeFleet:
    """Agents' status pages by admin port; a port without a page does not answer."""

    def __init__(self) -> None:
        groups = {"alerts": ("engine", 2)}
        self.layout = build_layout({"domain-1": "west", "domain-2": "west"}, 0, groups)
        self.pages: dict[int, Any] = {}
        self.calls = 0
        self.silent_calls = 0

    def set_origin_bytes(self, mib: int) -> None:
        for vm in self.layout.agents():
            self.pages[vm.admin_port] = {"bytes_by_source": {"origin": mib * MIB}}

    def get_json(self, port: int, path: str) -> Any:
        self.calls += 1
        if self.calls <= self.silent_calls:
            return None
        return self.pages.get(port)


@pytest.fixture
def fleet() -> FakeFleet:
    return FakeFleet()


def new_rollout(fleet: Any) -> Rollout:
    corrupt_vm = SimpleNamespace(vm_id="none")
    faulty: Any = SimpleNamespace(corrupt_vm=corrupt_vm)
    links: Any = SimpleNamespace(version_bytes=4 * MIB)
    return Rollout(fleet, faulty, links)


def test_what_killed_agents_read_before_is_not_subtracted(fleet: FakeFleet) -> None:
    """
    The status page of a killed agent can only be read before the faults.

    Its bytes were once in the first count only, so the copies of its domain were
    negative.
    """
    rollout = new_rollout(fleet)
    fleet.set_origin_bytes(12)
    before = rollout.count_origin_bytes_by_vm()
    fleet.set_origin_bytes(14)
    killed = fleet.layout.agents()[0]
    rollout.lost_vm_ids.add(killed.vm_id)
    del fleet.pages[killed.admin_port]
    domain_by_vm = {vm.vm_id: vm.failure_domain for vm in fleet.layout.agents()}

    copies = count_copies_by_domain(
        domain_by_vm, before, rollout.count_origin_bytes_by_vm(), 4 * MIB
    )

    assert copies == {"domain-1": 0.5, "domain-2": 1.0}


def test_an_agent_that_answers_late_is_counted(fleet: FakeFleet) -> None:
    """Without its reply it would count as 0 bytes."""
    fleet.set_origin_bytes(12)
    fleet.silent_calls = 2
    counts = new_rollout(fleet).count_origin_bytes_by_vm()
    assert list(counts.values()) == [12 * MIB] * 4


def test_an_agent_that_does_not_answer_is_an_error(
    fleet: FakeFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("bench.rollout_fleet.POLL_INTERVAL_S", 0.0)
    with pytest.raises(WaitFailedError, match="/status"):
        new_rollout(fleet).count_origin_bytes_by_vm()
