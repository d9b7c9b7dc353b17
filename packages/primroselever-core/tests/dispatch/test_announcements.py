"""
Pattern: several servers close at once, with their slots taken, and open again.

Others announce that they leave. Both kinds of announcements come in answers to requests
that are under way together, and the list of servers lags behind them.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, strategies

from primroselever_core.dispatch.announcements import (
    CALLER_MARGIN_S,
    MAX_CLOSED_S,
    MAX_UNLISTED_STARTS,
    RETURN_SPREAD_S,
    Announced,
    AnnouncementsSection,
    ServerStart,
    caller_return_s,
    earliest_return,
    start_of,
)
from primroselever_core.dispatch.choose import Chosen, Refused, choose_backend
from primroselever_core.dispatch.section import BackendsSection

NOW = 10.0


def choose(backends, needs, figures=None, excluded=(), now=NOW, seed=1):
    return choose_backend(backends, needs, figures, "here", excluded, now, Random(seed))


# Guards against requests to a server that leaves while the store lists it as ready.
def test_a_server_that_announced_its_leaving_gets_no_request(
    make_backend, make_needs, figures
):
    leaving, other = make_backend("leaving"), make_backend("other")
    leaving.announced.is_leaving = True
    other.in_flight = 7
    for service_figures in (figures, None):
        assert choose([leaving, other], make_needs(), service_figures).backend is other
        alone = choose([leaving], make_needs(), service_figures)
        assert isinstance(alone, Refused)
        assert "leaving" in alone.reason


# Guards against a return to a server before the time that it named.
@pytest.mark.parametrize("with_figures", [True, False])
def test_a_closed_server_gets_no_request_until_its_time_is_over(
    make_backend, make_needs, figures, with_figures
):
    service_figures = figures if with_figures else None
    closed, other = make_backend("closed"), make_backend("other")
    closed.announced.record_closure(NOW + 2.0, NOW, Random(1))
    other.in_flight = 7
    for now in (NOW, NOW + 0.6, NOW + 1.99, NOW + 2.0):
        choice = choose([closed, other], make_needs(), service_figures, now=now)
        assert choice.backend is other
    later = NOW + 2.0 + RETURN_SPREAD_S
    choice = choose([closed, other], make_needs(), service_figures, now=later)
    assert choice.backend is closed


# Guards against the fallback to failing servers reaching closed or leaving ones.
def test_failing_servers_are_preferred_to_closed_and_leaving_ones(
    make_backend, make_needs
):
    failing, closed, leaving = (make_backend(name) for name in ("a", "b", "c"))
    failing.outcomes = [False] * 10
    closed.outcomes, leaving.outcomes = [True] * 10, [True] * 10
    closed.announced.record_closure(NOW + 2.0, NOW, Random(1))
    leaving.announced.is_leaving = True
    assert choose([failing, closed, leaving], make_needs()).backend is failing


# Guards against callers that wait for a server to open, or return before it does.
def test_callers_of_a_closed_service_are_told_when_its_first_server_returns(
    make_backend, make_needs
):
    backends = [make_backend(name) for name in "abcd"]
    for index, backend in enumerate(backends[:3]):
        backend.announced.record_closure(NOW + 3.0 - index, NOW, Random(index))
    backends[3].announced.is_leaving = True
    first_return = backends[2].announced.returns_at
    # A back end that was tried before counts too: the caller's next request may use it.
    for excluded in ((), ("c",), ("a", "b", "c", "d")):
        refusals = [
            choose(backends, make_needs(), excluded=excluded, seed=seed)
            for seed in range(50)
        ]
        delays = [refusal.retry_after_s for refusal in refusals]
        assert min(delays) >= first_return - NOW + CALLER_MARGIN_S
        assert max(delays) <= first_return - NOW + 0.6
        assert len({round(delay, 3) for delay in delays}) > 25
        # The log line of the request shows which servers are closed and until when.
        shown = [each.partition(":")[0] for each in refusals[0].candidates.split()]
        assert shown == ["c", "b", "a"]


def test_a_service_with_an_open_server_keeps_its_usual_delay(make_backend, make_needs):
    closed, ejected = make_backend("closed"), make_backend("ejected")
    closed.announced.record_closure(NOW + 60.0, NOW, Random(1))
    ejected.record_failure(NOW, NOW)
    refusal = choose([closed, ejected], make_needs())
    assert refusal.retry_after_s <= 1.0
    assert "failed lately" in refusal.reason
    assert "turn requests away" in refusal.reason
    assert refusal.candidates.startswith("closed:closed:60")


def test_callers_with_little_time_left_return_first():
    urgent, patient = (
        [caller_return_s(NOW + 1.0, waits_s, NOW, Random(seed)) for seed in range(99)]
        for waits_s in (0.5, 5.0)
    )
    assert max(urgent) < 1.1
    assert max(patient) > 1.4
    assert min(urgent + patient) >= 1.0 + CALLER_MARGIN_S


# Guards against entries that all return in the instant in which the server opens.
def test_entries_return_to_a_server_at_different_times_and_never_early():
    returns = []
    for seed in range(40):
        announced = Announced()
        announced.record_closure(NOW + 2.0, NOW, Random(seed))
        returns.append(announced.returns_at)
    assert min(returns) >= NOW + 2.0
    assert max(returns) <= NOW + 2.0 + RETURN_SPREAD_S
    assert len({round(each, 2) for each in returns}) > 15


# Guards against a log line and a new spread for each of the requests that were under
# way when a full server began to turn requests away.
def test_refusals_of_requests_under_way_together_close_a_server_once():
    announced, random = Announced(), Random(1)
    changes = [
        announced.record_closure(NOW + step + 1.0, NOW + step, random)
        for step in (0.0, 0.01, 0.02, 0.05)
    ]
    assert changes == [True, False, False, False]
    assert announced.closed_until == NOW + 1.05
    assert NOW + 1.05 <= announced.returns_at <= NOW + 1.05 + RETURN_SPREAD_S


def test_the_latest_end_of_several_closures_counts():
    announced, random = Announced(), Random(1)
    assert announced.record_closure(NOW + 3.0, NOW, random)
    assert not announced.record_closure(NOW + 1.0, NOW + 0.1, random)
    assert announced.closed_until == NOW + 3.0
    assert announced.record_closure(NOW + 4.0, NOW + 0.2, random)
    assert announced.returns_at >= announced.closed_until == NOW + 4.0


# Guards against an order of answers that opens a server before the latest end that it
# named, or delays its return further with each of them.
@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0.0, 3.0), strategies.floats(-1.0, 900.0))
    ),
    strategies.randoms(use_true_random=False),
)
def test_no_order_of_closures_returns_early_or_much_too_late(closures, random):
    announced, now, latest_end = Announced(), NOW, 0.0
    for passed_s, closed_s in closures:
        now += passed_s
        announced.record_closure(now + closed_s, now, random)
        if now + closed_s > now:
            latest_end = max(latest_end, now + min(closed_s, MAX_CLOSED_S))
        assert announced.closed_until == pytest.approx(latest_end)
        assert announced.returns_at >= announced.closed_until
        assert announced.returns_at <= announced.closed_until + RETURN_SPREAD_S + 1e-6


def test_a_closure_that_is_over_or_absurd_is_bounded():
    announced, random = Announced(), Random(1)
    assert not announced.record_closure(NOW, NOW, random)
    assert not announced.record_closure(NOW - 5.0, NOW, random)
    assert announced.admits_requests(NOW)
    assert announced.record_closure(float("inf"), NOW, random)
    assert announced.returns_at <= NOW + MAX_CLOSED_S + RETURN_SPREAD_S


# Pattern: release under full load. Guards against all requests of an entry going to the
# server that has just opened, which would close it again at once.
def test_a_server_that_opens_under_full_load_gets_no_more_than_the_others(
    make_backend, make_needs, figures
):
    backends = [make_backend(name) for name in "abcd"]
    for backend in backends[:3]:
        backend.announced.record_closure(NOW + 1.0, NOW, Random(1))
    backends[3].in_flight = 6
    needs = make_needs(prompt_tokens=0.0)
    chosen: Counter[str] = Counter()
    for _request in range(30):
        choice = choose(backends, needs, figures, now=NOW + 2.0, seed=len(chosen))
        if isinstance(choice, Chosen):
            choice.backend.in_flight += 1
            chosen[choice.backend.listed.server_id] += 1
    loads = [backend.in_flight for backend in backends]
    assert max(loads) - min(loads) <= 2
    assert chosen.total() > 20


def test_a_service_is_closed_only_while_no_server_is_open():
    open_, closed, leaving = Announced(), Announced(), Announced(is_leaving=True)
    closed.record_closure(NOW + 1.0, NOW, Random(1))
    assert earliest_return([closed, leaving], NOW) == closed.returns_at
    assert earliest_return([closed, open_], NOW) is None
    assert earliest_return([closed], closed.returns_at) is None
    assert earliest_return([leaving], NOW) is None
    assert earliest_return([], NOW) is None


# Guards against a heartbeat of the same start, or a list that briefly lacks it, making
# a server that leaves or is closed look like a new one.
def test_announcements_outlast_listings_of_the_same_start(make_backend):
    section = BackendsSection()
    listed = make_backend("a").listed
    section.apply_listing([listed])
    section.announcements.record_leaving(start_of(listed))
    section.apply_listing([replace(listed, slots=9, revision=7)])
    assert not section.backends["a"].available(NOW)
    section.apply_listing([])
    section.apply_listing([listed])
    assert not section.backends["a"].available(NOW)


def test_an_announcement_received_before_the_listing_counts(make_backend):
    section = BackendsSection()
    listed = make_backend("a").listed
    section.announcements.record_leaving(start_of(listed))
    section.apply_listing([])
    section.apply_listing([listed])
    assert not section.backends["a"].available(NOW)


# Guards against a server that stays unused after a restart under its old identifier.
@pytest.mark.parametrize(
    "change", [{"born_ms": 2}, {"server_id": "b"}, {"address": ("10.0.0.9", 1)}]
)
def test_another_start_begins_without_announcements(make_backend, change):
    section = BackendsSection()
    listed = make_backend("a").listed
    section.apply_listing([listed])
    section.announcements.record_leaving(start_of(listed))
    section.backends["a"].announced.record_closure(NOW + 9.0, NOW, Random(1))
    later = replace(listed, **change)
    section.apply_listing([later])
    assert section.backends[later.server_id].available(NOW)
    # A store that came back from an older copy lists the earlier start for a while.
    section.apply_listing([listed])
    assert not section.backends["a"].available(NOW)


def test_the_number_of_remembered_starts_is_bounded():
    section = AnnouncementsSection()
    starts = [
        ServerStart(f"i-{n}", ("10.0.0.1", n), 1)
        for n in range(MAX_UNLISTED_STARTS + 50)
    ]
    for start in starts:
        section.record_leaving(start)
    section.of_start(ServerStart("blank", ("10.0.0.2", 1), 1))
    section.drop_unlisted({starts[0]})
    assert len(section.by_start) == MAX_UNLISTED_STARTS + 1
    assert section.of_start(starts[0]).is_leaving
    assert section.of_start(starts[-1]).is_leaving
    assert not section.of_start(starts[1]).is_leaving
