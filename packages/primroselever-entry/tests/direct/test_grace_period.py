"""Which requests may be passed on, by a clock that the tests set."""

from __future__ import annotations

from math import inf

import pytest

from primroselever_entry.direct.grace_period import GracePeriod


@pytest.fixture
def grace_period() -> GracePeriod:
    grace_period = GracePeriod()
    grace_period.begin(103.0, 107.4)
    return grace_period


# Guards against refusals by a process that does not stop.
def test_every_request_is_admitted_before_a_stop():
    assert GracePeriod().admits(inf, 1e9)


# Guards against requests that are passed on although the end could cut them off, and
# against refusals of those that end in time.
@pytest.mark.parametrize(
    ("now", "deadline", "admitted"),
    [
        (100.0, 160.0, True),
        (102.999, 160.0, True),
        (103.0, 107.401, False),
        (103.0, 107.4, True),
        (107.3, 107.4, True),
        (107.3, 107.5, False),
    ],
)
def test_late_requests_are_admitted_if_they_end_in_time(
    grace_period, now, deadline, admitted
):
    assert grace_period.admits(deadline, now) is admitted


# Guards against a request that is served since its server closes before the time.
def test_a_request_after_the_close_must_end_in_time(grace_period):
    assert grace_period.admits(107.4, 101.0, comes_late=True)
    assert not grace_period.admits(108.0, 101.0, comes_late=True)


# Guards against a repeated signal or a reload that moves the end.
def test_a_stop_that_has_begun_is_not_changed(grace_period):
    grace_period.begin(203.0, 207.4)
    assert (grace_period.takes_until, grace_period.ends_at) == (103.0, 107.4)


# Guards against requests that are passed on by a process that exits early.
def test_nothing_is_admitted_once_the_process_ends(grace_period):
    grace_period.close()
    grace_period.begin(203.0, 207.4)
    assert not grace_period.admits(104.0, 101.0)
