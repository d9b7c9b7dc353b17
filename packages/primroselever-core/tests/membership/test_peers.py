from __future__ import annotations

from random import Random

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
from primroselever_core.membership.events import PeerCallFailed, VmListReceived, apply
from primroselever_core.membership.peers import (
    SPILL_SUBSET_SIZE,
    connected_servers,
    heartbeat_peers,
    own_tree_place,
    refresh_subsets,
)
from primroselever_core.membership.subset import SUBSET_SIZE
from primroselever_core.membership.vm import Role, Vm

GROUP = GroupName("alerts")


def vm(domain: str, number: int, role: Role) -> Vm:
    return Vm(
        VmId(f"{domain}-{role}-{number}"),
        role,
        "127.0.0.1",
        1,
        FailureDomain(domain),
        Region("west"),
        GROUP if role is Role.AGENT else GroupName(""),
    )


def fleet(agents: int) -> dict[VmId, Vm]:
    vms = [vm(d, n, Role.AGENT) for d in ("lag-a", "abj-a") for n in range(agents)]
    vms += [vm("lag-a", n, Role.ENTRY) for n in range(10)]
    return {member.vm_id: member for member in vms}


@pytest.fixture
def board() -> Blackboard:
    me = vm("lag-a", 0, Role.ENTRY)
    board = Blackboard(Identity(me.vm_id, me.failure_domain, me.region, Incarnation(1)))
    apply(VmListReceived(fleet(60)), board.members, 0.0)
    return board


def test_an_entry_connects_to_a_fixed_number_of_servers(board: Blackboard) -> None:
    domains = [server.failure_domain for server in connected_servers(board, GROUP)]
    assert domains.count(FailureDomain("lag-a")) == SUBSET_SIZE
    assert domains.count(FailureDomain("abj-a")) == SPILL_SUBSET_SIZE


def test_a_removed_server_is_replaced_in_the_subset(board: Blackboard) -> None:
    removed = connected_servers(board, GROUP)[0].vm_id
    remaining = {
        vm_id: member for vm_id, member in fleet(60).items() if vm_id != removed
    }
    apply(VmListReceived(remaining), board.members, 1.0)
    assert removed not in {server.vm_id for server in connected_servers(board, GROUP)}
    assert list(refresh_subsets(board))
    assert len(connected_servers(board, GROUP)) == SUBSET_SIZE + SPILL_SUBSET_SIZE
    assert not list(refresh_subsets(board))


def test_heartbeats_are_few_and_skip_suspect_vms(board: Blackboard) -> None:
    random = Random(1)
    for member in list(board.members.vms.values()):
        if member.role is Role.AGENT and member.failure_domain == "lag-a":
            apply(PeerCallFailed(member.vm_id), board.members, 1.0)
    for _ in range(50):
        peers = heartbeat_peers(board, random, 1.5)
        local = [p for p in peers if p.failure_domain == "lag-a"]
        assert len(local) <= 1
        assert all(p.role is Role.ENTRY for p in local)
        assert (len(peers) > len(local)) == own_tree_place(board, 1.5).watches
