"""The checks of the soak report each violation and accept permitted behaviour."""

from __future__ import annotations

from typing import Any

import pytest

from soak.ledger import Attempt, FaultPeriod, Ledger, Run, make_events


@pytest.fixture
def ledger() -> Ledger:
    return Ledger()


def make_attempt(ledger: Ledger, kind: str = "order", **changes: Any) -> Attempt:
    fields: dict[str, Any] = {
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
    attempt = Attempt(**(fields | changes))
    ledger.attempts.append(attempt)
    return attempt


def record_run(
    ledger: Ledger, server_id: str = "i-1", started_at: float = 100.0, **changes: Any
) -> None:
    ledger.record_run(
        "r1", Run(server_id, started_at, **({"workspace": "north"} | changes))
    )


def violated_rules(ledger: Ledger) -> set[str]:
    for attempt in ledger.attempts:
        ledger.check_attempt(attempt)
    ledger.check_completed_soak()
    return {violation.rule for violation in ledger.violations}


def test_complete_answer_violates_no_rule(ledger: Ledger) -> None:
    make_attempt(ledger)
    record_run(ledger, body=b"answer")
    assert violated_rules(ledger) == set()


def test_order_that_ran_twice_is_reported(ledger: Ledger) -> None:
    make_attempt(ledger)
    record_run(ledger, body=b"answer")
    record_run(ledger, "i-2", body=b"answer")
    assert violated_rules(ledger) == {"twice"}


@pytest.mark.parametrize("status", [429, 503])
def test_refusal_of_request_that_ran_is_reported(ledger: Ledger, status: int) -> None:
    make_attempt(ledger, status=status, seal="")
    record_run(ledger)
    assert violated_rules(ledger) == {"refused"}


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
def test_wrong_answer_is_reported(
    ledger: Ledger, changes: dict[str, Any], rule: str
) -> None:
    make_attempt(ledger, **changes)
    record_run(ledger, body=b"answer")
    assert violated_rules(ledger) == {rule}


def test_stream_with_missing_or_repeated_event_is_reported(ledger: Ledger) -> None:
    complete_body = make_events("r1", 1, 3)
    make_attempt(ledger, "stream", body=complete_body)
    make_attempt(ledger, "stream", body=make_events("r1", 1, 2))
    make_attempt(ledger, "stream", body=complete_body + make_events("r1", 3, 3))
    record_run(ledger)
    violated_rules(ledger)
    assert [violation.rule for violation in ledger.violations] == ["order", "order"]


def test_run_of_unknown_request_is_reported(ledger: Ledger) -> None:
    record_run(ledger)
    assert violated_rules(ledger) == {"unasked"}


def test_late_request_to_draining_server_is_reported(ledger: Ledger) -> None:
    ledger.draining_since["i-1"] = 100.0
    make_attempt(ledger)
    record_run(ledger, started_at=101.9, body=b"answer")
    assert violated_rules(ledger) == set()
    record_run(ledger, started_at=102.1, body=b"answer")
    assert {violation.rule for violation in ledger.violations} == {"drain"}


def test_entry_recovering_from_fault_may_use_draining_server(ledger: Ledger) -> None:
    ledger.draining_since["i-1"] = 100.0
    ledger.fault_periods.append(FaultPeriod("freeze", "entry-1", 98.0, 99.0))
    make_attempt(ledger)
    record_run(ledger, started_at=102.1, body=b"answer")
    assert violated_rules(ledger) == set()


def test_interrupted_answer_is_reported_unless_fault_explains_it(
    ledger: Ledger,
) -> None:
    make_attempt(ledger, status=0, whole=False)
    record_run(ledger)
    ledger.fault_periods.append(FaultPeriod("terminate", "entry-1", 99.9, planned=True))
    assert violated_rules(ledger) == {"lost"}
    ledger.violations.clear()
    ledger.fault_periods.append(FaultPeriod("kill", "entry-1", 100.05, 101.0))
    assert violated_rules(ledger) == set()


def test_configuration_rollback_is_reported_within_one_incarnation(
    ledger: Ledger,
) -> None:
    ledger.record_configuration("entry-1", 1, 4, 100.0)
    ledger.record_configuration("entry-1", 2, 3, 101.0)
    ledger.record_configuration("entry-1", 1, 3, 100.1)
    assert not ledger.violations
    ledger.record_configuration("entry-1", 1, 3, 101.0)
    assert [violation.rule for violation in ledger.violations] == ["configuration back"]


def test_served_share_counts_attempts_since_start_time(ledger: Ledger) -> None:
    make_attempt(ledger, sent_at=90.0, status=503)
    make_attempt(ledger)
    make_attempt(ledger, status=503)
    assert ledger.served_share(95.0) == 0.5


@pytest.mark.parametrize(
    ("period", "rules"),
    [
        (FaultPeriod("store restored", "", 102.5, 103.5), {"drain"}),
        (FaultPeriod("store restored", "", 101.5, 102.5), set()),
        (FaultPeriod("kill", "entry-1", 102.5, 103.5), set()),
        (FaultPeriod("terminate", "entry-1", 102.5, 103.5, planned=True), {"drain"}),
    ],
)
def test_restored_store_does_not_excuse_entry_that_knew_of_draining(
    ledger: Ledger, period: FaultPeriod, rules: set[str]
) -> None:
    """
    An entry that learned that a server leaves must not forget it in a restore.

    A check that any fault of the store excuses would not notice this.
    """
    ledger.draining_since["i-1"] = 100.0
    ledger.fault_periods.append(period)
    make_attempt(ledger, sent_at=104.0, ended_at=104.1)
    record_run(ledger, started_at=104.0, body=b"answer")
    assert violated_rules(ledger) == rules
