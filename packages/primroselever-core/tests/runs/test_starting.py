from __future__ import annotations

import pytest

from primroselever_core.identifiers import Incarnation, RunId
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.runs.cursor import AnswerCursor
from primroselever_core.runs.registry import RunState
from primroselever_core.runs.starting import (
    StartState,
    ending_of_resolve_reply,
    ending_of_start_reply,
)

NEWER_REASON = "a_reason_of_a_newer_version"


@pytest.mark.parametrize("reason", [NEWER_REASON, ""])
def test_a_start_refused_for_an_unknown_reason_is_not_run(reason: str) -> None:
    ending = ending_of_start_reply(StartState.REFUSED, reason, 2.0)
    assert ending == NotRun(Reason.INTERNAL, 2.0)
    assert ending_of_start_reply(StartState.UNKNOWN, reason, None) == Unknown(
        Reason.INTERNAL
    )


def test_a_resolve_reply_with_an_unknown_reason_keeps_its_state() -> None:
    not_run = ending_of_resolve_reply(RunState.NOT_RUN, NEWER_REASON, None)
    assert not_run == NotRun(Reason.INTERNAL)
    missing = ending_of_resolve_reply(RunState.MISSING, NEWER_REASON, None)
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
def test_an_unknown_reason_or_state_still_ends_an_answer(state, ending) -> None:
    cursor = AnswerCursor(RunId("run"), Incarnation(1))
    assert cursor.ending(state, NEWER_REASON, 0, "") == ending
