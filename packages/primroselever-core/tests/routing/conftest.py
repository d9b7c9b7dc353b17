from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from primroselever_core.board import Blackboard
from primroselever_core.budgets import TokenBucket
from primroselever_core.identifiers import (
    FailureDomain,
    Fingerprint,
    GroupName,
    Incarnation,
    Region,
    VmId,
    WorkspaceName,
)
from primroselever_core.identity import Identity
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.routing.router import Router, RoutingRequest, prefix_of

HOME, AWAY = FailureDomain("lag-a"), FailureDomain("phc-a")
LINK_BYTES = 10_000.0
NewRouter = Callable[..., Router]


def vm_in(domain: FailureDomain, number: int) -> Vm:
    return Vm(
        VmId(f"{domain}-{number}"),
        Role.AGENT,
        "127.0.0.1",
        9000 + number,
        domain,
        Region("west"),
        GroupName("alerts"),
    )


@pytest.fixture
def new_router() -> NewRouter:
    """Return a function that creates an entry's router with the given servers."""

    def new(home: int = 6, away: int = 2, seed: int = 1) -> Router:
        identity = Identity(
            VmId(f"entry-{seed}"), HOME, Region("west"), Incarnation(seed)
        )
        board = Blackboard(identity)
        vms = [vm_in(HOME, n) for n in range(home)]
        vms += [vm_in(AWAY, n) for n in range(away)]
        board.members.vms = {vm.vm_id: vm for vm in vms}
        link = TokenBucket.full(LINK_BYTES, LINK_BYTES, 0.0)
        return Router(board, Random(seed), link)

    return new


@pytest.fixture
def wanted() -> Callable[..., RoutingRequest]:
    """Return a function that creates a request to route."""

    def new(
        body: str = "body", workspace: str = "ministry", size_bytes: int = 100
    ) -> RoutingRequest:
        name = WorkspaceName(workspace)
        return RoutingRequest(
            GroupName("alerts"),
            name,
            Fingerprint(f"{workspace}/{body}"),
            5,
            prefix_of(name, body[:4].encode()),
            size_bytes,
        )

    return new
