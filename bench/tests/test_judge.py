from __future__ import annotations

import pytest

from bench.judge import body_mark, judge
from bench.traffic import Answer, Sent

TOKENS = 3
MARK = body_mark("a")
WHOLE = f"v1:{MARK}:0 v1:{MARK}:1 v1:{MARK}:2 "


def told(outcome: str, text: str = "", idempotent: bool = True) -> Sent:
    return Sent("s", "a", idempotent, [Answer("entry", outcome=outcome, text=text)])


@pytest.mark.parametrize(
    ("sent", "runs", "kind"),
    [
        (told("not_run"), 1, "wrong_not_run"),
        (told("unknown", idempotent=False), 2, "doubles"),
        (told(""), 0, "lost"),
        (told("done", WHOLE), 0, "lost"),
        (told("done", f"v1:{MARK}:0 v1:{MARK}:1 "), 1, "partial"),
        (told("done", f"v1:{MARK}:0 v2:{MARK}:1 v2:{MARK}:2 "), 1, "mixed"),
        (told("done", WHOLE.replace(MARK, body_mark("b"))), 1, "crossed"),
        (told("done", '{"order": "b"}', idempotent=False), 1, "crossed"),
    ],
)
def test_each_broken_promise_is_counted(sent: Sent, runs: int, kind: str) -> None:
    verdict = judge([sent], {"a": runs}, TOKENS)

    assert getattr(verdict, kind) == 1
    assert verdict.broken() == 1


@pytest.mark.parametrize(
    ("sent", "runs"),
    [
        (told("done", WHOLE), 2),
        (told("done", '{"order": "a", "count": 1}', idempotent=False), 1),
        (told("unknown"), 1),
        (told("not_run"), 0),
    ],
)
def test_kept_promises_are_not(sent: Sent, runs: int) -> None:
    assert judge([sent], {"a": runs}, TOKENS).broken() == 0


@pytest.mark.parametrize(("idempotent", "broken"), [(True, 0), (False, 1)])
def test_not_run_after_unknown_speaks_for_the_same_ticket(
    idempotent: bool, broken: int
) -> None:
    sent = told("unknown", idempotent=idempotent)
    sent.answers.append(Answer("other", outcome="not_run"))

    assert judge([sent], {"a": 1}, TOKENS).wrong_not_run == broken


def test_a_caller_of_a_killed_entry_may_see_its_connection_break() -> None:
    assert (
        judge(
            [told("")], {}, TOKENS, excused=lambda answer: answer.entry == "entry"
        ).broken()
        == 0
    )
