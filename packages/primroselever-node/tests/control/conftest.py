"""
A fleet of control planes without sockets and with a fake clock.

Calls go directly from one process's client to another's handler unless a fault is
injected. Calls that would wait return immediately.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from primroselever_core.board import Blackboard
from primroselever_core.identifiers import (
    FailureDomain,
    GroupName,
    Incarnation,
    Region,
    VmId,
)
from primroselever_core.identity import Identity
from primroselever_core.membership.vm import Role, Vm
from primroselever_node import clock
from primroselever_node.control.heartbeats import HeartbeatController
from primroselever_node.control.members import MembersController
from primroselever_node.control.peer_client import PeerClient
from primroselever_node.control.profiles import ProfilesController
from primroselever_node.exceptions import PlatformError
from primroselever_node.platform.configuration_service import PublishedValue
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.handler import NodeHandler
from primroselever_node.rpc.publications import Publications


def profiles_text(name: str) -> str:
    return json.dumps({"workspaces": [{"name": name}]})


@dataclass
class FakePlatform:
    """Both platform services; ``published`` holds all values, the newest last."""

    published: list[PublishedValue] = field(default_factory=list)
    vms: dict[str, Vm] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    down: bool = False
    calls: int = 0
    calls_left: int = 1 << 30

    def publish(self, revision: int, text: str) -> None:
        self.published.append(PublishedValue(revision, text))

    def count_call(self, vm_id: str) -> None:
        self.calls += 1
        self.calls_left -= 1
        if self.down or vm_id in self.refused or self.calls_left < 0:
            raise PlatformError("the platform does not answer")


@dataclass
class Services:
    """The clients of the platform's services in one process."""

    platform: FakePlatform
    vm_id: str

    def watch(self, _name: str, after: int, _wait_s: float) -> PublishedValue | None:
        self.platform.count_call(self.vm_id)
        newest = self.platform.published[-1] if self.platform.published else None
        return newest if newest is not None and newest.revision > after else None

    def read_vms(self) -> list[Vm]:
        self.platform.count_call(self.vm_id)
        return list(self.platform.vms.values())


class Process:
    """One process: its board and controllers."""

    def __init__(self, fleet: Fleet, vm: Vm, incarnation: int) -> None:
        self.fleet = fleet
        self.vm = vm
        self.board = Blackboard(
            Identity(vm.vm_id, vm.failure_domain, vm.region, Incarnation(incarnation))
        )
        random = Random(vm.vm_id)
        publications = Publications(self.board)
        self.handler = NodeHandler(self.board, publications)
        self.peers = PeerClient(self.handler, self)  # type: ignore[arg-type]
        services: Any = Services(fleet.platform, vm.vm_id)
        self.profiles = ProfilesController(self.peers, publications, services, random)
        self.members = MembersController(self.peers, publications, services, random)
        self.heartbeats = HeartbeatController(self.peers, self.profiles, random)
        self.handler.on_heartbeat = self.catch_up_with_sender

    @property
    def revision(self) -> int:
        return self.board.profiles.revision.number

    @property
    def digest(self) -> str:
        return self.board.profiles.revision.digest

    def catch_up_with_sender(self, heartbeat: Any) -> None:
        self.members.fetch_first_list(heartbeat)
        self.profiles.pull_if_behind(heartbeat)

    def call(
        self, address: tuple[str, int], method: str, *args: Any, timeout_s: float
    ) -> Any:
        return self.fleet.deliver(self.vm, address, method, args)

    def close_idle_connections(self, _address: tuple[str, int]) -> None:
        pass

    def step(self) -> None:
        self.heartbeats.detect_pause()
        self.members.step()
        self.profiles.step()
        self.heartbeats.exchange_with_peers()


class Fleet:
    """Processes by VM, and the faults between them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000.0
        self.platform = FakePlatform()
        self.processes: dict[str, Process] = {}
        self.dead: set[str] = set()
        self.silent: set[str] = set()
        self.isolated_domains: set[str] = set()
        self.starts = 0
        monkeypatch.setattr(clock, "now", lambda: self.now)

    def add_vms(self, domain: str, count: int) -> None:
        first = len(self.platform.vms)
        for number in range(first, first + count):
            vm = Vm(
                vm_id=VmId(f"{domain}-{number}"),
                role=Role.AGENT,
                address=f"{domain}-{number}",
                rpc_port=1,
                failure_domain=FailureDomain(domain),
                region=Region("west"),
                group=GroupName("alerts"),
            )
            self.platform.vms[vm.vm_id] = vm
            self.start_process(vm.vm_id)

    def start_process(self, vm_id: str) -> Process:
        self.starts += 1
        vm = self.platform.vms[vm_id]
        self.processes[vm_id] = Process(self, vm, self.starts)
        self.dead.discard(vm_id)
        return self.processes[vm_id]

    def deliver(
        self, sender: Vm, address: tuple[str, int], method: str, args: Any
    ) -> Any:
        target = address[0]
        if target in self.dead or target not in self.processes:
            raise NeverSentError(target)
        domains = {sender.failure_domain, self.processes[target].vm.failure_domain}
        if target in self.silent or (
            len(domains) > 1 and domains & self.isolated_domains
        ):
            raise LostReplyError(target)
        handler = self.processes[target].handler
        if method == "fetch_publication":
            args = (args[0], args[1], 0, args[3])
        return getattr(handler, method)(*args)

    def live_processes(self) -> list[Process]:
        return [p for vm_id, p in self.processes.items() if vm_id not in self.dead]

    def run(self, seconds: float, step_s: float = 0.5) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += step_s
            for process in self.live_processes():
                process.step()

    def revisions(self) -> set[int]:
        return {process.revision for process in self.live_processes()}

    def watchers(self, domain: str) -> list[str]:
        names = [
            p.vm.vm_id for p in self.live_processes() if p.vm.failure_domain == domain
        ]
        members = self.processes[names[0]].board.members
        ranking = [
            vm_id for vm_id in members.ranking(FailureDomain(domain)) if vm_id in names
        ]
        return [str(vm_id) for vm_id in ranking[:2]]


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    return Fleet(monkeypatch)
