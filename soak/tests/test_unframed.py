"""The back ends that answer without a length, and the mutants that they show."""

from __future__ import annotations

import pytest

from soak.engines import UnframedEnd
from soak.faults import MAX_GROWTH_BYTES, check_growth
from soak.ledger import Attempt, Ledger, Run, make_event
from soak.mutants import MUTANTS


def test_growth_beyond_the_limit_of_all_buffers_is_a_violation() -> None:
    ledger = Ledger()
    check_growth(ledger, "entry", MAX_GROWTH_BYTES)
    assert not ledger.violations
    check_growth(ledger, "entry", MAX_GROWTH_BYTES + 1)
    assert [violation.rule for violation in ledger.violations] == ["memory"]


@pytest.mark.parametrize(
    ("body", "whole", "rules"),
    [
        (make_event("r1", 1) + make_event("r1", 2), True, []),
        (make_event("r1", 1) + make_event("r1", 2)[:9], True, ["order"]),
        (make_event("r1", 1), True, ["order"]),
        (b"", True, ["order"]),
        (make_event("r1", 1), False, []),
    ],
)
def test_stream_that_is_framed_as_complete_must_be_complete(
    body: bytes, whole: bool, rules: list[str]
) -> None:
    ledger = Ledger()
    run = Run("s", 1.0, "w", interrupted=True)
    ledger.runs["r1"].append(run)
    attempt = Attempt(
        "r1", "stream", "e", 1.0, 2.0, "w", 200, run.seal, "r1", body, whole, 1.5
    )
    attempt.last_event = 2
    ledger.check_attempt(attempt)
    assert [violation.rule for violation in ledger.violations] == rules


def test_each_end_and_each_mutant_has_its_name() -> None:
    assert len(set(UnframedEnd)) == 4
    assert {"orderly-end-completes", "buffers-unbounded"} <= MUTANTS.keys()
