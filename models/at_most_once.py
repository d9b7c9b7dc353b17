"""
Starts, tickets and tombstones between entries, one VM's agent and its restarts.

A message, once sent, stays: it may arrive at any later time, any number of
times, or never. That covers loss, duplication, delay and a paused receiver. The
agent's and the entries' decisions are the functions of the core package; only
the wire between them is modelled here.
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
from primroselever_core.runs.start_book import Standing, StartBook
from primroselever_core.runs.starting import (
    Start,
    StartState,
    resolve_run,
    said_of_resolve,
    said_of_start,
    start_run,
)
from primroselever_core.tickets.operation_ticket import OperationTicket
from primroselever_core.tickets.ticket_book import TicketBook

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .checking import State

VM = VmId("vm")
BODY = Fingerprint("body")
SERVICE = ServiceName("renewals")
WORKSPACE = WorkspaceName("ministry")
LAST_EPOCH = 4
LAST_INCARNATION = 2
WAITING = "waiting"
TICKETED = ("entry 1", "entry 2")
PLAIN = ("entry 3",)


class Message(NamedTuple):
    """A message on the wire; ``kind`` is start, resolve or one of the replies."""

    kind: str
    attempt: str
    incarnation: int = 0
    epoch: int = 0
    state: str = ""
    reason: str = ""


class Agent(NamedTuple):
    """An agent incarnation: its book, and the runs whose record it still has."""

    incarnation: int
    epoch: int
    low_water: int
    marks: frozenset[tuple[RunId, int, Standing]]
    records: frozenset[tuple[RunId, int]]


class World(NamedTuple):
    """
    A state: the agent, all messages ever sent, what attempts were told, runs.

    ``ran`` counts each identifier's runs on this VM, over all incarnations.
    """

    agent: Agent
    wire: frozenset[Message]
    attempts: tuple[tuple[str, str], ...]
    ran: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Parts:
    """The classes of the core package, or the mutants that stand in for them."""

    book: type[StartBook] = StartBook
    tickets: type[TicketBook] = TicketBook
    resolves_any_incarnation: bool = False


def ticket_at(incarnation: int, epoch: int) -> OperationTicket:
    """Return the one ticket that an incarnation issued in an epoch."""
    return OperationTicket(VM, Incarnation(incarnation), epoch, 1, BODY)


class Machine:
    """The transitions, for the attempts that take part."""

    def __init__(self, parts: Parts, attempts: tuple[str, ...]) -> None:
        self.parts = parts
        self.attempts = attempts

    def initial(self) -> World:
        """Return the state in which nothing was sent."""
        agent = Agent(1, 1, 1, frozenset(), frozenset())
        return World(agent, frozenset(), tuple((a, "") for a in self.attempts), ())

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return all that may happen next."""
        world = World(*state)
        return [
            *self.sends(world),
            *self.deliveries(world),
            *self.agent_steps(world),
        ]

    def sends(self, world: World) -> Iterator[tuple[str, State]]:
        """Yield the first sends of attempts, their resolves and their giving up."""
        for attempt, told in world.attempts:
            if told == "":
                yield from self.first_send(world, attempt)
            elif told == WAITING:
                yield f"{attempt} gives up", self.tell(world, attempt, Outcome.UNKNOWN)
                for sent in world.wire:
                    asks = sent.kind == "start" and sent.attempt == attempt
                    if asks and attempt in PLAIN:
                        ask = sent._replace(kind="resolve")
                        yield f"{attempt} resolves", self.send(world, ask)

    def first_send(self, world: World, attempt: str) -> Iterator[tuple[str, State]]:
        """Yield the start of an attempt, with what it has learnt by now."""
        agent = world.agent
        named = (agent.incarnation, agent.epoch)
        if attempt in TICKETED:
            named = (1, 1)
        start = Message("start", attempt, *named)
        waits = self.tell(world, attempt, WAITING)
        yield f"{attempt} starts", self.send(World(*waits), start)

    def deliveries(self, world: World) -> Iterator[tuple[str, State]]:
        """Yield the arrival of each message that is on the wire."""
        told = dict(world.attempts)
        for message in world.wire:
            if message.kind == "start":
                yield from self.on_start(world, message)
            elif message.kind == "resolve":
                yield from self.on_resolve(world, message)
            elif told[message.attempt] == WAITING:
                yield from self.on_reply(world, message)

    def on_start(self, world: World, message: Message) -> Iterator[tuple[str, State]]:
        """Yield what an agent does with a start: run it, or refuse it."""
        yield self.receive(world, message, refuses=False)
        yield self.receive(world, message, refuses=True)

    def receive(
        self, world: World, message: Message, refuses: bool
    ) -> tuple[str, State]:
        """Return what comes of a start at an agent that is busy or is not."""
        tickets, registry = self.unpack(world.agent)
        ran: list[RunId] = []

        def new_run(run_id: RunId, epoch: int) -> Run | NotRun:
            if refuses:
                return NotRun(Reason.OVERLOADED)
            ran.append(run_id)
            return new_record(run_id, epoch)

        said = start_run(start_of(message), tickets, registry, new_run, 0.0)
        state, reason = StartState.ACCEPTED, ""
        if not isinstance(said, Run):
            refused = isinstance(said, NotRun)
            state = StartState.REFUSED if refused else StartState.UNKNOWN
            reason = said.reason
        reply = Message("started", message.attempt, state=state, reason=reason)
        after = world._replace(agent=packed(world.agent, registry))
        for run_id in ran:
            after = after._replace(ran=counted(after.ran, run_id))
        return f"agent: start of {message.attempt}: {state}", self.send(after, reply)

    def on_resolve(self, world: World, message: Message) -> Iterator[tuple[str, State]]:
        """Yield what an agent says of a run that it is asked about."""
        tickets, registry = self.unpack(world.agent)
        asked = Incarnation(message.incarnation)
        if self.parts.resolves_any_incarnation:
            asked = tickets.incarnation
        run_id = RunId(message.attempt)
        said = resolve_run(run_id, asked, message.epoch, tickets, registry)
        state, reason = RunState.DONE, ""
        if not isinstance(said, Run):
            not_run = isinstance(said, NotRun)
            state = RunState.NOT_RUN if not_run else RunState.MISSING
            reason = said.reason
        reply = Message("resolved", message.attempt, state=state, reason=reason)
        after = world._replace(agent=packed(world.agent, registry))
        yield f"agent: resolve of {message.attempt}: {state}", self.send(after, reply)

    def on_reply(self, world: World, message: Message) -> Iterator[tuple[str, State]]:
        """Yield what an entry tells its caller after a reply."""
        judge = said_of_start if message.kind == "started" else said_of_resolve
        ending = judge(message.state, message.reason, None)
        outcome = Outcome.DONE if ending is None else ending.outcome
        label = f"{message.attempt} hears {message.kind}: {outcome}"
        yield label, self.tell(world, message.attempt, outcome)

    def agent_steps(self, world: World) -> Iterator[tuple[str, State]]:
        """Yield what the agent does by itself, and its replacement."""
        agent = world.agent
        for record in agent.records:
            kept = agent.records - {record}
            yield (
                f"agent forgets {record[0]}",
                world._replace(agent=agent._replace(records=kept)),
            )
        if agent.epoch < LAST_EPOCH:
            tickets, registry = self.unpack(agent)
            tickets.close_epoch()
            yield "agent closes an epoch", world._replace(agent=packed(agent, registry))
        if agent.incarnation < LAST_INCARNATION:
            fresh = Agent(agent.incarnation + 1, 1, 1, frozenset(), frozenset())
            yield "the VM is replaced", world._replace(agent=fresh)

    def unpack(self, agent: Agent) -> tuple[TicketBook, RunRegistry]:
        """Return an agent's records as the core package has them."""
        book = self.parts.book(
            newest_epoch=agent.epoch, oldest_open_epoch=agent.low_water
        )
        for run_id, epoch, standing in agent.marks:
            book.marks.setdefault(epoch, {})[run_id] = standing
        registry = RunRegistry(keep_s=0.0, book=book)
        registry.runs = {r: new_record(r, epoch) for r, epoch in agent.records}
        tickets = self.parts.tickets(VM, Incarnation(agent.incarnation), book)
        return tickets, registry

    def send(self, world: World, message: Message) -> State:
        """Return the state after a message was sent."""
        return world._replace(wire=world.wire | {message})

    def tell(self, world: World, attempt: str, outcome: str) -> State:
        """Return the state after an attempt was told something."""
        attempts = tuple((a, outcome if a == attempt else t) for a, t in world.attempts)
        return world._replace(attempts=attempts)


def start_of(message: Message) -> Start:
    """Return a start as the agent reads it."""
    ticketed = message.attempt in TICKETED
    return Start(
        run_id=RunId(message.attempt),
        incarnation=Incarnation(message.incarnation),
        epoch=message.epoch,
        fingerprint=BODY,
        needs_ticket=ticketed,
        ticket=ticket_at(message.incarnation, message.epoch) if ticketed else None,
    )


def new_record(run_id: RunId, epoch: int) -> Run:
    """Return the record of a run."""
    return Run(
        run_id=run_id,
        service=SERVICE,
        workspace=WORKSPACE,
        fingerprint=BODY,
        idempotent=True,
        deadline=1.0,
        answer=AnswerBuffer(limit_bytes=0),
        epoch=epoch,
    )


def packed(agent: Agent, registry: RunRegistry) -> Agent:
    """Return an agent with the records as a state holds them."""
    book = registry.book
    marks = frozenset(
        (run_id, epoch, standing)
        for epoch, found in book.marks.items()
        for run_id, standing in found.items()
    )
    records = frozenset((run_id, run.epoch) for run_id, run in registry.runs.items())
    return Agent(
        agent.incarnation, book.newest_epoch, book.oldest_open_epoch, marks, records
    )


def counted(
    ran: tuple[tuple[str, int], ...], run_id: str
) -> tuple[tuple[str, int], ...]:
    """Return the counts of runs with one more."""
    counts = dict(ran)
    counts[run_id] = counts.get(run_id, 0) + 1
    return tuple(sorted(counts.items()))


def runs_of(attempt: str, ran: tuple[tuple[str, int], ...]) -> int:
    """Return how often what an attempt stands for ran."""
    run_id = ticket_at(1, 1).run_id if attempt in TICKETED else attempt
    return dict(ran).get(run_id, 0)


def not_run_is_true(state: dict[str, Any]) -> bool:
    """Return whether no attempt that was told "not run" ran, now or later."""
    world = World(**state)
    return not any(
        told == Outcome.NOT_RUN and runs_of(attempt, world.ran)
        for attempt, told in world.attempts
    )


def at_most_once(state: dict[str, Any]) -> bool:
    """Return whether nothing ran twice, whoever sent it."""
    return all(count <= 1 for _, count in World(**state).ran)


class NoTombstone(StartBook):
    """A mutant: says that a run will not start, and does not remember it."""

    def tombstone(self, run_id: RunId, epoch: int) -> Standing:
        """Set no tombstone."""
        found = self.standing(run_id, epoch)
        return Standing.TOMBSTONE if found is Standing.NEW else found


class NoLowWater(StartBook):
    """A mutant: takes a start of a closed epoch for a new one."""

    def standing(self, run_id: RunId, epoch: int) -> Standing:
        """Look at the marks only."""
        return self.marks.get(epoch, {}).get(run_id, Standing.NEW)


class AnyIncarnation(TicketBook):
    """A mutant: takes tickets of every incarnation of its VM."""

    def check(
        self, ticket: OperationTicket | None, fingerprint: Fingerprint
    ) -> NotRun | Unknown | None:
        """Check the body only."""
        if ticket is not None:
            ticket = replace(ticket, incarnation=self.incarnation)
        return super().check(ticket, fingerprint)


def specification(
    name: str, attempts: tuple[str, ...], parts: Parts, refutes: str = ""
) -> Specification:
    """Return one specification of this module."""
    machine = Machine(parts, attempts)
    return Specification(
        name=name,
        fields=World._fields,
        initial=machine.initial(),
        transitions=machine.transitions,
        invariants={"not_run_is_true": not_run_is_true, "at_most_once": at_most_once},
        refutes=refutes,
    )


def specifications() -> list[Specification]:
    """Return what must hold, and the mutants that must be refuted."""
    no_tombstone = Parts(book=NoTombstone)
    no_low_water = Parts(book=NoLowWater)
    any_incarnation = Parts(tickets=AnyIncarnation)
    any_resolve = Parts(resolves_any_incarnation=True)
    not_run, once = "not_run_is_true", "at_most_once"
    return [
        specification("starts", PLAIN, Parts()),
        specification("tickets", TICKETED, Parts()),
        specification("starts: no tombstone", PLAIN, no_tombstone, not_run),
        specification("starts: no low-water mark", PLAIN, no_low_water, not_run),
        specification("starts: resolved elsewhere", PLAIN, any_resolve, not_run),
        specification("tickets: no tombstone", TICKETED, no_tombstone, not_run),
        specification("tickets: no low-water mark", TICKETED, no_low_water, once),
        specification("tickets: any incarnation", TICKETED, any_incarnation, once),
    ]
