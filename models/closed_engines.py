"""
When a request begins on weights that lapsed while a link delayed the request.

Time passes in ticks. The store acknowledges a version. Entries send the agent on the VM
of an engine advice with the age of a proof that the version was absent. The link delays
advice and the request, each by any amount. The agent adds the measured transit of the
advice; if it is unknown, the advice proves nothing. Before the older weights lapse, the
agent orders the engine to close. An order takes up to a tick, and one order and any
answer may be lost. The agent repeats an order without an answer. It may be stopped for
a time or restart, after which it has to learn of the version again.

Allowed exceptions, in which the engine may begin requests late: when ``CLOSE_TICKS``
are left until the bound, the agent has no proof with a known transit, or it is stopped
then. Time does not pass that point in these states. Also excluded are an agent that is
stopped or restarts while it closes the engine, more than ``MAX_LOSSES`` lost orders,
and clocks that run at different speeds. Time limits and cancellations of requests are
left out: the property must hold without them.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .checking import State

NONE = -1  # the age of what has not happened or does not exist
MAX_LOSSES = 1
# One tick for an order that is lost, and one for its repetition.
CLOSE_TICKS = 2


class Advice(NamedTuple):
    """Advice on its way: the age of the proof at sending, and its transit in ticks."""

    age: int = NONE
    transit: int = 0


class Request(NamedTuple):
    """A request on the older weights; ``begun_at`` is the age of the newer version."""

    arrived: bool = False
    begun_at: int = NONE


class GlobalState(NamedTuple):
    """
    A state of the model; ages are in ticks.

    ``acknowledged`` is the age of the newer version, and ``proof`` the age that the
    agent takes for that of the latest proof of its absence. ``order`` is for how long
    an order has been on its way, and ``ordered`` is set once one was sent. ``answered``
    is set once the agent knows that the engine is closed.
    """

    acknowledged: int = NONE
    advice: Advice = Advice()
    proof: int = NONE
    stopped: bool = False
    order: int = NONE
    ordered: bool = False
    losses: int = 0
    closed: bool = False
    answered: bool = False
    request: Request | None = None


@dataclass(frozen=True, slots=True)
class AgentRules:
    """
    The rules of the agent and the engine; a mutant changes one of them.

    ``bound`` is for how many ticks after the acknowledgement older weights may begin
    requests. ``close_ticks`` is how long before the lapse the agent sends the order;
    ``orders`` is not set if it sends none, and ``repeats`` if it sends only one.
    ``adds_transit`` is not set if the time of advice on its way is ignored,
    ``requires_transit`` if an unknown one counts as none, and ``full_transit`` if a
    tick of it may be missing, as after only delayed advice. ``refuses_queue`` is not
    set if the engine still begins requests that arrived before the order.
    """

    bound: int = 5
    close_ticks: int = CLOSE_TICKS
    orders: bool = True
    repeats: bool = True
    adds_transit: bool = True
    requires_transit: bool = True
    full_transit: bool = True
    refuses_queue: bool = True

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        return list(self.steps(GlobalState(*state)))

    def steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield the transitions from a state; none follow the start of a request."""
        request = current.request
        if request is not None and request.begun_at != NONE:
            return
        if self.may_pass_tick(current):
            yield "a tick passes", self.pass_tick(current)
        if current.acknowledged == NONE:
            yield (
                "the store acknowledges the version",
                current._replace(acknowledged=0),
            )
        elif current.advice.age == NONE:
            for age in range(current.acknowledged, self.bound + 2):
                sent = current._replace(advice=Advice(age))
                yield f"an entry sends advice with a proof of age {age}", sent
        yield from self.request_steps(current)
        yield from self.order_steps(current)
        yield from self.agent_steps(current)

    def request_steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield what happens to the request, which any entry sends at any time."""
        request = current.request
        if request is None:
            yield "an entry sends the request", current._replace(request=Request())
            return
        if not request.arrived:
            if not current.closed:
                arrived = request._replace(arrived=True)
                yield "the request arrives", current._replace(request=arrived)
        elif not current.closed or not self.refuses_queue:
            begun = request._replace(begun_at=max(current.acknowledged, 0))
            yield "the engine begins the request", current._replace(request=begun)

    def order_steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield what happens to an order that is on its way."""
        if current.order == NONE:
            return
        if current.losses < MAX_LOSSES:
            lost = current._replace(order=NONE, losses=current.losses + 1)
            yield "the order is lost", lost
        closed = current._replace(order=NONE, closed=True)
        yield "the engine closes, its answer is lost", closed
        yield "the engine closes", closed._replace(answered=True)

    def agent_steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield what the agent does, or what happens to it."""
        if current.stopped:
            yield "the agent continues", current._replace(stopped=False)
            return
        if not current.ordered:
            yield "the agent stops", current._replace(stopped=True)
            if current.proof != NONE:
                yield "the agent restarts", current._replace(proof=NONE)
        if current.advice.age != NONE:
            yield from self.receive_advice(current)
        if self.has_to_order(current):
            sent = current._replace(order=0, ordered=True)
            yield "the agent orders the engine to close", sent

    def receive_advice(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield the receipt of advice, with and without a known transit."""
        age, transit = current.advice
        received = current._replace(advice=Advice())
        measured = [transit if self.adds_transit else 0]
        if not self.full_transit:
            measured.append(max(0, transit - 1))
        if not self.requires_transit:
            measured.append(0)
        for known in measured:
            proof = min(age + known, self.bound + 1)
            if current.proof != NONE:
                proof = min(proof, current.proof)  # the latest proof counts
            yield "the agent receives the advice", received._replace(proof=proof)
        yield "the agent receives advice of an unknown transit", received

    def is_due(self, current: GlobalState) -> bool:
        """Return whether the agent knows that it has to close the engine."""
        left = self.bound - current.proof
        return current.proof != NONE and left <= self.close_ticks

    def has_to_order(self, current: GlobalState) -> bool:
        """Return whether the agent sends an order now."""
        return (
            self.orders
            and self.is_due(current)
            and current.order == NONE
            and not current.answered
            and (self.repeats or not current.ordered)
        )

    def may_pass_tick(self, current: GlobalState) -> bool:
        """Return whether time passes: nothing that takes no longer is left to do."""
        if current.order > 0:
            return False
        if not current.stopped and self.has_to_order(current):
            return False
        # From here on, an agent without a proof or that is stopped is an exception.
        if current.closed or current.acknowledged < self.bound - CLOSE_TICKS:
            return True
        return current.proof != NONE and not current.stopped

    def pass_tick(self, current: GlobalState) -> GlobalState:
        """Return the state after a tick."""
        advice = current.advice
        if advice.age != NONE:
            transit = min(advice.transit + 1, self.bound + 1)
            advice = advice._replace(transit=transit)
        return current._replace(
            acknowledged=self.grow_older(current.acknowledged),
            advice=advice,
            proof=self.grow_older(current.proof),
            order=self.grow_older(current.order),
        )

    def grow_older(self, age: int) -> int:
        """Return an age after a tick; beyond the bound, nothing depends on it."""
        return age if age == NONE else min(age + 1, self.bound + 1)


def begins_in_time(state: dict[str, Any], bound: int) -> bool:
    """Return whether no request began on the older weights after the bound."""
    request = state["request"]
    return request is None or Request(*request).begun_at <= bound


def specification(
    name: str, rules: AgentRules, expected_violation: str = ""
) -> Specification:
    """
    Return a specification; a mutant names the violation that it must cause.

    One that must violate ``begins_earlier`` shows that requests begin up to the bound.
    """
    invariants: dict[str, Callable[[dict[str, Any]], bool]] = {
        "begins_in_time": partial(begins_in_time, bound=rules.bound)
    }
    if expected_violation == "begins_earlier":
        invariants["begins_earlier"] = partial(begins_in_time, bound=rules.bound - 1)
    return Specification(
        name=name,
        fields=GlobalState._fields,
        initial=GlobalState(),
        transitions=rules.transitions,
        invariants=invariants,
        expected_violation=expected_violation,
    )


def specifications() -> list[Specification]:
    """Return the specifications that must hold and the mutants to be refuted."""
    name, small = "closed engines", AgentRules(bound=3)
    mutants = {
        "closes late": replace(small, close_ticks=CLOSE_TICKS - 1),
        "lost order not repeated": replace(small, repeats=False),
        "no order": replace(small, orders=False),
        "counted from receipt": replace(small, adds_transit=False),
        "unknown transit as none": replace(small, requires_transit=False),
        "transit measured too short": replace(small, full_transit=False),
        "queue not refused": replace(small, refuses_queue=False),
    }
    return [
        specification(name, AgentRules()),
        specification(f"{name}: reaches the bound", small, "begins_earlier"),
        *(
            specification(f"{name}: {mutant}", changed, "begins_in_time")
            for mutant, changed in mutants.items()
        ),
    ]
