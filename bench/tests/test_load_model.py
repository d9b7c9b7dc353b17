"""The engine model against its figures, and the dispatch under heavy load."""

from __future__ import annotations

from random import Random

import pytest

from bench.engine_model import QUEUE, EngineModel, Job
from bench.experiments.platform_load import LOADS
from bench.load_model import FIGURES, LeastInFlight, LoadModel, Outcome, Product
from primroselever_core.dispatch.predict import predict_request_s, predict_step_s


def play(engine: EngineModel, seconds: float) -> list[Job]:
    """Let an engine work for a while; return the jobs that ended."""
    ended: list[Job] = []
    now = 0.0
    while now < seconds:
        ends_at = engine.begin_pass(now)
        if ends_at is None:
            break
        now = ends_at
        engine.end_pass(now, ended.append)
    return ended


def test_the_first_event_comes_after_reading_and_one_pass() -> None:
    engine = EngineModel(FIGURES)
    engine.accept(Job(0.0, 600.0, 60.0))
    job = play(engine, 10.0)[0]
    reading = 600.0 / FIGURES.read_tokens_per_s
    one_pass = FIGURES.steps_per_pass * predict_step_s(FIGURES, 1)
    assert job.first_event_at == pytest.approx(reading + one_pass)
    assert job.ended_at == pytest.approx(reading + 10 * one_pass)


def test_a_full_engine_ends_as_many_as_its_figures_say() -> None:
    engine = EngineModel(FIGURES)
    ended = 0
    now = 0.0
    while now < 60.0:
        while engine.accept(Job(now, 900.0, 110.0)):
            pass
        now = engine.begin_pass(now) or now
        done: list[Job] = []
        engine.end_pass(now, done.append)
        ended += len(done)
    assert ended / now == pytest.approx(1 / predict_request_s(FIGURES), rel=0.1)


def test_a_full_engine_refuses_and_lets_the_urgent_in_first() -> None:
    engine = EngineModel(FIGURES)
    jobs = [Job(0.0, 900.0, 6.0, urgency=8) for _ in range(FIGURES.slots + QUEUE)]
    assert all(engine.accept(job) for job in jobs[:-1])
    urgent = Job(0.0, 900.0, 6.0)
    assert engine.accept(urgent)
    assert not engine.accept(jobs[-1])
    engine.begin_pass(0.0)
    assert urgent in engine.running


@pytest.fixture(scope="module")
def outcomes() -> dict[tuple[str, str], Outcome]:
    return {
        (name, policy.name): LoadModel(load, policy, Random(7)).run()
        for name, load in LOADS.items()
        for policy in (Product, LeastInFlight)
    }


@pytest.mark.parametrize("name", LOADS)
def test_callers_fare_better_than_without_limits(
    name: str, outcomes: dict[tuple[str, str], Outcome]
) -> None:
    product, plain = outcomes[name, "product"], outcomes[name, "least-in-flight"]
    assert product.worth >= plain.worth - 0.005  # on a calm day both serve all in time


@pytest.mark.parametrize("name", ["burst", "overload"])
def test_under_overload_most_callers_are_answered_in_time(
    name: str, outcomes: dict[tuple[str, str], Outcome]
) -> None:
    """Of arrivals at 1.3 times the capacity, 0.77 fit at most."""
    product, plain = outcomes[name, "product"], outcomes[name, "least-in-flight"]
    assert product.in_time > 0.5
    assert product.in_time > 2 * plain.in_time


@pytest.mark.parametrize("name", LOADS)
def test_no_size_starves(name: str, outcomes: dict[tuple[str, str], Outcome]) -> None:
    """The platform's rule: the largest tenth is served half as often as all."""
    product = outcomes[name, "product"]
    assert product.largest_served >= 0.5 * (1 - product.unserved)
