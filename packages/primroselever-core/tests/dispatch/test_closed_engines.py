"""For how long entries keep an engine closed after its agent's reports."""

from __future__ import annotations

from dataclasses import replace

from primroselever_core.dispatch.backend import (
    CLOSED_VALID_S,
    Backend,
    EngineReport,
    close_new_start,
    keep_closed,
)

CLOSED = EngineReport(100.0, 1, "m", 2, True, 0, 0, 1.0)


def is_closed(report: EngineReport, now: float) -> bool:
    return Backend(None, report).switching(now)  # type: ignore[arg-type]


def test_an_engine_stays_closed_while_its_agent_is_silent():
    # The agent may be stopped before it has verified what the engine loaded.
    report = keep_closed(None, CLOSED)
    assert is_closed(report, 100.0 + CLOSED_VALID_S)
    assert not is_closed(report, 101.0 + CLOSED_VALID_S)


def test_a_new_process_does_not_reopen_what_the_one_before_closed():
    opened = replace(CLOSED, received_at=103.0, switching=False, unverified=True)
    report = keep_closed(keep_closed(None, CLOSED), opened)
    assert is_closed(report, 103.0)
    assert not is_closed(report, 101.0 + CLOSED_VALID_S)


def test_a_new_process_does_not_open_a_version_that_was_not_reported_before():
    before = replace(CLOSED, switching=False, version=1)
    after = replace(CLOSED, received_at=103.0, switching=False, unverified=True)
    assert is_closed(keep_closed(keep_closed(None, before), after), 103.0)


def test_an_engine_that_was_open_stays_open_with_a_new_process():
    # Agents restart in planned rollouts; that must not close their engines.
    before = replace(CLOSED, switching=False)
    after = replace(before, received_at=103.0, unverified=True)
    assert not is_closed(keep_closed(keep_closed(None, before), after), 103.0)


def test_a_verified_report_opens_an_engine():
    opened = replace(CLOSED, received_at=101.0, switching=False)
    assert not is_closed(keep_closed(keep_closed(None, CLOSED), opened), 101.0)


def test_a_new_start_is_closed_until_its_agent_reports_it():
    # A stopped agent ordered a load that the engine accepted after its restart.
    report = close_new_start(keep_closed(None, replace(CLOSED, switching=False)), 2)
    assert is_closed(report, 105.0)
    assert not is_closed(report, 101.0 + CLOSED_VALID_S)
