"""Sessions of routing and admission, recorded as readable snapshots."""

from __future__ import annotations

from random import Random

import pytest

from primroselever_core.admission.admission import Admission, Admitted
from primroselever_core.admission.fair_queue import WaitingRun
from primroselever_core.admission.limit import ConcurrencyLimit
from primroselever_core.board import Blackboard
from primroselever_core.budgets import TokenBucket
from primroselever_core.identifiers import (
    FailureDomain,
    Fingerprint,
    GroupName,
    Incarnation,
    Region,
    RunId,
    VmId,
    WorkspaceName,
)
from primroselever_core.identity import Identity
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.outcomes import Done, NotRun, Reason, Unknown
from primroselever_core.routing.choose import Choice
from primroselever_core.routing.router import Router, RoutingRequest, prefix_of
from primroselever_core.suspects.section import CrashId, SuspectsSection

GROUP = GroupName("alerts")
DOMAINS = {"lag-a": 3, "abj-a": 1}


def new_router(entry: str) -> Router:
    board = Blackboard(
        Identity(VmId(entry), FailureDomain("lag-a"), Region("west"), Incarnation(1))
    )
    for domain, count in DOMAINS.items():
        for number in range(count):
            vm_id = VmId(f"{domain}-{number}")
            board.members.vms[vm_id] = Vm(
                vm_id,
                Role.AGENT,
                "127.0.0.1",
                9000,
                FailureDomain(domain),
                Region("west"),
                GROUP,
            )
    return Router(board, Random(3), TokenBucket.full(10_000.0, 10_000.0, 0.0))


def request(body: str, workspace: str = "ministry") -> RoutingRequest:
    name = WorkspaceName(workspace)
    prefix = prefix_of(name, body.encode()[:8])
    return RoutingRequest(GROUP, name, Fingerprint(body), 5, prefix, len(body))


def route(session, router, body, excluded=()):
    """Record a request and its routing decision; return the server, if any."""
    wanted = request(body)
    session.event("request", entry=router.board.identity.vm_id, body=body)
    choice = router.choose_for_request(wanted, excluded, session.now)
    if not isinstance(choice, Choice):
        wait = f"{choice.retry_after_s:g}"
        session.decision("refuse", reason=choice.reason, retry_after_s=wait)
        return None
    router.record_start(wanted, choice.server)
    vm_id = choice.server.vm.vm_id
    session.decision("route", choice=vm_id, reason=repr(choice.reason))
    return choice.server


def end_run(session, router, body, server, ending):
    """Record the end of a run, and the ejection of its server if one follows."""
    reason = getattr(ending, "reason", "whole")
    vm_id = server.vm.vm_id
    session.event("ended", vm=vm_id, outcome=ending.outcome, reason=reason)
    if router.record_end(request(body), server, ending, session.now):
        until = f"{server.ejected_until:g}"
        session.decision("eject", vm=vm_id, until=until)


def serve(session, router, body):
    server = route(session, router, body)
    end_run(session, router, body, server, Done(120, ""))
    return server


def test_an_ordinary_hour(session, snapshot):
    router = new_router("entry-0")
    for minute in range(3):
        session.at(60.0 * minute)
        for body in ("tender 1", "tender 2", "digest 7"):
            serve(session, router, body)
    session.at(900.0)
    leaving = router.board.servers.servers[VmId("lag-a-1")]
    session.event("reply", vm="lag-a-1", leaving=True)
    leaving.apply_report(in_flight=2, leaving=True, now=session.now)
    for body in ("tender 1", "tender 2", "digest 7"):
        serve(session, router, body)
    session.at(1800.0)
    session.event("the same address, a new incarnation", vm="lag-a-1")
    serve(session, router, "tender 2")
    session.at(2400.0)
    for _ in range(3):
        server = route(session, router, "tender 1")
        end_run(session, router, "tender 1", server, Unknown(Reason.ENGINE_FAILED))
    serve(session, router, "tender 1")
    session.at(2403.0)
    serve(session, router, "tender 1")
    session.at(3000.0)
    session.event("no server of the domain answers", seconds=2)
    for server in router.board.servers.servers.values():
        if server.vm.failure_domain == "lag-a":
            server.avoid_until = session.now + 2.0
    for _ in range(3):
        serve(session, router, "tender 1")
    session.at(3003.0)
    serve(session, router, "tender 1")
    assert session.text() == snapshot


def record_crash(session, agent: SuspectsSection, vm_id, present):
    """Record an engine crash and the standing of each request that was running."""
    session.event("engine crashed", vm=vm_id, present=",".join(present))
    fingerprints = [Fingerprint(body) for body in present]
    agent.record_crash(CrashId(f"{vm_id}/1/1"), fingerprints, session.now)
    for body, fingerprint in zip(present, fingerprints, strict=True):
        standing = agent.standing(fingerprint, session.now)
        session.decision("suspect", request=body, standing=standing)


def share_suspects(session, section, receiver):
    """Merge the suspect records of one process into those of another."""
    for record in list(section.records.values()):
        receiver.merge(record, session.now)


def test_a_suspect_request(session, snapshot):
    entries = [new_router(f"entry-{number}") for number in range(3)]
    agents: dict[str, SuspectsSection] = {}
    for number, entry in enumerate(entries[:2]):
        session.at(10.0 * number)
        server = route(session, entry, "poison")
        agent = agents[server.vm.vm_id] = SuspectsSection()
        share_suspects(session, entry.board.suspects, agent)
        present = ["poison", "beside 1"] if number == 0 else ["poison"]
        record_crash(session, agent, server.vm.vm_id, present)
        failed = Unknown(Reason.ENGINE_FAILED)
        end_run(session, entry, "poison", server, failed)
        server.avoid_until = session.now + 15.0
        for other in entries:
            session.event(
                "heartbeat", vm=server.vm.vm_id, to=other.board.identity.vm_id
            )
            share_suspects(session, agent, other.board.suspects)
            other.board.servers.get_server(server.vm).avoid_until = server.avoid_until
    session.at(21.0)
    for entry in entries:
        route(session, entry, "poison")
    server = route(session, entries[2], "beside 1")
    section = entries[2].board.suspects
    fingerprint = Fingerprint("beside 1")
    cleared = section.record_success(fingerprint, section.known_crashes(fingerprint))
    end_run(session, entries[2], "beside 1", server, Done(120, ""))
    standing = section.standing(fingerprint, session.now)
    session.decision("suspect", request="beside 1", cleared=cleared, standing=standing)
    session.at(600.0)
    route(session, entries[0], "poison")
    assert session.text() == snapshot


@pytest.fixture
def admission() -> Admission:
    limit = ConcurrencyLimit(highest=2, lowest=2, value=2)
    return Admission(limit, mean_service_s=1.0)


def test_an_overload(session, snapshot, admission):
    numbers = iter(range(100))

    def offer(workspace, priority, seconds):
        number = next(numbers)
        run = WaitingRun(
            priority,
            session.now + seconds,
            number,
            RunId(f"{workspace}/{number}"),
            WorkspaceName(workspace),
            Fingerprint(str(number)),
        )
        session.event("start", run=run.run_id, priority=priority, deadline_in_s=seconds)
        verdict = admission.offer(run, 1.0, False, session.now)
        if isinstance(verdict, Admitted):
            session.decision("admit", run=run.run_id, verdict=verdict)
        else:
            record_refusal(run, verdict)
        record_refusals()

    def record_refusal(run, refusal: NotRun):
        wait = f"{refusal.retry_after_s:.2f}"
        session.decision(
            "refuse", run=run.run_id, reason=refusal.reason, retry_after_s=wait
        )

    def record_refusals():
        for refused in admission.take_refused():
            record_refusal(refused.run, refused.refusal)

    def finish_run():
        run_id = next(iter(admission.in_flight))
        session.event("ended", run=run_id)
        admission.record_end(run_id, True, session.now)
        for run in admission.start_waiting_runs(session.now):
            session.decision("admit", run=run.run_id, verdict="its turn")
        record_refusals()

    for _ in range(8):
        offer("large", 5, 4.0)
    offer("small", 5, 4.0)
    session.at(0.5)
    offer("large", 1, 4.0)
    offer("small", 8, 1.2)
    for second in range(1, 5):
        session.at(float(second))
        for _ in range(min(2, len(admission.in_flight))):
            finish_run()
    assert session.text() == snapshot
