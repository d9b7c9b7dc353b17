"""The engine model matches its figures, and dispatch holds up under overload."""

from __future__ import annotations

from random import Random

import pytest

from bench.engine_model import MAX_WAITING_REQUESTS, EngineModel, Job
from bench.experiments.platform_load import LOADS
from bench.load_model import FIGURES, CorePolicy, LeastInFlight, LoadModel, Outcome
from primroselever_core.dispatch.predict import predict_request_s, predict_step_s


def run_engine(engine: EngineModel, seconds: float) -> list[Job]:
    """Run an engine for some simulated seconds and return the jobs that ended."""
    ended_jobs: list[Job] = []
    now = 0.0
    while now < seconds:
        ends_at = engine.begin_pass(now)
        if ends_at is None:
            break
        now = ends_at
        engine.end_pass(now, ended_jobs.append)
    return ended_jobs


def test_the_first_event_comes_after_reading_and_one_pass() -> None:
    engine = EngineModel(FIGURES)
    engine.accept(Job(0.0, 600.0, 60.0))
    job = run_engine(engine, 10.0)[0]
    reading_s = 600.0 / FIGURES.read_tokens_per_s
    pass_s = FIGURES.steps_per_pass * predict_step_s(FIGURES, 1)
    assert job.first_event_at == pytest.approx(reading_s + pass_s)
    assert job.ended_at == pytest.approx(reading_s + 10 * pass_s)


def test_a_full_engine_reaches_the_rate_of_its_figures() -> None:
    engine = EngineModel(FIGURES)
    ended_count = 0
    now = 0.0
    while now < 60.0:
        while engine.accept(Job(now, 900.0, 110.0)):
            pass
        now = engine.begin_pass(now) or now
        done: list[Job] = []
        engine.end_pass(now, done.append)
        ended_count += len(done)
    assert ended_count / now == pytest.approx(1 / predict_request_s(FIGURES), rel=0.1)


def test_a_full_engine_refuses_and_runs_urgent_requests_first() -> None:
    engine = EngineModel(FIGURES)
    jobs = [
        Job(0.0, 900.0, 6.0, priority=8)
        for _ in range(FIGURES.slots + MAX_WAITING_REQUESTS)
    ]
    assert all(engine.accept(job) for job in jobs[:-1])
    urgent_job = Job(0.0, 900.0, 6.0)
    assert engine.accept(urgent_job)
    assert not engine.accept(jobs[-1])
    engine.begin_pass(0.0)
    assert urgent_job in engine.running


@pytest.fixture(scope="module")
def outcomes() -> dict[tuple[str, str], Outcome]:
    return {
        (name, policy.name): LoadModel(load, policy, Random(7)).run()
        for name, load in LOADS.items()
        for policy in (CorePolicy, LeastInFlight)
    }


@pytest.mark.parametrize("name", LOADS)
def test_core_decisions_are_worth_as_much_as_the_baseline(
    name: str, outcomes: dict[tuple[str, str], Outcome]
) -> None:
    core, baseline = outcomes[name, "product"], outcomes[name, "least-in-flight"]
    assert core.worth >= baseline.worth - 0.005  # at low load both serve all in time


@pytest.mark.parametrize("name", ["burst", "overload"])
def test_under_overload_most_callers_are_answered_in_time(
    name: str, outcomes: dict[tuple[str, str], Outcome]
) -> None:
    """At 1.3 times the capacity, at most 0.77 of the requests can be served."""
    core, baseline = outcomes[name, "product"], outcomes[name, "least-in-flight"]
    assert core.in_time > 0.5
    assert core.in_time > 2 * baseline.in_time


@pytest.mark.parametrize("name", LOADS)
def test_large_requests_are_not_starved(
    name: str, outcomes: dict[tuple[str, str], Outcome]
) -> None:
    """The platform requires the largest tenth to be served half as often as all."""
    core = outcomes[name, "product"]
    assert core.largest_served >= 0.5 * (1 - core.unserved)
