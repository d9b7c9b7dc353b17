"""The soak's checks find what they are for, and nothing in what is allowed."""

from __future__ import annotations

from typing import Any

import pytest

from soak.ledger import Attempt, Ledger, Run, Span, events


@pytest.fixture
def ledger() -> Ledger:
    return Ledger()


def make_attempt(ledger: Ledger, kind: str = "order", **changes: Any) -> Attempt:
    values: dict[str, Any] = {
        "request_id": "r1",
        "kind": kind,
        "entry": "entry-1",
        "sent_at": 100.0,
        "timeout_s": 2.0,
        "workspace": "north",
        "status": 200,
        "seal": "s",
        "echoed_id": "r1",
        "body": b"answer",
        "whole": True,
        "ended_at": 100.1,
        "last_event": 3,
    }
    attempt = Attempt(**(values | changes))
    ledger.attempts.append(attempt)
    return attempt


def ran(ledger: Ledger, server: str = "i-1", at: float = 100.0, **changes: Any) -> None:
    ledger.ran("r1", Run(server, at, **({"workspace": "north"} | changes)))


def rules(ledger: Ledger) -> set[str]:
    for attempt in ledger.attempts:
        ledger.check_attempt(attempt)
    ledger.check_end()
    return {breach.rule for breach in ledger.breaches}


def test_a_whole_answer_breaks_nothing(ledger: Ledger) -> None:
    make_attempt(ledger)
    ran(ledger, body=b"answer")
    assert rules(ledger) == set()


def test_an_order_that_ran_twice_is_found(ledger: Ledger) -> None:
    make_attempt(ledger)
    ran(ledger, body=b"answer")
    ran(ledger, "i-2", body=b"answer")
    assert rules(ledger) == {"twice"}


@pytest.mark.parametrize("status", [429, 503])
def test_a_refusal_of_what_ran_is_found(ledger: Ledger, status: int) -> None:
    make_attempt(ledger, status=status, seal="")
    ran(ledger)
    assert rules(ledger) == {"refused"}


@pytest.mark.parametrize(
    ("changes", "rule"),
    [
        ({"seal": ""}, "mixed"),
        ({"body": b"another"}, "mixed"),
        ({"echoed_id": "r2"}, "mixed"),
        ({"workspace": "south"}, "unasked"),
        ({"status": 404}, "denied"),
        ({"ended_at": 102.6}, "held"),
    ],
)
def test_a_wrong_answer_is_found(
    ledger: Ledger, changes: dict[str, Any], rule: str
) -> None:
    make_attempt(ledger, **changes)
    ran(ledger, body=b"answer")
    assert rules(ledger) == {rule}


def test_a_stream_with_a_missing_or_doubled_event_is_found(ledger: Ledger) -> None:
    whole = events("r1", 1, 3)
    make_attempt(ledger, "stream", body=whole)
    make_attempt(ledger, "stream", body=events("r1", 1, 2))
    make_attempt(ledger, "stream", body=whole + events("r1", 3, 3))
    ran(ledger)
    rules(ledger)
    assert [breach.rule for breach in ledger.breaches] == ["order", "order"]


def test_a_run_that_nobody_asked_for_is_found(ledger: Ledger) -> None:
    ran(ledger)
    assert rules(ledger) == {"unasked"}


def test_a_late_request_to_a_leaving_server_is_found(ledger: Ledger) -> None:
    ledger.leaving_since["i-1"] = 100.0
    make_attempt(ledger)
    ran(ledger, at=101.9, body=b"answer")
    assert rules(ledger) == set()
    ran(ledger, at=102.1, body=b"answer")
    assert {breach.rule for breach in ledger.breaches} == {"drain"}


def test_who_was_out_of_touch_is_not_held_to_it(ledger: Ledger) -> None:
    ledger.leaving_since["i-1"] = 100.0
    ledger.spans.append(Span("freeze", "entry-1", 98.0, 99.0))
    make_attempt(ledger)
    ran(ledger, at=102.1, body=b"answer")
    assert rules(ledger) == set()


def test_a_cut_answer_is_found_unless_a_fault_explains_it(ledger: Ledger) -> None:
    make_attempt(ledger, status=0, whole=False)
    ran(ledger)
    ledger.spans.append(Span("terminate", "entry-1", 99.9, planned=True))
    assert rules(ledger) == {"lost"}
    ledger.breaches.clear()
    ledger.spans.append(Span("kill", "entry-1", 100.05, 101.0))
    assert rules(ledger) == set()


def test_a_configuration_that_goes_back_is_found_within_one_start(
    ledger: Ledger,
) -> None:
    ledger.configuration_seen("entry-1", 1, 4, 100.0)
    ledger.configuration_seen("entry-1", 2, 3, 101.0)
    ledger.configuration_seen("entry-1", 1, 3, 100.1)
    assert not ledger.breaches
    ledger.configuration_seen("entry-1", 1, 3, 101.0)
    assert [breach.rule for breach in ledger.breaches] == ["configuration back"]


def test_the_served_share_counts_what_was_sent_since(ledger: Ledger) -> None:
    make_attempt(ledger, sent_at=90.0, status=503)
    make_attempt(ledger)
    make_attempt(ledger, status=503)
    assert ledger.served_share(95.0) == 0.5
