"""What many runs of one request that end at once say about it, and what a row says."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from primroselever_core.direct_board import BROKEN_RUNS
from primroselever_core.suspects.section import SuspectsSection
from primroselever_entry.direct.crash_watch import CrashWatch

HOT = SimpleNamespace(host="desk.example", target=b"/stock/7", body=b"", shown_id="r1")


@pytest.fixture
def watch() -> CrashWatch:
    suspects = SuspectsSection(quarantine_crashes=BROKEN_RUNS)
    return CrashWatch(suspects, lambda fingerprint: None)


def backend(name: str) -> SimpleNamespace:
    return SimpleNamespace(listed=SimpleNamespace(server_id=name, born_ms=5))


def test_servers_that_are_killed_together_say_nothing_about_a_hot_key(watch):
    known = [watch.known_crashes(HOT, "north") for _server in range(8)]
    for number, at_begin in enumerate(known):
        watch.broke_off(HOT, "north", backend(f"i-{number}"), at_begin)
    assert watch.quarantined_for_s(HOT, "north") is None


def test_one_run_after_the_other_that_crashes_a_server_does(watch):
    for number in range(BROKEN_RUNS):
        assert watch.quarantined_for_s(HOT, "north") is None
        known = watch.known_crashes(HOT, "north")
        watch.broke_off(HOT, "north", backend(f"i-{number}"), known)
    assert watch.quarantined_for_s(HOT, "north") > 0
    assert watch.quarantined_for_s(HOT, "south") is None
