"""
Engines that answer promptly although one first event was late, or never came.

Overdue first events rank an engine lower, because the link of its VM may be congested.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from primroselever_core.dispatch.choose import Chosen, Refused, choose_backend
from primroselever_core.dispatch.shedding import URGENCY_LATE, AdmissionTerms


def choose(backends, needs, figures, now=10.0, seed=1):
    return choose_backend(backends, needs, figures, "here", (), now, Random(seed))


def choose_often(backends, needs, figures) -> set[str]:
    """Return the engines that are chosen with any of 20 seeds."""
    choices = [choose(backends, needs, figures, seed=seed) for seed in range(20)]
    return {each.backend.listed.server_id for each in choices}


def answer_promptly(engine, now: float, late_by_s: float = 0.0) -> None:
    """Record a request whose first event arrives now, by default when it was due."""
    number = engine.first_events.record_sent(now - late_by_s)
    engine.record_first_event(late_by_s, now)
    engine.first_events.record_arrived(number, now)


@pytest.fixture
def make_engine(make_backend, make_report):
    def make(server_id, now=10.0, host="10.0.0.1", **report):
        engine = make_backend(server_id)
        engine.listed = replace(engine.listed, address=(host, ord(server_id)))
        engine.apply_report(make_report(now, **report))
        return engine

    return make


# Guards against an engine that is avoided for as long as one of its requests hangs,
# although the first events of later requests prove that its link is not congested.
def test_a_request_that_hangs_does_not_exclude_an_engine_that_answers_others(
    make_engine, make_needs, figures
):
    engine, others = make_engine("a"), [make_engine(name, running=8) for name in "bc"]
    engine.first_events.record_sent(7.0)
    for now in (8.0, 8.5, 9.0, 9.5, 9.9):
        answer_promptly(engine, now)
    assert choose([engine, *others], make_needs(), figures).backend is engine


# Guards against requests that are refused although an engine has free slots, because
# one of its requests hangs.
def test_a_request_that_hangs_does_not_refuse_others(make_engine, make_needs, figures):
    engine, *full = (
        make_engine("a"),
        *(make_engine(name, running=8, waiting=8) for name in "bc"),
    )
    engine.first_events.record_sent(8.0)
    answer_promptly(engine, 9.9)
    chosen = choose([engine, *full], make_needs(), figures)
    assert isinstance(chosen, Chosen)


# Guards against an engine that gets no request for longer than the request lasted that
# ended without a first event: without further requests, nothing resets its delay.
@pytest.mark.parametrize("overdue_s", [2.0, 30.0])
def test_one_request_without_an_answer_excludes_an_engine_for_a_short_time(
    make_engine, make_needs, figures, overdue_s
):
    number = None
    now = 100.0 + 8.0
    engine, busy = make_engine("a", now), make_engine("b", now, running=8)
    other = make_engine("c", now, running=8)
    number = engine.first_events.record_sent(100.0 - overdue_s)
    engine.first_events.record_ended(number, 100.0)
    chosen = choose([engine, busy, other], make_needs(), figures, now)
    assert chosen.backend is engine


# Guards against an error of one prediction that excludes an engine for seconds:
# ``Backend.record_first_event`` ignores a single late event.
def test_a_single_late_first_event_does_not_exclude_an_engine(
    make_engine, make_needs, figures
):
    engine, busy, other = (
        make_engine("a"),
        *(make_engine(name, running=8) for name in "bc"),
    )
    answer_promptly(engine, 9.0, late_by_s=0.5)
    assert choose([engine, busy, other], make_needs(), figures).backend is engine


# Guards against urgent requests that avoid an engine, or are refused, because a less
# urgent request waits in its queue: it is overtaken, and its first event is overdue.
def test_a_less_urgent_request_that_is_overtaken_does_not_refuse_urgent_ones(
    make_engine, make_needs, figures
):
    terms = AdmissionTerms(patience_s=2.0)
    needs = make_needs(first_event_within_s=0.4, urgency=0, terms=terms)
    engine = make_engine("a", running=8, waiting=1)
    full = [make_engine(name, running=8, waiting=6) for name in "bc"]
    for each in full:
        for _ in range(6):
            each.urgent_work.record_sent(0, 0.225, 10.0)
    engine.urgent_work.record_sent(URGENCY_LATE, 0.225, 9.0)
    before = choose([engine, *full], needs, figures)
    assert isinstance(before, Chosen)
    assert before.backend is engine
    # It was due 0.5 s ago, and requests that are more urgent took the slots since.
    engine.first_events.record_sent(9.5)
    answer_promptly(engine, 9.9)
    after = choose([engine, *full], needs, figures)
    assert not isinstance(after, Refused), after
    assert after.backend is engine


# Guards against engines with free slots that are avoided, and requests that are
# refused, after this process was paused: all first events that it waited for are
# overdue, but fewer than half of the engines had requests of this entry.
def test_first_events_that_wait_in_this_process_refuse_no_request(
    make_engine, make_needs, figures
):
    free = [make_engine(name) for name in "ab"]
    full = [make_engine(name, running=8, waiting=8) for name in "cde"]
    for each in free:
        each.first_events.record_sent(9.6)
    assert isinstance(choose([*free, *full], make_needs(), figures), Chosen)


# Guards against congested links that are not noticed where most links are congested:
# the delay that most engines have counts as usual, also against an engine without it.
def test_the_only_engine_with_a_free_link_is_chosen(make_engine, make_needs, figures):
    congested = [make_engine(name) for name in "ab"]
    free = make_engine("c", running=7)
    for each in congested:
        each.first_events.record_sent(8.0)
    assert choose_often([*congested, free], make_needs(), figures) == {"c"}


# Guards against two engines of which one is congested: the median is half of its delay.
@pytest.mark.parametrize("count", [1, 2])
def test_one_of_two_engines_is_avoided(make_engine, make_needs, figures, count):
    congested, free = make_engine("a"), make_engine("b", running=7)
    congested.first_events.record_sent(9.7)
    engines = [congested, free][:count]
    assert choose_often(engines, make_needs(), figures) == {"ab"[count - 1]}


# Guards against requests that follow others into a congested link by way of another
# engine of the same VM.
def test_an_engine_of_the_same_vm_is_avoided(make_engine, make_needs, figures):
    late, idle = make_engine("a", host="10.0.0.1"), make_engine("b", host="10.0.0.1")
    busy = make_engine("c", host="10.0.0.2", running=7)
    late.first_events.record_sent(8.0)
    assert choose_often([late, idle, busy], make_needs(), figures) == {"c"}


# Guards against a congested engine that looks sound again because a late first event
# was predicted to be late.
def test_a_first_event_that_is_as_late_as_predicted_does_not_end_the_congestion(
    make_engine, make_needs, figures
):
    congested, *full = (
        make_engine("a"),
        *(make_engine(name, running=8, waiting=40) for name in "bc"),
    )
    needs = make_needs(first_event_within_s=60.0, deadline_within_s=60.0)
    answer_promptly(congested, 9.0, late_by_s=2.0)
    chosen = choose([congested, *full], needs, figures)
    assert chosen.backend is congested
    assert chosen.predicted_s > 1.0
    arrived_at = 10.0 + chosen.predicted_s
    number = congested.first_events.record_sent(10.0 + chosen.predicted_s)
    congested.first_events.record_arrived(number, arrived_at)
    assert congested.first_events.delay_s(arrived_at) > 1.0


# Guards against an engine with the newest weights that is avoided because requests
# ended, without a first event, when its weights before lapsed.
def test_requests_that_ended_at_a_lapse_do_not_count_for_newer_weights(
    make_engine, make_needs, figures
):
    engine = make_engine("a", version=1)
    others = [make_engine(name, 14.0, running=8, version=2) for name in "bc"]
    for due_at in (8.5, 9.0):
        engine.first_events.record_ended(engine.first_events.record_sent(due_at), 10.0)
    engine.apply_report(replace(engine.report, received_at=11.0, version=0))
    engine.apply_report(replace(engine.report, received_at=14.0, version=2))
    needs = make_needs(min_version=2)
    assert choose([engine, *others], needs, figures, now=14.0).backend is engine
