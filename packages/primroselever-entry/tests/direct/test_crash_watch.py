"""What many runs of one request that end at once say about it, and what a row says."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from primroselever_core.suspects.section import SuspectsSection
from primroselever_entry.direct.crash_watch import QUARANTINE_CRASHES_IN_ROW, CrashWatch

HOT = SimpleNamespace(host="desk.example", target=b"/stock/7", body=b"", log_id="r1")


@pytest.fixture
def watch() -> CrashWatch:
    return CrashWatch(SuspectsSection(), lambda fingerprint: None)


def backend(name: str) -> SimpleNamespace:
    return SimpleNamespace(listed=SimpleNamespace(server_id=name, born_ms=5))


def test_servers_that_are_killed_together_say_nothing_about_a_hot_key(watch):
    known = [watch.known_crashes(HOT, "north") for _server in range(8)]
    for number, at_begin in enumerate(known):
        watch.record_broken_run(HOT, "north", backend(f"i-{number}"), at_begin)
    assert watch.quarantine_remaining_s(HOT, "north") is None


def test_nor_do_they_when_their_runs_began_at_different_entries(watch):
    for number in range(8):
        other = CrashWatch(SuspectsSection(), lambda fingerprint: None)
        other.record_broken_run(HOT, "north", backend(f"i-{number}"), frozenset())
        for record in other.suspects.records.values():
            watch.suspects.merge(record, 0.0)
    assert watch.known_crashes(HOT, "north")
    assert watch.quarantine_remaining_s(HOT, "north") is None


def test_an_answer_ends_the_row(watch):
    for number in range(2 * QUARANTINE_CRASHES_IN_ROW):
        known = watch.known_crashes(HOT, "north")
        if number % QUARANTINE_CRASHES_IN_ROW == QUARANTINE_CRASHES_IN_ROW - 1:
            watch.record_answer(HOT, "north", known)
        else:
            watch.record_broken_run(HOT, "north", backend(f"i-{number}"), known)
    assert watch.quarantine_remaining_s(HOT, "north") is None


def test_one_run_after_the_other_that_crashes_a_server_does(watch):
    for number in range(QUARANTINE_CRASHES_IN_ROW):
        assert watch.quarantine_remaining_s(HOT, "north") is None
        known = watch.known_crashes(HOT, "north")
        watch.record_broken_run(HOT, "north", backend(f"i-{number}"), known)
    assert watch.quarantine_remaining_s(HOT, "north") > 0
    assert watch.quarantine_remaining_s(HOT, "south") is None
