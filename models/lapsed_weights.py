"""
When a request begins on weights to which a newer version was published.

Time passes in ticks. The store acknowledges a version. An entry learns of it at any
later time, and gets proofs of its absence from answers of the store and heartbeats of
a peer, each late by any amount. Its event loop may stop and continue at any time. It
sends a request with the time left until the weights lapse. The engine may begin the
request at any time until then, counted from its arrival, and refuses it afterwards.
The entry cancels the request at the lapse, but only while its event loop runs.

Excluded are a link that delays the request itself by more than ``MARGIN``, clocks that
run at different speeds, and versions that an entry skips.

An entry whose latest proof is too old is out of touch. It must not lose all engines, so
it takes its proof for younger than it is. This is safe as long as no entry in touch has
a proof as old, which ``lateness`` states; without lenience, nothing is assumed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from .checking import Specification

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .checking import State

MARGIN = 1  # ticks that a request may take from the entry to the engine
OLD = 9  # in ticks, beyond all bounds: nothing depends on higher ages
NONE = -1  # the age of what has not happened or does not exist
NO_LIMIT = OLD  # the time of a request that the engine need not refuse


class Heartbeat(NamedTuple):
    """A heartbeat on its way: the age of the peer's proof, and its transit in ticks."""

    age: int = NONE
    transit: int = 0


class Request(NamedTuple):
    """
    A request on the older weights.

    ``left`` is the time that the engine was given, ``transit`` how long the request has
    been on its way, and ``begun_at`` the age of the newer version when it began.
    """

    left: int
    transit: int = 0
    arrived: bool = False
    begun_at: int = NONE


class GlobalState(NamedTuple):
    """
    A state of the model; ages are in ticks.

    ``acknowledged`` is the age of the newer version, ``learned`` the time since the
    entry learned of it, ``answer`` the age of an answer of the store that the entry has
    not read yet, and ``proof`` the age that the entry takes for that of its latest
    proof. ``stalled`` is set while the event loop of the entry does not run.
    """

    acknowledged: int = NONE
    learned: int = NONE
    answer: int = NONE
    heartbeat: Heartbeat = Heartbeat()
    proof: int = OLD
    stalled: bool = False
    request: Request | None = None


@dataclass(frozen=True, slots=True)
class EntryRules:
    """
    The rules of the entry; a mutant changes one of them.

    ``bound`` is for how many ticks after the acknowledgement older weights may begin
    requests; a shorter one makes the search for a violation shorter.
    ``counts_from_proof`` is not set if the bound counts from the receipt of the
    version, ``limits_engine`` if the engine gets no limit, ``limits_newest`` if it gets
    one only once the entry knows the newer version, and ``knows_version`` if the entry
    may not know which version the engine runs. ``ages_answers`` is not set if an answer
    counts from its reading, ``ages_transit`` if the time of a heartbeat on its way is
    ignored, ``compares_versions`` if proofs also count from a peer that has the newer
    version. ``may_stall`` is set if the event loop may stop.

    A proof that is older than ``lenient_after`` counts as one of ``lenient_age``. The
    entry always has the version or a proof that is no older than ``lateness``.
    """

    bound: int = 5
    counts_from_proof: bool = True
    limits_engine: bool = True
    limits_newest: bool = True
    knows_version: bool = True
    ages_answers: bool = True
    ages_transit: bool = True
    compares_versions: bool = True
    may_stall: bool = True
    lenient_after: int = OLD
    lenient_age: int = OLD
    lateness: int = OLD

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return the labels and successors of all transitions from a state."""
        return list(self.steps(GlobalState(*state)))

    def steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield the transitions from a state; none follow the start of a request."""
        request = current.request
        if request is not None and request.begun_at != NONE:
            return
        if current.learned != NONE or current.proof < self.lateness:
            yield "a tick passes", self.pass_tick(current)
        if current.acknowledged == NONE:
            acknowledged = current._replace(acknowledged=0)
            yield "the store acknowledges the version", acknowledged
            # Later answers contain the version.
            if current.answer == NONE:
                yield "the store answers", current._replace(answer=0)
        yield from self.peer_steps(current)
        if request is not None:
            yield from self.engine_steps(current, request)
        if current.stalled:
            yield "the event loop continues", current._replace(stalled=False)
            return
        if self.may_stall:
            yield "the event loop stops", current._replace(stalled=True)
        yield from self.entry_steps(current)

    def peer_steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield the heartbeats of a peer that count as proofs for the entry."""
        if current.heartbeat.age != NONE:
            return
        youngest = max(current.acknowledged, 0) if self.compares_versions else 0
        for age in range(youngest, min(youngest, self.bound) + 2):
            sent = current._replace(heartbeat=Heartbeat(age))
            yield f"a peer sends a heartbeat with a proof of age {age}", sent

    def engine_steps(
        self, current: GlobalState, request: Request
    ) -> Iterator[tuple[str, GlobalState]]:
        """Yield what the engine does with a request."""
        if not request.arrived:
            arrived = request._replace(arrived=True, transit=0)
            yield "the request arrives", current._replace(request=arrived)
            return
        begun = request._replace(begun_at=max(current.acknowledged, 0))
        yield "the engine begins the request", current._replace(request=begun)

    def entry_steps(self, current: GlobalState) -> Iterator[tuple[str, GlobalState]]:
        """Yield what the entry does while its event loop runs."""
        if current.acknowledged != NONE and current.learned == NONE:
            proof = self.trusted_age(current)
            learned = current._replace(learned=0, proof=proof)
            yield "the entry learns of the version", learned
        if current.answer != NONE:
            age = current.answer if self.ages_answers else 0
            read = current._replace(answer=NONE, proof=min(age, current.proof))
            yield "the entry reads the answer", read
        if current.heartbeat.age != NONE:
            age, transit = current.heartbeat
            if self.ages_transit:
                age = min(age + transit, self.bound + 1)
            received = current._replace(
                heartbeat=Heartbeat(), proof=min(age, current.proof)
            )
            yield "the entry receives the heartbeat", received
        left = self.time_left(current)
        if current.request is None and left > 0:
            is_limited = self.limits_engine and (
                self.limits_newest or current.learned != NONE
            )
            sent = Request(left if is_limited else NO_LIMIT)
            yield "the entry sends a request", current._replace(request=sent)
            if not self.knows_version:
                unlimited = current._replace(request=Request(NO_LIMIT))
                yield "the entry sends a request without a limit", unlimited

    def time_left(self, current: GlobalState) -> int:
        """Return the time left until the older weights lapse, as the entry knows it."""
        if self.counts_from_proof:
            return self.bound - MARGIN - self.trusted_age(current)
        return self.bound - MARGIN - max(current.learned, 0)

    def trusted_age(self, current: GlobalState) -> int:
        """Return the age that counts for that of the latest proof."""
        # The time from which the bound counts is fixed once the version is known.
        if current.learned != NONE or current.proof <= self.lenient_after:
            return current.proof
        return self.lenient_age

    def pass_tick(self, current: GlobalState) -> GlobalState:
        """Return the state after a tick."""
        age, transit = current.heartbeat
        heartbeat = current.heartbeat
        if age != NONE:
            heartbeat = Heartbeat(age, min(transit + 1, self.bound + 1))
        return current._replace(
            acknowledged=self.grow_older(current.acknowledged),
            learned=self.grow_older(current.learned),
            answer=self.grow_older(current.answer),
            heartbeat=heartbeat,
            proof=self.grow_older(current.proof),
            request=self.age_request(current),
        )

    def grow_older(self, age: int) -> int:
        """Return an age after a tick; beyond the bound, nothing depends on it."""
        return age if age == NONE else min(age + 1, self.bound + 1)

    def age_request(self, current: GlobalState) -> Request | None:
        """Return the request after a tick, None if it is refused or cancelled."""
        request = current.request
        if request is None:
            return None
        if not current.stalled and self.time_left(current) <= 0:
            return None
        if not request.arrived:
            # A longer delay is excluded.
            delayed = request._replace(transit=request.transit + 1)
            arrived = request._replace(arrived=True, transit=0)
            return delayed if delayed.transit <= MARGIN else self.serve(arrived)
        return self.serve(request)

    def serve(self, request: Request) -> Request | None:
        """Return a request that waits at the engine after a tick, None if refused."""
        if request.left == NO_LIMIT:
            return request
        return request._replace(left=request.left - 1) if request.left > 0 else None


def begins_in_time(state: dict[str, Any], bound: int) -> bool:
    """Return whether no request began on the older weights after the bound."""
    request = state["request"]
    return request is None or Request(*request).begun_at <= bound


def specification(
    name: str, rules: EntryRules, expected_violation: str = ""
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
        initial=GlobalState(proof=min(rules.bound + 1, rules.lateness)),
        transitions=rules.transitions,
        invariants=invariants,
        expected_violation=expected_violation,
    )


def specifications() -> list[Specification]:
    """Return the specifications that must hold and the mutants to be refuted."""
    name, rules = "lapsed weights", EntryRules()
    small = EntryRules(bound=2)
    mutants = {
        "counted from receipt": replace(small, counts_from_proof=False),
        "no limit at the engine": replace(small, limits_engine=False),
        "limit on older weights": replace(small, limits_newest=False),
        "no version known": replace(small, knows_version=False),
        "answers without age": replace(small, ages_answers=False),
        "heartbeats without transit": replace(small, ages_transit=False),
        "proofs of newer versions": replace(small, compares_versions=False),
    }
    # The bound is 4 and the contact time 2: a proof that counts as one of at least
    # ``bound - contact`` lets no request wait for longer than the contact time.
    touch = EntryRules(bound=4, lenient_after=2, lenient_age=2, lateness=2)
    mutants["old proofs count as none"] = replace(touch, lenient_after=1, lenient_age=0)
    mutants["old proofs count as younger"] = replace(
        touch, lenient_after=1, lenient_age=1
    )
    punctual = replace(rules, limits_engine=False, may_stall=False)
    return [
        specification(name, rules),
        specification(f"{name}: lenient out of touch", touch),
        # Without stalls, the cancellation of the entry is enough.
        specification(f"{name}: no limit, no stalls", punctual),
        specification(f"{name}: reaches the bound", small, "begins_earlier"),
        *(
            specification(f"{name}: {mutant}", changed, "begins_in_time")
            for mutant, changed in mutants.items()
        ),
    ]
