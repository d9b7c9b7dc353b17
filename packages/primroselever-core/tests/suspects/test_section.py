from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from primroselever_core.identifiers import Fingerprint
from primroselever_core.suspects.section import (
    CrashId,
    Standing,
    SuspectsSection,
    Suspicion,
)

BAD, BESIDE = Fingerprint("bad"), Fingerprint("beside")
FIRST, SECOND = CrashId("lag-a-0/7/1"), CrashId("lag-a-1/9/1")

sets = st.sets(st.sampled_from([FIRST, SECOND, CrashId("lag-a-2/3/1")]))
suspicions = st.builds(
    Suspicion,
    st.sampled_from([BAD, BESIDE]),
    st.floats(10, 100),
    crashes=sets,
    cleared=sets,
)


@pytest.fixture
def section() -> SuspectsSection:
    return SuspectsSection()


def test_two_crashes_quarantine_a_request_until_the_deadline(section):
    section.record_crash(FIRST, [BAD, BESIDE], 0.0)
    assert section.standing(BAD, 1.0) is Standing.SUSPECT
    section.record_crash(SECOND, [BAD], 2.0)
    assert section.standing(BAD, 3.0) is Standing.QUARANTINED
    assert section.standing(BESIDE, 3.0) is Standing.SUSPECT
    assert section.standing(BAD, 600.0) is Standing.CLEAR


def test_the_same_crash_received_twice_counts_once(section):
    section.record_crash(FIRST, [BAD], 0.0)
    for _ in range(2):
        section.merge(Suspicion(BAD, 500.0, {FIRST}), 1.0)
    assert section.standing(BAD, 2.0) is Standing.SUSPECT


def test_a_success_clears_only_crashes_known_before_its_run(section):
    section.record_crash(FIRST, [BESIDE], 0.0)
    crashes_before_run = section.known_crashes(BESIDE)
    section.record_crash(SECOND, [BESIDE], 1.0)
    assert section.record_success(BESIDE, crashes_before_run)
    assert section.standing(BESIDE, 2.0) is Standing.SUSPECT


def test_a_deadline_that_is_sent_back_and_forth_does_not_grow(section):
    section.record_crash(FIRST, [BAD], 0.0)
    for step in range(1, 100):
        section.merge(Suspicion(BAD, 600.0 + step, {FIRST}), step)
    assert section.standing(BAD, 600.0) is Standing.CLEAR


@given(st.lists(suspicions, max_size=6), st.randoms())
def test_merging_in_any_order_and_twice_gives_the_same_records(received, random):
    ordered, shuffled = SuspectsSection(), SuspectsSection()
    for suspicion in received:
        ordered.merge(suspicion, 0.0)
    repeated = received * 2
    random.shuffle(repeated)
    for suspicion in repeated:
        shuffled.merge(suspicion, 0.0)
    assert ordered.records == shuffled.records


def test_a_crash_after_the_deadline_begins_a_new_record(section):
    section.record_crash(FIRST, [BAD, BESIDE], 0.0)
    section.record_crash(SECOND, [BAD], 601.0)
    section.merge(Suspicion(BESIDE, 900.0, {SECOND}), 601.0)
    assert section.standing(BAD, 602.0) is Standing.SUSPECT
    assert section.standing(BESIDE, 602.0) is Standing.SUSPECT
    assert section.known_crashes(BAD) == {SECOND}
