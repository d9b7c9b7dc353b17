from __future__ import annotations

import pytest

from primroselever_core.identifiers import Incarnation, RunId
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.runs.cursor import AnswerCursor
from primroselever_core.runs.registry import RunState
from primroselever_core.runs.starting import (
    StartState,
    said_of_resolve,
    said_of_start,
)

NEWER = "a_reason_of_a_newer_version"


@pytest.mark.parametrize("reason", [NEWER, ""])
def test_a_start_refused_for_an_unknown_reason_did_not_run(reason: str) -> None:
    said = said_of_start(StartState.REFUSED, reason, 2.0)
    assert said == NotRun(Reason.INTERNAL, 2.0)
    assert said_of_start(StartState.UNKNOWN, reason, None) == Unknown(Reason.INTERNAL)


def test_a_resolution_with_an_unknown_reason_keeps_its_state() -> None:
    not_run = said_of_resolve(RunState.NOT_RUN, NEWER, None)
    assert not_run == NotRun(Reason.INTERNAL)
    missing = said_of_resolve(RunState.MISSING, NEWER, None)
    assert missing == Unknown(Reason.INTERNAL)


@pytest.mark.parametrize(
    ("state", "ending"),
    [
        (RunState.NOT_RUN, NotRun(Reason.INTERNAL)),
        (RunState.FAILED, Unknown(Reason.INTERNAL)),
        (RunState.MISSING, Unknown(Reason.INTERNAL)),
        ("a_state_of_a_newer_version", Unknown(Reason.INTERNAL)),
    ],
)
def test_an_answer_that_ends_for_an_unknown_reason_ends(state, ending) -> None:
    cursor = AnswerCursor(RunId("run"), Incarnation(1))
    assert cursor.ending(state, NEWER, 0, "") == ending
