from __future__ import annotations

import pytest

from bench.judge import body_hash, check_answers
from bench.traffic import Answer, SentRequest

ANSWER_TOKENS = 3
BODY_HASH = body_hash("a")
COMPLETE_ANSWER = f"v1:{BODY_HASH}:0 v1:{BODY_HASH}:1 v1:{BODY_HASH}:2 "


def build_request(outcome: str, text: str = "", idempotent: bool = True) -> SentRequest:
    return SentRequest(
        "s", "a", idempotent, [Answer("entry", outcome=outcome, text=text)]
    )


@pytest.mark.parametrize(
    ("request_sent", "runs", "kind"),
    [
        (build_request("not_run"), 1, "wrong_not_run"),
        (build_request("unknown", idempotent=False), 2, "doubles"),
        (build_request(""), 0, "lost"),
        (build_request("done", COMPLETE_ANSWER), 0, "lost"),
        (build_request("done", f"v1:{BODY_HASH}:0 v1:{BODY_HASH}:1 "), 1, "partial"),
        (
            build_request(
                "done", f"v1:{BODY_HASH}:0 v2:{BODY_HASH}:1 v2:{BODY_HASH}:2 "
            ),
            1,
            "mixed",
        ),
        (
            build_request("done", COMPLETE_ANSWER.replace(BODY_HASH, body_hash("b"))),
            1,
            "crossed",
        ),
        (build_request("done", '{"order": "b"}', idempotent=False), 1, "crossed"),
    ],
)
def test_each_kind_of_violation_is_counted(
    request_sent: SentRequest, runs: int, kind: str
) -> None:
    verdict = check_answers([request_sent], {"a": runs}, ANSWER_TOKENS)

    assert getattr(verdict, kind) == 1
    assert verdict.count_violations() == 1


@pytest.mark.parametrize(
    ("request_sent", "runs"),
    [
        (build_request("done", COMPLETE_ANSWER), 2),
        (build_request("done", '{"order": "a", "count": 1}', idempotent=False), 1),
        (build_request("unknown"), 1),
        (build_request("not_run"), 0),
    ],
)
def test_correct_outcomes_are_no_violations(
    request_sent: SentRequest, runs: int
) -> None:
    assert (
        check_answers([request_sent], {"a": runs}, ANSWER_TOKENS).count_violations()
        == 0
    )


@pytest.mark.parametrize(("idempotent", "violations"), [(True, 0), (False, 1)])
def test_not_run_after_unknown_covers_attempts_with_the_same_ticket(
    idempotent: bool, violations: int
) -> None:
    request_sent = build_request("unknown", idempotent=idempotent)
    request_sent.answers.append(Answer("other", outcome="not_run"))

    assert (
        check_answers([request_sent], {"a": 1}, ANSWER_TOKENS).wrong_not_run
        == violations
    )


def test_a_killed_entry_excuses_a_missing_outcome() -> None:
    assert (
        check_answers(
            [build_request("")],
            {},
            ANSWER_TOKENS,
            is_excused=lambda answer: answer.entry == "entry",
        ).count_violations()
        == 0
    )
