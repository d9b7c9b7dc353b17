"""
Quarantine of requests that crash servers.

Servers that are killed at once may all be running a popular request, which must not be
quarantined for that; a request that crashes servers in a row must be.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from primroselever_core.suspects.section import SuspectsSection
from primroselever_entry.direct.crash_watch import QUARANTINE_CRASHES_IN_ROW, CrashWatch

REQUEST = SimpleNamespace(
    host="desk.example", target=b"/stock/7", body=b"", log_id="r1"
)


@pytest.fixture
def watch() -> CrashWatch:
    return CrashWatch(SuspectsSection(), lambda fingerprint: None)


def backend(name: str) -> SimpleNamespace:
    return SimpleNamespace(listed=SimpleNamespace(server_id=name, born_ms=5))


def test_servers_killed_at_once_do_not_quarantine_a_request(watch):
    known_at_start = [watch.known_crashes(REQUEST, "north") for _server in range(8)]
    for number, known_crashes in enumerate(known_at_start):
        watch.record_broken_run(REQUEST, "north", backend(f"i-{number}"), known_crashes)
    assert watch.quarantine_remaining_s(REQUEST, "north") is None


def test_servers_killed_at_once_do_not_quarantine_across_entries(watch):
    for number in range(8):
        other_watch = CrashWatch(SuspectsSection(), lambda fingerprint: None)
        other_watch.record_broken_run(
            REQUEST, "north", backend(f"i-{number}"), frozenset()
        )
        for record in other_watch.suspects.records.values():
            watch.suspects.merge(record, 0.0)
    assert watch.known_crashes(REQUEST, "north")
    assert watch.quarantine_remaining_s(REQUEST, "north") is None


def test_answer_ends_the_row(watch):
    for number in range(2 * QUARANTINE_CRASHES_IN_ROW):
        known_crashes = watch.known_crashes(REQUEST, "north")
        if number % QUARANTINE_CRASHES_IN_ROW == QUARANTINE_CRASHES_IN_ROW - 1:
            watch.record_answer(REQUEST, "north", known_crashes)
        else:
            watch.record_broken_run(
                REQUEST, "north", backend(f"i-{number}"), known_crashes
            )
    assert watch.quarantine_remaining_s(REQUEST, "north") is None


def test_crashes_in_a_row_quarantine_the_request_of_one_workspace(watch):
    for number in range(QUARANTINE_CRASHES_IN_ROW):
        assert watch.quarantine_remaining_s(REQUEST, "north") is None
        known_crashes = watch.known_crashes(REQUEST, "north")
        watch.record_broken_run(REQUEST, "north", backend(f"i-{number}"), known_crashes)
    assert watch.quarantine_remaining_s(REQUEST, "north") > 0
    assert watch.quarantine_remaining_s(REQUEST, "south") is None
