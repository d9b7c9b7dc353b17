from __future__ import annotations

from random import Random

import pytest

from primroselever_core.identifiers import FailureDomain, GroupName, Region, VmId
from primroselever_core.membership.events import PeerCallFailed, apply
from primroselever_core.membership.section import MembersSection
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.outcomes import Reason, Unknown
from primroselever_core.profiles.watch import MAX_BACKOFF_S, ServiceContact
from primroselever_core.routing.ejection import (
    CONSECUTIVE_FAILURES,
    MAX_EJECTION_S,
    record_ending,
)
from primroselever_core.routing.pool import Pool
from primroselever_core.routing.section import Server

# A float cannot hold 2.0 to this power.
MANY_FAILURES = 1100


def make_agent(name: str) -> Server:
    vm = Vm(
        VmId(name),
        Role.AGENT,
        "127.0.0.1",
        9000,
        FailureDomain("lag-a"),
        Region("west"),
        GroupName("alerts"),
    )
    return Server(vm)


def test_a_service_that_fails_for_hours_is_retried_within_the_longest_delay() -> None:
    contact = ServiceContact()
    for now in range(MANY_FAILURES):
        contact.record_failure(float(now), Random(1))
    assert MANY_FAILURES - 1 < contact.retry_at <= MANY_FAILURES - 1 + MAX_BACKOFF_S


def test_a_vm_that_fails_for_hours_stays_suspect() -> None:
    section = MembersSection()
    for now in range(MANY_FAILURES):
        apply(PeerCallFailed(VmId("a")), section, float(now))
    assert section.evidence[VmId("a")].suspect_until > MANY_FAILURES


@pytest.mark.parametrize("ejections", [0, MANY_FAILURES])
def test_a_server_is_ejected_after_any_number_of_ejections(ejections: int) -> None:
    servers = [make_agent("a"), make_agent("b")]
    servers[0].ejections = ejections
    pool = Pool.of(servers)
    ending = Unknown(Reason.ENGINE_FAILED)
    ejected = [
        record_ending(pool, servers[0], ending, 0.0)
        for _ in range(CONSECUTIVE_FAILURES)
    ]
    assert ejected == [False] * (CONSECUTIVE_FAILURES - 1) + [True]
    assert 0.0 < servers[0].ejected_until <= MAX_EJECTION_S
