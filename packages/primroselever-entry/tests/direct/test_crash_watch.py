"""
Quarantine of requests that crash servers.

Servers that are killed at once may all be running a popular request, which must not be
quarantined for that; a request that crashes servers in a row must be.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from primroselever_core.suspects.section import SuspectsSection
from primroselever_entry.direct.caller_request import parse_shared_parts
from primroselever_entry.direct.crash_watch import QUARANTINE_CRASHES_IN_ROW, CrashWatch

from .conftest import RESET

pytestmark = pytest.mark.usefixtures("long_limits")

REQUEST = SimpleNamespace(
    host="desk.example", target=b"/stock/7", body=b"", log_id="r1", shared_parts=()
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


def test_log_of_a_broken_run_names_the_shared_parts_of_its_prompt(entry, caplog):
    # Two requests that crash servers may have nothing in common but such a part.
    caplog.set_level("INFO", logger="primroselever.decisions")
    entry.add("a", "engine").responses = [[RESET]]
    entry.send("/ask/x", headers=["x-model: m", "x-parts: 5C1e:800,91bd:410,e4:2"])
    (line,) = [each for each in caplog.records if each.message == "request suspected"]
    assert line.prompt_parts == ("5c1e", "91bd")


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"5c:800,91:410,e4:250", ("5c", "91")),
        (b" 5c:800 , e4:250 ", ("5c",)),
        (b"5c:1,5c:1,e4:1", ("5c",)),
        (b"e4:250", ()),
        (b"", ()),
        (b"5c:800,,e4:250", ()),
        (b"5c,e4:250", ()),
        (b"5c:x,e4:250", ()),
        (b"zz:8,e4:250", ()),
        (b"%s:8,e4:250" % (b"a" * 65), ()),
        (b",".join(b"%x:1" % index for index in range(40)), tuple("0123456789abcdef")),
    ],
)
def test_shared_parts_are_all_but_the_last_part_of_a_prompt(value, parts):
    # The last part belongs to the request or its session and never crashes servers.
    assert parse_shared_parts(value) == parts
