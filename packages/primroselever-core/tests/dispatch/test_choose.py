"""Selection and refusal near capacity, on engines of different occupancy."""

from __future__ import annotations

from itertools import product
from random import Random

import pytest

from primroselever_core.dispatch.choose import Chosen, Refused, choose_backend


def choose(backends, needs, figures, excluded=(), now=10.0, seed=1):
    return choose_backend(backends, needs, figures, "here", excluded, now, Random(seed))


def test_the_engine_with_the_shortest_queue_is_chosen(
    make_backend, make_report, make_needs, figures
):
    busy, idle = make_backend("busy"), make_backend("idle")
    busy.apply_report(make_report(10.0, running=8, waiting=2))
    idle.apply_report(make_report(10.0, running=4))
    chosen = choose([busy, idle], make_needs(), figures)
    assert isinstance(chosen, Chosen)
    assert chosen.backend is idle


def test_an_idle_engine_without_weights_is_not_a_candidate(
    make_backend, make_report, make_needs, figures
):
    empty, busy = make_backend("empty"), make_backend("busy")
    empty.apply_report(make_report(10.0, version=0))
    busy.apply_report(make_report(10.0, running=6))
    assert choose([empty, busy], make_needs(), figures).backend is busy


def test_an_engine_that_is_switching_gets_no_request(
    make_backend, make_report, make_needs, figures
):
    switching, busy = make_backend("switching"), make_backend("busy")
    switching.apply_report(make_report(10.0, switching=True))
    busy.apply_report(make_report(10.0, running=6))
    assert choose([switching, busy], make_needs(), figures).backend is busy


def test_a_long_request_avoids_an_engine_that_closes_soon(
    make_backend, make_report, make_needs, figures
):
    closing, other = make_backend("closing"), make_backend("other")
    closing.apply_report(make_report(10.0, running=2, closes_at=10.5))
    other.apply_report(make_report(10.0, running=2))
    long = make_needs(answer_tokens=200.0)
    short = make_needs(answer_tokens=10.0)
    assert choose([closing, other], long, figures).backend is other
    chosen = {
        choose([closing, other], short, figures, seed=s).backend.listed.server_id
        for s in range(20)
    }
    assert chosen == {"closing", "other"}


def test_weights_below_the_minimum_version_get_no_request(
    make_backend, make_report, make_needs, figures
):
    old, new = make_backend("old"), make_backend("new")
    old.apply_report(make_report(10.0, version=1))
    new.apply_report(make_report(10.0, version=2, running=7))
    assert choose([old, new], make_needs(min_version=2), figures).backend is new


def test_a_request_that_would_be_late_on_every_engine_is_refused(
    make_backend, make_report, make_needs, figures
):
    full = make_backend("full")
    full.apply_report(make_report(10.0, running=8, waiting=6))
    refused = choose([full], make_needs(), figures)
    assert isinstance(refused, Refused)
    assert refused.reason == "overloaded"
    assert refused.retry_after_s > 0


def test_a_request_that_is_already_late_gets_only_free_slots(
    make_backend, make_report, make_needs, figures
):
    server = make_backend("a")
    late_request = make_needs(first_event_within_s=-0.5)
    server.apply_report(make_report(10.0, running=7))
    assert isinstance(choose([server], late_request, figures), Chosen)
    server.apply_report(make_report(10.0, running=8))
    assert isinstance(choose([server], late_request, figures), Refused)


def test_another_domain_is_chosen_only_if_it_is_clearly_faster(
    make_backend, make_report, make_needs, figures
):
    here, there = make_backend("here"), make_backend("there", domain="there")
    here.apply_report(make_report(10.0, running=4))
    there.apply_report(make_report(10.0, running=3))
    assert choose([here, there], make_needs(), figures).backend is here
    here.apply_report(make_report(10.0, running=8, waiting=2))
    assert choose([here, there], make_needs(), figures).backend is there


def test_refusals_give_a_reason(make_backend, make_report, make_needs, figures):
    server = make_backend("a")
    assert choose([], make_needs(), figures).reason == "no back end is listed"
    server.record_failure(9.9, 9.9)
    assert "failed" in choose([server], make_needs(), figures).reason
    server.ejected_until = 0.0
    server.apply_report(make_report(10.0, version=0))
    assert "weights" in choose([server], make_needs(), figures).reason


def test_retry_delays_of_simultaneous_refusals_differ(make_needs, figures):
    waits = {choose([], make_needs(), figures, seed=s).retry_after_s for s in range(9)}
    assert len(waits) == 9


def test_a_plain_service_is_chosen_by_its_load(make_backend, make_needs):
    busy, idle = make_backend("busy"), make_backend("idle")
    for backend in (busy, idle):
        backend.record_duration(0.02)
    busy.in_flight = 12
    needs = make_needs(model="")
    assert choose([busy, idle], needs, None).backend is idle


def test_a_plain_server_that_was_full_is_not_chosen(make_backend, make_needs):
    full, other = make_backend("full"), make_backend("other")
    full.record_refusal(9.95)
    other.in_flight = 3
    assert choose([full, other], make_needs(model=""), None).backend is other


def test_an_engine_whose_agent_stopped_reporting_does_not_count_as_idle(
    make_backend, make_report, make_needs, figures
):
    silent, busy = make_backend("dark"), make_backend("busy")
    silent.apply_report(make_report(9.0, running=1))
    busy.apply_report(make_report(10.0, running=7))
    assert choose([silent, busy], make_needs(), figures).backend is busy


# Pattern: the links of some VMs are congested. Their engines report a low load, but the
# first events arrive late.


def test_an_engine_whose_first_events_come_late_is_avoided(
    make_backend, make_report, make_needs, figures
):
    congested, busy = make_backend("congested"), make_backend("busy")
    congested.apply_report(make_report(10.0))
    busy.apply_report(make_report(10.0, running=7))
    other = make_backend("other")
    other.apply_report(make_report(10.0, running=8, waiting=1))
    engines = [congested, busy, other]
    needs = make_needs()
    assert choose([congested, other], needs, figures).backend is congested
    for _ in range(2):
        congested.record_first_event(0.6, 10.0)
    busy.record_first_event(-0.05, 10.0)
    for seed in range(10):
        assert choose(engines, needs, figures, seed=seed).backend is busy


def test_a_congested_engine_is_tried_again_after_some_seconds(
    make_backend, make_report, make_needs, figures
):
    congested, busy = make_backend("congested"), make_backend("busy")
    for _ in range(2):
        congested.record_first_event(0.6, 10.0)
    congested.apply_report(make_report(18.0))
    busy.apply_report(make_report(18.0, running=8, waiting=1))
    chosen = choose([congested, busy], make_needs(), figures, now=18.0)
    assert chosen.backend is congested
    congested.record_first_event(-0.05, 18.1)
    assert congested.unexpected_delay_s(18.1) < 0.02


def test_delays_that_all_engines_share_refuse_no_request(
    make_backend, make_report, make_needs, figures
):
    engines = [make_backend(name) for name in "abc"]
    for engine in engines:
        engine.apply_report(make_report(10.0, running=4))
        for _ in range(2):
            engine.record_first_event(1.5, 10.0)
    assert isinstance(choose(engines, make_needs(), figures), Chosen)


def test_a_request_is_refused_if_only_congested_engines_are_left(
    make_backend, make_report, make_needs, figures
):
    congested, closing, full = (make_backend(n) for n in ("a", "b", "c"))
    for engine, running in ((congested, 0), (closing, 9), (full, 9)):
        engine.apply_report(make_report(10.0, running=running, waiting=40))
    congested.apply_report(make_report(10.0))
    for _ in range(2):
        congested.record_first_event(1.5, 10.0)
    assert isinstance(
        choose([congested, closing, full], make_needs(), figures), Refused
    )


def test_small_delays_do_not_change_the_choice(
    make_backend, make_report, make_needs, figures
):
    slower, busy, other = (make_backend(name) for name in "abc")
    for engine, running in ((slower, 4), (busy, 8), (other, 8)):
        engine.apply_report(make_report(10.0, running=running, waiting=running // 8))
    for late_by_s in (0.15, 0.15, 0.9):
        # The last one is a single late event.
        slower.record_first_event(late_by_s, 10.0)
    assert choose([slower, busy, other], make_needs(), figures).backend is slower


# Pattern: long prompts arrive at the same time. An engine reads in one pass all prompts
# that arrived before it, and the requests that it runs get no event meanwhile.


def test_long_prompts_that_arrive_together_go_to_different_engines(
    make_backend, make_report, make_needs, figures
):
    reading, other = make_backend("reading"), make_backend("other")
    for engine in (reading, other):
        engine.apply_report(make_report(10.0, running=4))
    reading.record_sent(0.08, 9.98)
    reading.reading_until = 0.0  # so that only the pause counts

    def choices(prompt_tokens: float, now: float) -> set[str]:
        needs = make_needs(prompt_tokens=prompt_tokens, pause_s=0.3)
        return {
            choose(
                [reading, other], needs, figures, now=now, seed=seed
            ).backend.listed.server_id
            for seed in range(20)
        }

    assert choices(800.0, 10.0) == {"other"}
    assert choices(100.0, 10.0) == {"reading", "other"}
    # The pass that reads the first prompt has begun.
    assert choices(800.0, 10.2) == {"reading", "other"}


def test_a_request_is_not_refused_for_the_pause_that_it_causes(
    make_backend, make_report, make_needs, figures
):
    engines = [make_backend(name) for name in "ab"]
    for engine in engines:
        engine.apply_report(make_report(10.0, running=4))
        engine.record_sent(0.15, 9.99)
        engine.reading_until = 0.0
    needs = make_needs(prompt_tokens=1500.0, pause_s=0.3)
    assert isinstance(choose(engines, needs, figures), Chosen)


def test_an_engine_elsewhere_without_reports_is_used_last(
    make_backend, make_report, make_needs, figures
):
    # An agent reports to a few entries of each other failure domain. To this one, its
    # engine would always seem to be idle.
    unknown, reported = make_backend("unknown", "there"), make_backend("known", "there")
    reported.apply_report(make_report(10.0, running=8))
    needs = make_needs(first_event_within_s=1.0)
    assert choose([unknown, reported], needs, figures).backend is reported
    assert choose([unknown], needs, figures).backend is unknown


@pytest.mark.parametrize("count", [1, 2, 3, 4])
def test_a_back_end_is_left_however_many_of_them_fail(
    make_backend, make_report, make_needs, figures, count
):
    """
    Those that fail more often than the others are left out, at most half of them.

    So the list of the others is never empty, even if a server is listed twice.
    """
    for failures in product((0, 3, 6), repeat=count):
        backends = []
        for index, failure_count in enumerate(failures):
            backend = make_backend(f"server-{index}")
            backend.apply_report(make_report(10.0))
            for number in range(6):
                if number < failure_count:
                    backend.record_answered_failure()
                else:
                    backend.record_success()
            backends += [backend] * (1 + index % 2)
        assert isinstance(choose(backends, make_needs(), figures), Chosen), failures
