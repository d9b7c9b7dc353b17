"""
Sessions of the control plane: a partition that heals, and a platform outage.

Four processes in two failure domains exchange heartbeats. They use the same pure
functions as the node package; only the remote calls are left out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

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
from primroselever_core.membership.contact import (
    is_cut_off,
    may_give_orders,
    record_answer,
    record_failed_call,
    record_tick,
)
from primroselever_core.membership.events import (
    PeerCallFailed,
    PeerReported,
    VmListReceived,
    apply,
)
from primroselever_core.membership.peers import own_tree_place
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.profiles.adopt import Adoption, adopt
from primroselever_core.profiles.watch import SERVICE_SILENT_S

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

DOMAINS = {"lag-a": "west", "phc-a": "east"}
INVALID = '{"workspaces": [{"nmae": "ministry"}]}'


def profiles_text(name: str) -> str:
    return f'{{"workspaces": [{{"name": "{name}"}}]}}'


def vm(domain: str, number: int) -> Vm:
    return Vm(
        VmId(f"{domain}-{number}"),
        Role.AGENT,
        "127.0.0.1",
        7000 + number,
        FailureDomain(domain),
        Region(DOMAINS[domain]),
        GroupName("alerts"),
    )


@dataclass
class Processes:
    """Blackboards by VM; events and decisions are recorded in the session."""

    session: Any
    boards: dict[str, Blackboard] = field(default_factory=dict)
    partitioned: bool = False

    def start(self, vms: dict[VmId, Vm]) -> None:
        for number, member in enumerate(vms.values()):
            identity = Identity(
                member.vm_id,
                member.failure_domain,
                member.region,
                Incarnation(number + 1),
            )
            board = self.boards[member.vm_id] = Blackboard(identity)
            record_tick(board.members.contact, self.session.now)
            apply(VmListReceived(vms), board.members, self.session.now)

    def run_until(self, until: float) -> None:
        """Advance the clock with a tick every second, so that no pause is detected."""
        now = self.session.now
        while now < until:
            now = min(now + 1.0, until)
            for board in self.boards.values():
                record_tick(board.members.contact, now)
        self.session.at(until)

    def offer(self, name: str, number: int, text: str, source: str) -> None:
        board = self.boards[name]
        result = adopt(board.profiles, number, text, source, self.session.now)
        if result is not Adoption.NOT_NEWER:
            self.session.decision(
                "profiles", at=name, revision=number, result=result, source=source
            )

    def answer_from_service(self, name: str, number: int, text: str) -> None:
        self.session.event("service answered", to=name, revision=number)
        board = self.boards[name]
        board.profiles.service.record_answer(self.session.now)
        record_answer(board.members.contact, self.session.now)
        self.offer(name, number, text, "configuration service")

    def fail_service_call(self, name: str) -> None:
        self.session.event("service failed", to=name)
        board = self.boards[name]
        board.profiles.service.record_failure(self.session.now, Random(1))
        record_failed_call(board.members.contact, self.session.now)
        wait_s = board.profiles.service.retry_at - self.session.now
        self.session.decision("retry the service", at=name, wait_s=round(wait_s, 2))

    def heartbeat(self, name: str, peer_name: str) -> None:
        sender, receiver = self.boards[name], self.boards[peer_name]
        domains = {b.identity.failure_domain for b in (sender, receiver)}
        now = self.session.now
        if self.partitioned and len(domains) > 1:
            self.session.event("heartbeat lost", sender=name, receiver=peer_name)
            apply(PeerCallFailed(VmId(peer_name)), sender.members, now)
            record_failed_call(sender.members.contact, now)
            until = sender.members.evidence[VmId(peer_name)].suspect_until
            self.session.decision("suspect", at=name, vm=peer_name, until=until)
            return
        self.session.event("heartbeat", sender=name, receiver=peer_name)
        for peer, board in ((sender, receiver), (receiver, sender)):
            me = peer.identity
            apply(
                PeerReported(me.vm_id, me.incarnation, peer.leaving), board.members, now
            )
            record_answer(board.members.contact, now)
            accepted = peer.profiles.accepted
            if accepted is not None and accepted.revision > board.profiles.revision:
                number, text = accepted.revision.number, accepted.text
                self.offer(board.identity.vm_id, number, text, me.vm_id)

    def record_state(self, *names: str) -> None:
        for name in names or self.boards:
            board, now = self.boards[name], self.session.now
            place = own_tree_place(board, now)
            self.session.decision(
                "state",
                at=name,
                revision=board.profiles.revision.number,
                refused=board.profiles.refused_revision.number,
                watches=place.watches,
                may_give_orders=may_give_orders(board, now),
                cut_off=is_cut_off(board.members.contact, now),
            )


@pytest.fixture
def processes(session: Any) -> Processes:
    session.at(100.0)
    processes = Processes(session)
    members = [vm(domain, number) for domain in DOMAINS for number in range(2)]
    processes.start({member.vm_id: member for member in members})
    processes.record_state()
    for name in processes.boards:
        processes.answer_from_service(name, 5, profiles_text("five"))
    return processes


def test_a_partition_and_its_heal(
    processes: Processes, session: Any, snapshot: SnapshotAssertion
) -> None:
    processes.run_until(110.0)
    session.event("partition", between="lag-a phc-a")
    processes.partitioned = True
    processes.answer_from_service("lag-a-0", 6, profiles_text("six"))
    processes.heartbeat("lag-a-0", "lag-a-1")
    processes.heartbeat("lag-a-0", "phc-a-0")
    processes.fail_service_call("phc-a-0")
    processes.heartbeat("phc-a-0", "lag-a-1")
    processes.heartbeat("phc-a-0", "phc-a-1")
    processes.record_state()
    processes.run_until(120.0)
    session.event("heal")
    processes.partitioned = False
    processes.heartbeat("phc-a-0", "lag-a-1")
    processes.heartbeat("phc-a-1", "phc-a-0")
    processes.record_state()
    assert session.text() == snapshot


def test_an_outage_of_the_platform(
    processes: Processes, session: Any, snapshot: SnapshotAssertion
) -> None:
    processes.run_until(110.0)
    session.event("outage of the platform")
    for now in (110.0, 111.0, 113.0, 117.0, 125.0, 3600.0, 7200.0):
        processes.run_until(now)
        processes.fail_service_call("lag-a-0")
    processes.heartbeat("lag-a-0", "lag-a-1")
    silent = processes.boards["lag-a-1"].profiles.service.is_silent(session.now)
    session.decision(
        "service silent", at="lag-a-1", limit_s=SERVICE_SILENT_S, is_=silent
    )
    processes.record_state("lag-a-0", "lag-a-1")

    session.event("pause", vm="lag-a-1", seconds=60)
    session.at(7260.0)
    record_tick(processes.boards["lag-a-0"].members.contact, 7260.0)
    paused_board = processes.boards["lag-a-1"]
    session.decision(
        "pause seen",
        at="lag-a-1",
        is_=record_tick(paused_board.members.contact, 7260.0),
    )
    processes.record_state("lag-a-1")
    processes.heartbeat("lag-a-1", "lag-a-0")
    processes.record_state("lag-a-1")

    session.event("platform back, stale")
    processes.answer_from_service("lag-a-0", 4, profiles_text("four"))
    processes.answer_from_service("lag-a-0", 6, INVALID)
    processes.answer_from_service("lag-a-0", 7, profiles_text("seven"))
    processes.heartbeat("lag-a-1", "lag-a-0")
    processes.record_state("lag-a-0", "lag-a-1")
    assert session.text() == snapshot
