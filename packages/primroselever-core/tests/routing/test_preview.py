"""Choices by a copy of a router, as an explanation makes them."""

from __future__ import annotations

from copy import deepcopy

import pytest

from primroselever_core.outcomes import NotRun, Reason
from primroselever_core.routing.choose import Choice
from primroselever_core.routing.preview import copy_router
from primroselever_core.suspects.section import CrashId


@pytest.mark.parametrize("home", [0, 6])
def test_a_choice_by_a_copy_changes_nothing_of_the_router(new_router, wanted, home):
    """
    The copy shares no record with the router.

    Each choice is made after the last one's loads and marks became stale, so it
    refreshes them in the copy.
    """
    router = new_router(home=home)
    request = wanted()
    choice = router.choose_for_request(request, (), 1.0)
    router.record_start(request, choice.server)
    choice.server.apply_report(4, False, 1.0)
    refusal = NotRun(Reason.OVERLOADED, 1.0)
    router.full_marks.mark_full("ministry", 5, choice.server.vm.vm_id, 1.0, 1.0)
    router.board.suspects.record_crash(CrashId("a/1"), [wanted("x").fingerprint], 1.0)
    router.record_end(request, choice.server, refusal, 1.0)
    before = deepcopy(router)
    random_state = router.random.getstate()
    preview = copy_router(router)
    for number in range(20):
        now = 60.0 * number
        for body in ("x", f"tend {number}"):
            chosen = preview.choose_for_request(wanted(body), (), now)
            if isinstance(chosen, Choice):
                preview.record_start(wanted(body), chosen.server)

    assert preview.board.servers != before.board.servers
    assert router.random.getstate() == random_state
    router.random = before.random
    assert router == before


def test_a_copy_chooses_what_the_router_chooses(new_router, wanted):
    """The load bound and the random choice of two depend on everything copied."""
    router = new_router()
    for number in range(200):
        now = 1.0 + number / 50
        request = wanted(f"{number % 3}", workspace=f"tenant-{number % 2}")
        expected = copy_router(router).choose_for_request(request, (), now)
        choice = router.choose_for_request(request, (), now)
        assert describe(choice) == describe(expected)
        if isinstance(choice, NotRun):
            continue
        router.record_start(request, choice.server)
        if number % 7 == 0:
            refusal = NotRun(Reason.OVERLOADED, 1.0)
            router.record_end(request, choice.server, refusal, now)


def describe(choice):
    if isinstance(choice, NotRun):
        return choice
    return choice.server.vm.vm_id, choice.reason, choice.candidates
