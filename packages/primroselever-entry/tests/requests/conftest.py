"""Entries and real agent handlers in one process, with calls that fail on demand."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import eventlet
import pytest

from primroselever_agent.admission.controller import AdmissionController
from primroselever_agent.admission.crash_watch import CrashWatch
from primroselever_agent.exceptions import BackendError
from primroselever_agent.runs.answers import AnswerReaders
from primroselever_agent.runs.handler import AgentHandler
from primroselever_agent.runs.runner import Runner
from primroselever_agent.runs.ticket_issuer import TicketIssuer
from primroselever_agent.settings import AgentSettings
from primroselever_core.admission.admission import Admission
from primroselever_core.admission.limit import ConcurrencyLimit
from primroselever_core.board import Blackboard
from primroselever_core.budgets import TokenBucket
from primroselever_core.identifiers import (
    FailureDomain,
    GroupName,
    Incarnation,
    Region,
    ServiceName,
    VmId,
    WorkspaceName,
)
from primroselever_core.identity import Identity
from primroselever_core.membership.vm import Role, Vm
from primroselever_core.outcomes import Ending, Reason
from primroselever_core.profiles.model import Service
from primroselever_core.profiles.parse import parse_profiles
from primroselever_core.profiles.revision import AcceptedProfiles, Revision
from primroselever_core.routing.router import Router
from primroselever_core.runs.fingerprint import fingerprint_of
from primroselever_core.runs.registry import RunRegistry
from primroselever_core.tickets.signing import TicketSigner
from primroselever_core.tickets.ticket_book import TicketBook
from primroselever_entry.requests.caller_request import CallerRequest
from primroselever_entry.requests.flow import RequestFlow
from primroselever_entry.routing.request_router import RequestRouter
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.handler import NodeHandler
from primroselever_node.rpc.publications import Publications

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from primroselever_core.runs.registry import Run

PROFILES = """{"services": [
    {"name": "summaries", "group": "portal", "idempotent": true},
    {"name": "renewals", "group": "portal", "idempotent": false}
]}"""
HOST = "127.0.0.1"
DOMAIN, REGION = FailureDomain("lag-a"), Region("west")


@dataclass
class FakeBackend:
    """
    Runs calls immediately.

    A call raises ``failure`` if it is set; ``before_last_piece`` is called before the
    last piece of an answer.
    """

    pieces: tuple[bytes, ...] = (b"one ", b"two ", b"three")
    run_bodies: list[bytes] = field(default_factory=list)
    cancelled_run_ids: list[str] = field(default_factory=list)
    failure: BackendError | None = None
    before_last_piece: Callable[[], None] = lambda: None

    def run(self, run: Run, body: bytes, priority: int) -> Iterator[bytes]:
        if self.failure is None or not self.failure.never_ran:
            self.run_bodies.append(body)
        if self.failure is not None:
            raise self.failure
        yield from self.pieces[:-1]
        self.before_last_piece()
        yield self.pieces[-1]

    def cancel(self, run: Run) -> None:
        self.cancelled_run_ids.append(run.run_id)


class FakeAgent:
    """A VM with the real handler of an agent and a fake back end."""

    def __init__(self, vm_id: str, port: int) -> None:
        self.vm = Vm(
            VmId(vm_id), Role.AGENT, HOST, port, DOMAIN, REGION, GroupName("portal")
        )
        self.backend = FakeBackend()
        self.incarnation = 0
        self.restart()

    def restart(self) -> None:
        """Replace the agent by its next incarnation at the same address."""
        self.incarnation += 1
        incarnation = Incarnation(self.incarnation)
        board = Blackboard(Identity(self.vm.vm_id, DOMAIN, REGION, incarnation))
        self.board = board
        self.registry = board.runs = RunRegistry(keep_s=60.0)
        book = TicketBook(self.vm.vm_id, incarnation, self.registry.book)
        settings = AgentSettings.model_validate(
            {
                "vm_id": self.vm.vm_id,
                "failure_domain": DOMAIN,
                "region": REGION,
                "rpc": {"port": 0},
                "admin": {"port": 0},
                "platform": {"configuration_service": "", "vm_list": ""},
                "group": "portal",
                "backend": {"kind": "plain", "url": ""},
            }
        )
        runner = Runner(self.registry, self.backend, AnswerReaders(self.registry))
        control = NodeHandler(board, Publications(board))
        engine = SimpleNamespace(is_reachable=lambda: True)
        crashes = CrashWatch(board, engine, None, control.own_heartbeat, None)
        limit = ConcurrencyLimit(settings.max_in_flight)
        self.handler = AgentHandler(
            board,
            self.registry,
            runner,
            TicketIssuer(book, TicketSigner(b"a key of the tests")),
            None,  # type: ignore[arg-type]
            settings,
            control,
            AdmissionController(board, runner, Admission(limit), crashes),
        )


class FakeClientPool:
    """
    Calls the handlers in this process; the next calls of a method may fail.

    ``faults`` maps a method to the faults of its next calls: ``never_sent``,
    ``request_lost`` (the call is kept in ``delayed_calls``) or ``reply_lost``.
    ``call_hooks`` maps a method to a function that is called once, before the next
    call of the method.
    """

    def __init__(self, agents: list[FakeAgent]) -> None:
        self.agents = {(a.vm.address, a.vm.rpc_port): a for a in agents}
        self.faults: dict[str, list[str]] = defaultdict(list)
        self.delayed_calls: list[Callable[[], Any]] = []
        self.calls: list[str] = []
        self.call_hooks: dict[str, Callable[[], None]] = {}
        self.modify_reply: Callable[[str, Any], None] = lambda method, reply: None

    def call(
        self, address: tuple[str, int], method: str, *args: Any, timeout_s: float
    ) -> Any:
        eventlet.sleep(0)
        self.calls.append(method)
        if method in self.call_hooks:
            self.call_hooks.pop(method)()
        agent = self.agents[address]
        fault = self.faults[method].pop(0) if self.faults[method] else ""
        if fault == "never_sent":
            raise NeverSentError(method)
        if fault == "request_lost":
            self.delayed_calls.append(lambda: getattr(agent.handler, method)(*args))
            raise LostReplyError(method)
        reply = getattr(agent.handler, method)(*args)
        if fault == "reply_lost":
            raise LostReplyError(method)
        self.modify_reply(method, reply)
        return reply

    def close_idle_connections(self, address: tuple[str, int]) -> None:
        """Do nothing, since there are no connections."""


@dataclass
class Fleet:
    """Agents and the client pool that entries call them with."""

    agents: list[FakeAgent]
    client_pool: FakeClientPool

    def new_request_flow(self) -> RequestFlow:
        """Return the request flow of a new entry."""
        identity = Identity(VmId("entry"), DOMAIN, REGION, Incarnation(99))
        board = Blackboard(identity)
        board.profiles.accepted = AcceptedProfiles(
            Revision.of(1, PROFILES), PROFILES, parse_profiles(PROFILES, "profiles")
        )
        board.members.vms = {agent.vm.vm_id: agent.vm for agent in self.agents}
        spill_budget = TokenBucket.full(1e9, 1e9, clock.now())
        router = RequestRouter(Router(board, Random(7), spill_budget))
        client_pool: Any = self.client_pool
        return RequestFlow(board, client_pool, Random(7), 1.0, router)

    def count_runs(self) -> int:
        """Return how many calls the back ends started to run."""
        return sum(len(agent.backend.run_bodies) for agent in self.agents)


@pytest.fixture
def fleet() -> Fleet:
    agents = [FakeAgent("portal-1", 1), FakeAgent("portal-2", 2)]
    return Fleet(agents, FakeClientPool(agents))


@pytest.fixture
def only_agent(fleet: Fleet) -> FakeAgent:
    """Remove all agents but the first; return it."""
    del fleet.agents[1:]
    return fleet.agents[0]


def new_request(
    service: str = "summaries",
    body: bytes = b"tender 12",
    ticket: str = "",
    key: str = "",
    workspace: str = "ministry",
    deadline: float | None = None,
) -> CallerRequest:
    """Return a caller's request."""
    return CallerRequest(
        service=ServiceName(service),
        workspace=WorkspaceName(workspace),
        body=body,
        deadline=clock.now() + 5.0 if deadline is None else deadline,
        priority=5,
        idempotency_key=key,
        ticket=ticket,
        fingerprint=fingerprint_of(service, workspace, body),
    )


def new_service(name: str) -> Service:
    """Return the published service of a name."""
    return Service(name=name, group="portal", idempotent=name == "summaries")


def collect_answer(flow: RequestFlow, request: CallerRequest) -> tuple[bytes, Ending]:
    """Return the whole answer that was forwarded, and the ending."""
    *pieces, ending = flow.answer_request(request, new_service(request.service))
    return b"".join(pieces), ending


def engine_failure(never_ran: bool = False) -> BackendError:
    """Return the error of a back end whose connection was closed."""
    return BackendError(Reason.ENGINE_FAILED, "the connection was closed", never_ran)
