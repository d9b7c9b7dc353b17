"""Routing while a failure domain is cut off, and after the partition heals."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from primroselever_core.outcomes import Done, NotRun, Reason
from primroselever_core.routing.choose import Choice

if TYPE_CHECKING:
    from primroselever_core.identifiers import VmId
    from primroselever_core.routing.router import Router

RATE_PER_S = 10
AVOID_S = 1.0
ANSWER_BYTES = 100
REQUEST_BYTES = 100


@dataclass(slots=True)
class Callers:
    """Callers of an entry; requests reach all servers outside the cut-off domain."""

    router: Router
    wanted: object
    sent: list[str] = field(default_factory=list)
    starts: list[tuple[float, str, bool]] = field(default_factory=list)
    done: int = 0

    def run(self, begin: int, end: int, cut_domain: str) -> None:
        """Send requests from second ``begin`` to ``end`` with one domain cut off."""
        for number in range(begin * RATE_PER_S, end * RATE_PER_S):
            self.request(number / RATE_PER_S, cut_domain)

    def request(self, now: float, cut_domain: str) -> None:
        """Send a request and retry it while the retry budget allows."""
        router, wanted = self.router, self.wanted
        router.retries.credit_request()
        self.sent.append("")
        excluded: set[VmId] = set()
        while True:
            choice = router.choose_for_request(wanted, excluded, now)
            if not isinstance(choice, Choice):
                return
            server = choice.server
            domain = server.vm.failure_domain
            reached = domain != cut_domain
            self.starts.append((now, domain, reached))
            router.record_start(wanted, server)
            if reached:
                self.done += 1
                router.record_end(wanted, server, Done(ANSWER_BYTES, ""), now)
                return
            server.avoid_until = now + AVOID_S
            excluded.add(server.vm.vm_id)
            router.record_end(wanted, server, NotRun(Reason.SERVER_LOST, AVOID_S), now)
            if not router.retries.spend_retry():
                return


@pytest.fixture
def callers(new_router, wanted) -> Callers:
    return Callers(new_router(home=4, away=4), wanted(size_bytes=REQUEST_BYTES))


def test_no_retry_storm_during_a_partition_or_after_it_heals(callers):
    callers.run(0, 10, cut_domain="")
    callers.run(10, 40, cut_domain="lag-a")
    starts_before = len(callers.starts)
    callers.run(40, 60, cut_domain="")
    assert len(callers.starts) <= 1.1 * len(callers.sent) + 3
    assert len(callers.starts) - starts_before <= 20 * RATE_PER_S


def test_spill_over_stays_within_the_link_budget_and_ends_with_the_partition(callers):
    callers.router.spill_budget.rate = callers.router.spill_budget.capacity = 1000.0
    callers.router.spill_budget.level = 1000.0
    callers.run(0, 30, cut_domain="lag-a")
    spilled = [at for at, domain, _ in callers.starts if domain == "phc-a"]
    assert len(spilled) * (REQUEST_BYTES + ANSWER_BYTES) <= 1000.0 * 31
    # Once per second, requests try the own domain again before they spill over.
    assert len(spilled) >= 20
    callers.run(30, 40, cut_domain="")
    domains_after_heal = {
        domain for at, domain, _ in callers.starts if at > 30 + AVOID_S
    }
    assert domains_after_heal == {"lag-a"}


def test_a_domain_that_is_cut_off_serves_its_own_callers(callers):
    callers.run(0, 10, cut_domain="phc-a")
    assert callers.done == len(callers.sent)
