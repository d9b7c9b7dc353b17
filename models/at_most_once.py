"""
Starts, tickets and tombstones between entries and one VM's agent, with replacements.

A sent message may arrive at any later time, any number of times, or never. That covers
loss, duplication, delay and a paused receiver. The agent and the entries decide by the
functions of the core package. Only the messages between them are modelled here.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

from primroselever_core.identifiers import (
    Fingerprint,
    Incarnation,
    RunId,
    ServiceName,
    VmId,
    WorkspaceName,
)
from primroselever_core.outcomes import NotRun, Outcome, Reason, Unknown
from primroselever_core.runs.answer_buffer import AnswerBuffer
from primroselever_core.runs.registry import Run, RunRegistry, RunState
from primroselever_core.runs.start_book import StartBook, StartStanding
from primroselever_core.runs.starting import (
    Start,
    StartState,
    ending_of_resolve_reply,
    ending_of_start_reply,
    resolve_run,
    start_run,
)
from primroselever_core.tickets.operation_ticket import OperationTicket
from primroselever_core.tickets.ticket_book import TicketBook

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State

VM = VmId("vm")
BODY_FINGERPRINT = Fingerprint("body")
SERVICE = ServiceName("renewals")
WORKSPACE = WorkspaceName("ministry")
LAST_EPOCH = 4
LAST_INCARNATION = 2
WAITING = "waiting"
TICKETED_ATTEMPTS = ("entry 1", "entry 2")
PLAIN_ATTEMPTS = ("entry 3",)


class Message(NamedTuple):
    """A message; ``kind`` is start, resolve, or one of the replies to them."""

    kind: str
    attempt: str
    incarnation: int = 0
    epoch: int = 0
    state: str = ""
    reason: str = ""


class Agent(NamedTuple):
    """An incarnation of the agent: its start book and its remaining run records."""

    incarnation: int
    epoch: int
    low_water: int
    marks: frozenset[tuple[RunId, int, StartStanding]]
    records: frozenset[tuple[RunId, int]]


class GlobalState(NamedTuple):
    """
    A state of the model.

    ``wire`` contains all messages ever sent. ``attempts`` holds the status of each
    attempt: empty before its start, then waiting, then its outcome. ``run_counts``
    holds the number of runs of each identifier on this VM over all incarnations.
    """

    agent: Agent
    wire: frozenset[Message]
    attempts: tuple[tuple[str, str], ...]
    run_counts: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Implementation:
    """The classes of the core package, or mutants that replace them."""

    start_book_class: type[StartBook] = StartBook
    ticket_book_class: type[TicketBook] = TicketBook
    resolves_any_incarnation: bool = False


def make_ticket(incarnation: int, epoch: int) -> OperationTicket:
    """Return the only ticket that an incarnation issues in an epoch."""
    return OperationTicket(VM, Incarnation(incarnation), epoch, 1, BODY_FINGERPRINT)


class TransitionSystem:
    """The transitions for an implementation and a set of attempts."""

    def __init__(
        self, implementation: Implementation, attempts: tuple[str, ...]
    ) -> None:
        self.implementation = implementation
        self.attempts = attempts

    def initial(self) -> GlobalState:
        """Return the state before the first message."""
        agent = Agent(1, 1, 1, frozenset(), frozenset())
        return GlobalState(
            agent, frozenset(), tuple((attempt, "") for attempt in self.attempts), ()
        )

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        current = GlobalState(*state)
        return [
            *self.send_steps(current),
            *self.delivery_steps(current),
            *self.agent_steps(current),
        ]

    def send_steps(self, current: GlobalState) -> Iterator[tuple[str, State]]:
        """Yield the transitions in which attempts start, resolve or give up."""
        for attempt, status in current.attempts:
            if status == "":
                yield from self.first_send_steps(current, attempt)
            elif status == WAITING:
                yield (
                    f"{attempt} gives up",
                    self.set_status(current, attempt, Outcome.UNKNOWN),
                )
                for message in current.wire:
                    is_own_start = (
                        message.kind == "start" and message.attempt == attempt
                    )
                    if is_own_start and attempt in PLAIN_ATTEMPTS:
                        resolve_message = message._replace(kind="resolve")
                        yield (
                            f"{attempt} resolves",
                            self.add_message(current, resolve_message),
                        )

    def first_send_steps(
        self, current: GlobalState, attempt: str
    ) -> Iterator[tuple[str, State]]:
        """Yield the start of an attempt, with the learned incarnation and epoch."""
        agent = current.agent
        learned = (agent.incarnation, agent.epoch)
        if attempt in TICKETED_ATTEMPTS:
            learned = (1, 1)
        start = Message("start", attempt, *learned)
        waiting = self.set_status(current, attempt, WAITING)
        yield f"{attempt} starts", self.add_message(GlobalState(*waiting), start)

    def delivery_steps(self, current: GlobalState) -> Iterator[tuple[str, State]]:
        """Yield the delivery of each message that was sent."""
        statuses = dict(current.attempts)
        for message in current.wire:
            if message.kind == "start":
                yield from self.start_deliveries(current, message)
            elif message.kind == "resolve":
                yield from self.resolve_deliveries(current, message)
            elif statuses[message.attempt] == WAITING:
                yield from self.reply_deliveries(current, message)

    def start_deliveries(
        self, current: GlobalState, message: Message
    ) -> Iterator[tuple[str, State]]:
        """Yield the delivery of a start to an agent with and without free capacity."""
        yield self.deliver_start(current, message, is_overloaded=False)
        yield self.deliver_start(current, message, is_overloaded=True)

    def deliver_start(
        self, current: GlobalState, message: Message, is_overloaded: bool
    ) -> tuple[str, State]:
        """Return the transition in which the agent handles a start."""
        tickets, registry = self.load_agent(current.agent)
        started_runs: list[RunId] = []

        def new_run(run_id: RunId, epoch: int) -> Run | NotRun:
            if is_overloaded:
                return NotRun(Reason.OVERLOADED)
            started_runs.append(run_id)
            return make_run(run_id, epoch)

        decision = start_run(make_start(message), tickets, registry, new_run, 0.0)
        state, reason = StartState.ACCEPTED, ""
        if not isinstance(decision, Run):
            is_refused = isinstance(decision, NotRun)
            state = StartState.REFUSED if is_refused else StartState.UNKNOWN
            reason = decision.reason
        reply = Message("started", message.attempt, state=state, reason=reason)
        successor = current._replace(agent=save_agent(current.agent, registry))
        for run_id in started_runs:
            successor = successor._replace(
                run_counts=increment_run_count(successor.run_counts, run_id)
            )
        return f"agent: start of {message.attempt}: {state}", self.add_message(
            successor, reply
        )

    def resolve_deliveries(
        self, current: GlobalState, message: Message
    ) -> Iterator[tuple[str, State]]:
        """Yield the transition in which the agent resolves a run."""
        tickets, registry = self.load_agent(current.agent)
        incarnation = Incarnation(message.incarnation)
        if self.implementation.resolves_any_incarnation:
            incarnation = tickets.incarnation
        run_id = RunId(message.attempt)
        decision = resolve_run(run_id, incarnation, message.epoch, tickets, registry)
        state, reason = RunState.DONE, ""
        if not isinstance(decision, Run):
            is_not_run = isinstance(decision, NotRun)
            state = RunState.NOT_RUN if is_not_run else RunState.MISSING
            reason = decision.reason
        reply = Message("resolved", message.attempt, state=state, reason=reason)
        successor = current._replace(agent=save_agent(current.agent, registry))
        yield (
            f"agent: resolve of {message.attempt}: {state}",
            self.add_message(successor, reply),
        )

    def reply_deliveries(
        self, current: GlobalState, message: Message
    ) -> Iterator[tuple[str, State]]:
        """Yield the transition in which an entry learns the outcome from a reply."""
        interpret_reply = (
            ending_of_start_reply
            if message.kind == "started"
            else ending_of_resolve_reply
        )
        ending = interpret_reply(message.state, message.reason, None)
        outcome = Outcome.DONE if ending is None else ending.outcome
        label = f"{message.attempt} receives {message.kind}: {outcome}"
        yield label, self.set_status(current, message.attempt, outcome)

    def agent_steps(self, current: GlobalState) -> Iterator[tuple[str, State]]:
        """Yield the transitions of the agent itself, and the replacement of its VM."""
        agent = current.agent
        for record in agent.records:
            remaining_records = agent.records - {record}
            yield (
                f"agent forgets {record[0]}",
                current._replace(agent=agent._replace(records=remaining_records)),
            )
        if agent.epoch < LAST_EPOCH:
            tickets, registry = self.load_agent(agent)
            tickets.close_epoch()
            yield (
                "agent closes an epoch",
                current._replace(agent=save_agent(agent, registry)),
            )
        if agent.incarnation < LAST_INCARNATION:
            replacement = Agent(agent.incarnation + 1, 1, 1, frozenset(), frozenset())
            yield "the VM is replaced", current._replace(agent=replacement)

    def load_agent(self, agent: Agent) -> tuple[TicketBook, RunRegistry]:
        """Return the ticket book and registry that correspond to an agent's state."""
        book = self.implementation.start_book_class(
            newest_epoch=agent.epoch, oldest_open_epoch=agent.low_water
        )
        for run_id, epoch, standing in agent.marks:
            book.marks.setdefault(epoch, {})[run_id] = standing
        registry = RunRegistry(keep_s=0.0, book=book)
        registry.runs = {
            run_id: make_run(run_id, epoch) for run_id, epoch in agent.records
        }
        tickets = self.implementation.ticket_book_class(
            VM, Incarnation(agent.incarnation), book
        )
        return tickets, registry

    def add_message(self, current: GlobalState, message: Message) -> State:
        """Return the state after a message is sent."""
        return current._replace(wire=current.wire | {message})

    def set_status(self, current: GlobalState, attempt: str, status: str) -> State:
        """Return the state with a new status of an attempt."""
        attempts = tuple(
            (name, status if name == attempt else old_status)
            for name, old_status in current.attempts
        )
        return current._replace(attempts=attempts)


def make_start(message: Message) -> Start:
    """Return the start that the agent reads from a message."""
    ticketed = message.attempt in TICKETED_ATTEMPTS
    return Start(
        run_id=RunId(message.attempt),
        incarnation=Incarnation(message.incarnation),
        epoch=message.epoch,
        fingerprint=BODY_FINGERPRINT,
        needs_ticket=ticketed,
        ticket=make_ticket(message.incarnation, message.epoch) if ticketed else None,
    )


def make_run(run_id: RunId, epoch: int) -> Run:
    """Return the record of a run."""
    return Run(
        run_id=run_id,
        service=SERVICE,
        workspace=WORKSPACE,
        fingerprint=BODY_FINGERPRINT,
        idempotent=True,
        deadline=1.0,
        answer=AnswerBuffer(limit_bytes=0),
        epoch=epoch,
    )


def save_agent(agent: Agent, registry: RunRegistry) -> Agent:
    """Return the agent with the marks and records of a registry."""
    book = registry.book
    marks = frozenset(
        (run_id, epoch, standing)
        for epoch, standings in book.marks.items()
        for run_id, standing in standings.items()
    )
    records = frozenset((run_id, run.epoch) for run_id, run in registry.runs.items())
    return Agent(
        agent.incarnation, book.newest_epoch, book.oldest_open_epoch, marks, records
    )


def increment_run_count(
    run_counts: tuple[tuple[str, int], ...], run_id: str
) -> tuple[tuple[str, int], ...]:
    """Return the counts with one more run of an identifier."""
    counts = dict(run_counts)
    counts[run_id] = counts.get(run_id, 0) + 1
    return tuple(sorted(counts.items()))


def count_runs(attempt: str, run_counts: tuple[tuple[str, int], ...]) -> int:
    """Return how often the run of an attempt has started."""
    run_id = make_ticket(1, 1).run_id if attempt in TICKETED_ATTEMPTS else attempt
    return dict(run_counts).get(run_id, 0)


def not_run_is_true(state: dict[str, Any]) -> bool:
    """Return whether no attempt with the outcome "not run" has run."""
    current = GlobalState(**state)
    return not any(
        status == Outcome.NOT_RUN and count_runs(attempt, current.run_counts)
        for attempt, status in current.attempts
    )


def at_most_once(state: dict[str, Any]) -> bool:
    """Return whether no identifier ran more than once."""
    return all(count <= 1 for _, count in GlobalState(**state).run_counts)


class NoTombstone(StartBook):
    """A mutant that reports a run as never starting without recording a tombstone."""

    def mark_tombstone(self, run_id: RunId, epoch: int) -> StartStanding:
        """Return the standing after a tombstone without recording it."""
        standing = self.standing(run_id, epoch)
        return StartStanding.TOMBSTONE if standing is StartStanding.NEW else standing


class NoLowWater(StartBook):
    """A mutant that accepts starts of closed epochs as new."""

    def standing(self, run_id: RunId, epoch: int) -> StartStanding:
        """Return the recorded mark and ignore the low-water mark."""
        return self.marks.get(epoch, {}).get(run_id, StartStanding.NEW)


class AnyIncarnation(TicketBook):
    """A mutant that accepts tickets of all incarnations of its VM."""

    def check(
        self, ticket: OperationTicket | None, fingerprint: Fingerprint
    ) -> NotRun | Unknown | None:
        """Check a ticket without its incarnation."""
        if ticket is not None:
            ticket = replace(ticket, incarnation=self.incarnation)
        return super().check(ticket, fingerprint)


def specification(
    name: str,
    attempts: tuple[str, ...],
    implementation: Implementation,
    expected_violation: str = "",
) -> Specification:
    """Return a specification; a mutant names the violation that it must cause."""
    system = TransitionSystem(implementation, attempts)
    return Specification(
        name=name,
        fields=GlobalState._fields,
        initial=system.initial(),
        transitions=system.transitions,
        invariants={"not_run_is_true": not_run_is_true, "at_most_once": at_most_once},
        expected_violation=expected_violation,
    )


def specifications() -> list[Specification]:
    """Return the specifications that must hold and the mutants to be refuted."""
    no_tombstone = Implementation(start_book_class=NoTombstone)
    no_low_water = Implementation(start_book_class=NoLowWater)
    any_incarnation = Implementation(ticket_book_class=AnyIncarnation)
    any_incarnation_resolve = Implementation(resolves_any_incarnation=True)
    not_run, once = "not_run_is_true", "at_most_once"
    return [
        specification("starts", PLAIN_ATTEMPTS, Implementation()),
        specification("tickets", TICKETED_ATTEMPTS, Implementation()),
        specification("starts: no tombstone", PLAIN_ATTEMPTS, no_tombstone, not_run),
        specification(
            "starts: no low-water mark", PLAIN_ATTEMPTS, no_low_water, not_run
        ),
        specification(
            "starts: resolved elsewhere",
            PLAIN_ATTEMPTS,
            any_incarnation_resolve,
            not_run,
        ),
        specification(
            "tickets: no tombstone", TICKETED_ATTEMPTS, no_tombstone, not_run
        ),
        specification(
            "tickets: no low-water mark", TICKETED_ATTEMPTS, no_low_water, once
        ),
        specification(
            "tickets: any incarnation", TICKETED_ATTEMPTS, any_incarnation, once
        ),
    ]
