"""
Entries, engines and callers in simulated time: who waits, who is refused.

The decisions are the functions of the core's dispatch; only arrivals, engines and the
delays of reports are modelled. Each entry has its own view of all engines, as in a
deployment, so that decisions on stale views show.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING

from primroselever_core.catalogue.model import (
    EngineFigures,
    ListedServer,
    ServerState,
)
from primroselever_core.dispatch.backend import (
    REPORT_TRANSIT_S,
    Backend,
    EngineReport,
)
from primroselever_core.dispatch.choose import (
    Chosen,
    Refused,
    RequestNeeds,
    choose_backend,
)
from primroselever_core.dispatch.predict import predict_read_s, predict_request_s

from .engine_model import EngineModel, Job

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

REPORT_S = 0.2  # between two reports of an engine
NEWS_S = 0.012  # until other entries hear that a request was sent
LINK_S = 0.002  # between an entry and an engine
LATE_WORTH = 0.25  # of an answer after its objective
RETRY_SHARE = 1 / 3  # of the time left; callers wait no longer before they come again
MODEL = "m"
# Of the size of a large model on one accelerator.
FIGURES = EngineFigures(
    slots=16,
    memory_tokens=500_000,
    step_s=0.008,
    step_per_request_s=0.00004,
    step_per_context_token_s=0.00000002,
    read_tokens_per_s=30_000.0,
    read_chunk_tokens=2048,
    steps_per_pass=6,
    usual_prompt_tokens=900.0,
    usual_answer_tokens=110.0,
    report_lag_s=0.2,
)


@dataclass(frozen=True, slots=True)
class Load:
    """
    Arrivals: ``phases`` holds until when, in seconds, which share of the capacity.

    ``slow`` gives engines by number a pace above 1.
    """

    phases: tuple[tuple[float, float], ...]
    engines: int = 7
    entries: int = 6
    objective_s: float = 0.4
    patience_s: float = 6.0
    slow: tuple[tuple[int, float], ...] = ()

    def capacity(self) -> float:
        """Return the requests a second that the engines take by their figures."""
        return self.engines / predict_request_s(FIGURES)


@dataclass(slots=True)
class Caller:
    """One request of a caller over its attempts."""

    first_at: float
    prompt_tokens: float
    answer_tokens: float
    job: Job | None = None
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Shares of all requests; ``worth`` counts late ones at ``LATE_WORTH``."""

    requests: int
    in_time: float
    late: float
    unserved: float
    worth: float
    largest_served: float


Policy = type["Product"] | type["LeastInFlight"]


class Product:
    """The decisions of the core."""

    name = "product"

    @staticmethod
    def choose(
        backends: list[Backend], needs: RequestNeeds, now: float, random: Random
    ) -> Chosen | Refused:
        """Return the back end whose first event is due first, or a refusal."""
        return choose_backend(backends, needs, FIGURES, "a", (), now, random)


class LeastInFlight:
    """The baseline: the engine with the fewest own requests, and no refusal."""

    name = "least-in-flight"

    @staticmethod
    def choose(
        backends: list[Backend], needs: RequestNeeds, now: float, random: Random
    ) -> Chosen | Refused:
        """Return the back end with the fewest requests of this entry."""
        best = min(backends, key=lambda b: (b.in_flight, random.random()))
        return Chosen(best, 0.0, "")


@dataclass(slots=True)
class LoadModel:
    """
    One run of a load under a policy.

    ``views`` holds what each entry knows of all engines, ``senders`` which entry's view
    counts a job, by the job's identity.
    """

    load: Load
    policy: Policy
    random: Random
    events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    callers: list[Caller] = field(default_factory=list)
    engines: list[EngineModel] = field(default_factory=list)
    views: list[list[Backend]] = field(default_factory=list)
    senders: dict[int, Backend] = field(default_factory=dict)

    def run(self) -> Outcome:
        """Play the load to its end."""
        self.engines = [EngineModel(FIGURES) for _ in range(self.load.engines)]
        for number, pace in self.load.slow:
            self.engines[number].pace = pace
        listed = [
            ListedServer(
                f"i-{n}", "gen", (f"10.0.0.{n}", 1), "a", ServerState.READY, 16, 1,
                ((MODEL, 1),),
            )
            for n in range(self.load.engines)
        ]  # fmt: skip
        self.views = [
            [Backend(one) for one in listed] for _entry in range(self.load.entries)
        ]
        end = self.load.phases[-1][0]
        for number in range(self.load.engines):
            self.at(REPORT_S * self.random.random(), self.reporter(number, end))
        now = 0.0
        for until, share in self.load.phases:
            while now < until:
                now += self.random.expovariate(share * self.load.capacity())
                prompt = 900.0 * self.random.lognormvariate(-0.3, 0.8)
                answer = 110.0 * self.random.lognormvariate(-0.2, 0.6)
                caller = Caller(now, prompt, answer)
                self.callers.append(caller)
                self.at(now, partial(self.ask, caller))
        while self.events:
            at, _number, act = heapq.heappop(self.events)
            act(at)
        return self.outcome()

    def at(self, when: float, act: Callable[[float], None]) -> None:
        """Let something happen at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), act))

    def reporter(self, number: int, end: float) -> Callable[[float], None]:
        """Return what reports an engine to all entries, again and again."""

        def report(now: float) -> None:
            engine = self.engines[number]
            state = EngineReport(
                now + REPORT_TRANSIT_S, 1, MODEL, 1, False, len(engine.running),
                len(engine.waiting), engine.pace,
            )  # fmt: skip
            for view in self.views:
                self.at(now + REPORT_TRANSIT_S, self.hearer(view[number], state))
            if now < end + self.load.patience_s:
                self.at(now + REPORT_S, report)

        return report

    def hearer(self, backend: Backend, state: EngineReport) -> Callable[[float], None]:
        """Return what takes in a report at one entry."""
        return lambda _now: backend.apply_report(
            replace(state, own_in_flight=backend.in_flight)
        )

    def ask(self, caller: Caller, now: float) -> None:
        """Let a caller's request reach an entry that a balancer picks."""
        caller.attempts += 1
        view = self.random.choice(self.views)
        left_s = caller.first_at + self.load.patience_s - now
        needs = RequestNeeds(
            MODEL,
            0,
            caller.prompt_tokens,
            caller.answer_tokens,
            caller.first_at + self.load.objective_s - now,
            left_s,
        )
        chosen = self.policy.choose(view, needs, now, self.random)
        if isinstance(chosen, Refused):
            if caller.attempts == 1:
                wait_s = min(chosen.retry_after_s, RETRY_SHARE * left_s)
                self.at(now + wait_s, partial(self.ask, caller))
            return
        backend = chosen.backend
        number = view.index(backend)
        reading = predict_read_s(FIGURES, caller.prompt_tokens)
        backend.in_flight += 1
        backend.record_sent(reading, now)
        for other in self.views:
            if other is not view:
                self.at(now + NEWS_S, self.news(other[number], reading))
        job = caller.job = Job(
            now,
            caller.prompt_tokens,
            caller.answer_tokens,
            urgency=8 if needs.is_late else 5,
            gives_up_at=caller.first_at + self.load.patience_s,
        )
        self.at(now + LINK_S, partial(self.arrive, number, job, backend))

    def news(self, backend: Backend, reading: float) -> Callable[[float], None]:
        """Return what tells another entry of a request."""
        return lambda now: backend.record_sent_by_other(reading, now)

    def arrive(self, number: int, job: Job, backend: Backend, now: float) -> None:
        """Let a request reach its engine."""
        engine = self.engines[number]
        if not engine.accept(job):
            backend.in_flight -= 1
            backend.record_refusal(now)
            return
        self.senders[id(job)] = backend
        self.at(job.gives_up_at, lambda _at: self.forget(job))
        if engine.free_at is None:
            self.step(engine, now)

    def forget(self, job: Job) -> None:
        """Take in that an answer is whole, or that its caller's time is over."""
        backend = self.senders.pop(id(job), None)
        if backend is not None:
            backend.in_flight -= 1

    def step(self, engine: EngineModel, now: float) -> None:
        """Begin the next pass of an engine."""
        ends_at = engine.begin_pass(now)
        if ends_at is not None:
            self.at(ends_at, lambda at: self.end_step(engine, at))

    def end_step(self, engine: EngineModel, now: float) -> None:
        """End a pass of an engine and begin the next one."""
        engine.end_pass(now, self.forget)
        self.step(engine, now)

    def outcome(self) -> Outcome:
        """Return how the callers fared."""
        in_time = [c for c in self.callers if self.waited_s(c) <= self.load.objective_s]
        served = [c for c in self.callers if self.waited_s(c) < float("inf")]
        total = len(self.callers)
        late = len(served) - len(in_time)
        sizes = sorted(c.prompt_tokens + 10 * c.answer_tokens for c in self.callers)
        bound = sizes[-max(1, total // 10)]
        largest = [
            c for c in self.callers if c.prompt_tokens + 10 * c.answer_tokens >= bound
        ]
        largest_served = [c for c in largest if self.waited_s(c) < float("inf")]
        return Outcome(
            requests=total,
            in_time=round(len(in_time) / total, 3),
            late=round(late / total, 3),
            unserved=round(1 - len(served) / total, 3),
            worth=round((len(in_time) + LATE_WORTH * late) / total, 3),
            largest_served=round(len(largest_served) / len(largest), 3),
        )

    def waited_s(self, caller: Caller) -> float:
        """Return the wait for the first event of a whole answer, infinite for none."""
        job = caller.job
        if job is None or job.first_event_at is None or job.ended_at is None:
            return float("inf")
        return job.first_event_at - caller.first_at
