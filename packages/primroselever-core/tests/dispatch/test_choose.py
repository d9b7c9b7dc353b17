"""Selection and refusal near capacity, on engines of different occupancy."""

from __future__ import annotations

from random import Random

from primroselever_core.dispatch.choose import Chosen, Refused, choose_backend


def choose(backends, wanted, figures, passed_over=(), now=10.0, seed=1):
    return choose_backend(
        backends, wanted, figures, "here", passed_over, now, Random(seed)
    )


def test_the_engine_with_the_shortest_queue_is_chosen(
    make_backend, make_report, make_wanted, figures
):
    busy, idle = make_backend("busy"), make_backend("idle")
    busy.reported(make_report(10.0, running=8, waiting=2))
    idle.reported(make_report(10.0, running=4))
    chosen = choose([busy, idle], make_wanted(), figures)
    assert isinstance(chosen, Chosen)
    assert chosen.backend is idle


def test_an_idle_engine_without_weights_is_not_a_candidate(
    make_backend, make_report, make_wanted, figures
):
    empty, busy = make_backend("empty"), make_backend("busy")
    empty.reported(make_report(10.0, version=0))
    busy.reported(make_report(10.0, running=6))
    assert choose([empty, busy], make_wanted(), figures).backend is busy


def test_an_engine_that_is_switching_gets_no_request(
    make_backend, make_report, make_wanted, figures
):
    switching, busy = make_backend("switching"), make_backend("busy")
    switching.reported(make_report(10.0, switching=True))
    busy.reported(make_report(10.0, running=6))
    assert choose([switching, busy], make_wanted(), figures).backend is busy


def test_a_long_request_avoids_an_engine_that_closes_soon(
    make_backend, make_report, make_wanted, figures
):
    closing, other = make_backend("closing"), make_backend("other")
    closing.reported(make_report(10.0, running=2, closes_at=10.5))
    other.reported(make_report(10.0, running=2))
    long = make_wanted(answer_tokens=200.0)
    short = make_wanted(answer_tokens=10.0)
    assert choose([closing, other], long, figures).backend is other
    chosen = {
        choose([closing, other], short, figures, seed=s).backend.listed.server_id
        for s in range(20)
    }
    assert chosen == {"closing", "other"}


def test_weights_below_the_minimum_version_get_no_request(
    make_backend, make_report, make_wanted, figures
):
    old, new = make_backend("old"), make_backend("new")
    old.reported(make_report(10.0, version=1))
    new.reported(make_report(10.0, version=2, running=7))
    assert choose([old, new], make_wanted(min_version=2), figures).backend is new


def test_a_request_that_would_be_late_on_every_engine_is_refused(
    make_backend, make_report, make_wanted, figures
):
    full = make_backend("full")
    full.reported(make_report(10.0, running=8, waiting=6))
    refused = choose([full], make_wanted(), figures)
    assert isinstance(refused, Refused)
    assert refused.reason == "overloaded"
    assert refused.retry_after_s > 0


def test_a_request_that_is_already_late_gets_only_free_slots(
    make_backend, make_report, make_wanted, figures
):
    server = make_backend("a")
    late_request = make_wanted(first_event_within_s=-0.5)
    server.reported(make_report(10.0, running=7))
    assert isinstance(choose([server], late_request, figures), Chosen)
    server.reported(make_report(10.0, running=8))
    assert isinstance(choose([server], late_request, figures), Refused)


def test_another_domain_is_chosen_only_if_it_is_clearly_faster(
    make_backend, make_report, make_wanted, figures
):
    here, there = make_backend("here"), make_backend("there", domain="there")
    here.reported(make_report(10.0, running=4))
    there.reported(make_report(10.0, running=3))
    assert choose([here, there], make_wanted(), figures).backend is here
    here.reported(make_report(10.0, running=8, waiting=2))
    assert choose([here, there], make_wanted(), figures).backend is there


def test_refusals_give_a_reason(make_backend, make_report, make_wanted, figures):
    server = make_backend("a")
    assert choose([], make_wanted(), figures).reason == "no back end is listed"
    server.failed(9.9)
    assert "failed" in choose([server], make_wanted(), figures).reason
    server.ejected_until = 0.0
    server.reported(make_report(10.0, version=0))
    assert "weights" in choose([server], make_wanted(), figures).reason


def test_retry_delays_of_simultaneous_refusals_differ(make_wanted, figures):
    waits = {choose([], make_wanted(), figures, seed=s).retry_after_s for s in range(9)}
    assert len(waits) == 9


def test_a_plain_service_is_chosen_by_its_load(make_backend, make_wanted):
    busy, idle = make_backend("busy"), make_backend("idle")
    for backend in (busy, idle):
        backend.finished(0.02)
    busy.in_flight = 12
    wanted = make_wanted(model="")
    assert choose([busy, idle], wanted, None).backend is idle


def test_a_plain_server_that_was_full_is_not_chosen(make_backend, make_wanted):
    full, other = make_backend("full"), make_backend("other")
    full.refused(9.95)
    other.in_flight = 3
    assert choose([full, other], make_wanted(model=""), None).backend is other


def test_an_engine_whose_agent_stopped_reporting_does_not_count_as_idle(
    make_backend, make_report, make_wanted, figures
):
    silent, busy = make_backend("dark"), make_backend("busy")
    silent.reported(make_report(9.0, running=1))
    busy.reported(make_report(10.0, running=7))
    assert choose([silent, busy], make_wanted(), figures).backend is busy
