"""Load near capacity on engines of different occupancy: who gets it, who is refused."""

from __future__ import annotations

from random import Random

from primroselever_core.dispatch.choose import Chosen, Refused, choose_backend


def choose(backends, wanted, figures, passed_over=(), now=10.0, seed=1):
    return choose_backend(
        backends, wanted, figures, "here", passed_over, now, Random(seed)
    )


def test_the_first_event_is_due_first_where_least_waits(
    make_backend, make_report, make_wanted, figures
):
    busy, idle = make_backend("busy"), make_backend("idle")
    busy.reported(make_report(10.0, running=8, waiting=2))
    idle.reported(make_report(10.0, running=4))
    chosen = choose([busy, idle], make_wanted(), figures)
    assert isinstance(chosen, Chosen)
    assert chosen.backend is idle


def test_an_engine_without_weights_is_no_candidate_however_idle(
    make_backend, make_report, make_wanted, figures
):
    empty, busy = make_backend("empty"), make_backend("busy")
    empty.reported(make_report(10.0, version=0))
    busy.reported(make_report(10.0, running=6))
    assert choose([empty, busy], make_wanted(), figures).backend is busy


def test_an_engine_that_switches_gets_nothing_new(
    make_backend, make_report, make_wanted, figures
):
    switching, busy = make_backend("switching"), make_backend("busy")
    switching.reported(make_report(10.0, switching=True))
    busy.reported(make_report(10.0, running=6))
    assert choose([switching, busy], make_wanted(), figures).backend is busy


def test_a_long_request_is_kept_off_an_engine_that_closes_soon(
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


def test_old_weights_get_nothing_past_the_bound(
    make_backend, make_report, make_wanted, figures
):
    old, new = make_backend("old"), make_backend("new")
    old.reported(make_report(10.0, version=1))
    new.reported(make_report(10.0, version=2, running=7))
    assert choose([old, new], make_wanted(min_version=2), figures).backend is new


def test_what_would_come_too_late_everywhere_is_refused_at_once(
    make_backend, make_report, make_wanted, figures
):
    full = make_backend("full")
    full.reported(make_report(10.0, running=8, waiting=6))
    refused = choose([full], make_wanted(), figures)
    assert isinstance(refused, Refused)
    assert refused.reason == "overloaded"
    assert refused.retry_after_s > 0


def test_what_is_late_already_takes_free_places_only(
    make_backend, make_report, make_wanted, figures
):
    server = make_backend("a")
    late = make_wanted(first_event_within_s=-0.5)
    server.reported(make_report(10.0, running=7))
    assert isinstance(choose([server], late, figures), Chosen)
    server.reported(make_report(10.0, running=8))
    assert isinstance(choose([server], late, figures), Refused)


def test_another_domain_is_asked_only_for_a_gain(
    make_backend, make_report, make_wanted, figures
):
    here, there = make_backend("here"), make_backend("there", domain="there")
    here.reported(make_report(10.0, running=4))
    there.reported(make_report(10.0, running=3))
    assert choose([here, there], make_wanted(), figures).backend is here
    here.reported(make_report(10.0, running=8, waiting=2))
    assert choose([here, there], make_wanted(), figures).backend is there


def test_refusals_say_why(make_backend, make_report, make_wanted, figures):
    server = make_backend("a")
    assert choose([], make_wanted(), figures).reason == "no back end is listed"
    server.failed(9.9)
    assert "failed" in choose([server], make_wanted(), figures).reason
    server.ejected_until = 0.0
    server.reported(make_report(10.0, version=0))
    assert "weights" in choose([server], make_wanted(), figures).reason


def test_callers_who_are_refused_together_return_apart(make_wanted, figures):
    waits = {choose([], make_wanted(), figures, seed=s).retry_after_s for s in range(9)}
    assert len(waits) == 9


def test_a_plain_service_is_chosen_by_its_load(make_backend, make_wanted):
    busy, idle = make_backend("busy"), make_backend("idle")
    for backend in (busy, idle):
        backend.finished(0.02)
    busy.in_flight = 12
    wanted = make_wanted(model="")
    assert choose([busy, idle], wanted, None).backend is idle


def test_a_plain_server_that_was_full_is_passed_over(make_backend, make_wanted):
    full, other = make_backend("full"), make_backend("other")
    full.refused(9.95)
    other.in_flight = 3
    assert choose([full, other], make_wanted(model=""), None).backend is other


def test_an_engine_whose_agent_fell_silent_is_not_taken_for_idle(
    make_backend, make_report, make_wanted, figures
):
    dark, busy = make_backend("dark"), make_backend("busy")
    dark.reported(make_report(9.0, running=1))
    busy.reported(make_report(10.0, running=7))
    assert choose([dark, busy], make_wanted(), figures).backend is busy
