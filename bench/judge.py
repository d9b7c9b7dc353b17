"""
Checks the outcomes that callers received against what the back ends ran.

Each number of a verdict counts violations of the guarantees, so all must be 0.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from .traffic import Answer, SentRequest

VIOLATION_KINDS = ("wrong_not_run", "doubles", "lost", "partial", "mixed", "crossed")


@dataclass(slots=True)
class Verdict:
    """
    Violations by kind, and the requests by outcome.

    ``wrong_not_run``: the outcome was "not_run", but the request ran. ``doubles``: a
    non-idempotent request ran more than once. ``lost``: no outcome although the entry
    was running, or "done" although nothing ran. ``partial``, ``mixed`` and
    ``crossed``: a "done" answer with missing tokens, with tokens of two versions, or
    to another request.
    """

    wrong_not_run: int = 0
    doubles: int = 0
    lost: int = 0
    partial: int = 0
    mixed: int = 0
    crossed: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)

    def add_violation(self, kind: str, request: SentRequest) -> None:
        """Count a violation and keep the request as an example."""
        setattr(self, kind, getattr(self, kind) + 1)
        self.examples.append(f"{kind}: {request}")

    def count_violations(self) -> int:
        """Return the number of violations of all kinds."""
        return sum(getattr(self, kind) for kind in VIOLATION_KINDS)

    def to_results(self) -> dict[str, object]:
        """Return the verdict as a mapping that can be written as JSON."""
        violations = {kind: getattr(self, kind) for kind in VIOLATION_KINDS}
        return {
            **violations,
            "told": dict(self.outcomes),
            "examples": self.examples[:10],
        }


def check_answers(
    requests: Iterable[SentRequest],
    runs_by_body: Mapping[str, int],
    answer_tokens: int,
    is_excused: Callable[[Answer], bool] = lambda _answer: False,
) -> Verdict:
    """
    Return the verdict on all requests.

    ``runs_by_body`` counts the runs of each body, and ``answer_tokens`` is the length
    of an engine's answers. An answer for which ``is_excused`` returns True may have no
    outcome: its entry was killed meanwhile, which breaks the caller's connection.
    """
    verdict = Verdict()
    for request in requests:
        last_answer = request.answers[-1] if request.answers else None
        runs = runs_by_body.get(request.body, 0)
        outcome = last_answer.outcome if last_answer else ""
        verdict.outcomes[outcome or "no answer"] += 1
        if not request.idempotent and runs > 1:
            verdict.add_violation("doubles", request)
        if outcome == "not_run" and runs and covers_all_attempts(request):
            verdict.add_violation("wrong_not_run", request)
        if not outcome and (last_answer is None or not is_excused(last_answer)):
            verdict.add_violation("lost", request)
        if outcome == "done" and last_answer is not None:
            check_done_answer(verdict, request, last_answer, runs, answer_tokens)
    return verdict


def covers_all_attempts(request: SentRequest) -> bool:
    """
    Return whether the last outcome "not_run" covers all attempts of a request.

    Each attempt of an idempotent request is a separate run, so an earlier attempt may
    have run. All attempts with the same ticket are one operation.
    """
    if not request.idempotent:
        return True
    return all(answer.outcome == "not_run" for answer in request.answers)


def check_done_answer(
    verdict: Verdict,
    request: SentRequest,
    answer: Answer,
    runs: int,
    answer_tokens: int,
) -> None:
    """Check an answer whose outcome is "done"."""
    if runs == 0:
        verdict.add_violation("lost", request)
    if not request.idempotent:
        if parse_order(answer.text) != request.body:
            verdict.add_violation("crossed", request)
        return
    parts = [part.split(":") for part in answer.text.split()]
    if [part[-1] for part in parts] != [str(number) for number in range(answer_tokens)]:
        verdict.add_violation("partial", request)
    if len({part[0] for part in parts}) > 1:
        verdict.add_violation("mixed", request)
    if any(part[1] != body_hash(request.body) for part in parts):
        verdict.add_violation("crossed", request)


def parse_order(text: str) -> str | None:
    """Return the order that a plain service's answer names, or None."""
    try:
        return json.loads(text).get("order")
    except (ValueError, AttributeError):
        return None


def body_hash(body: str) -> str:
    """Return the hash of a body that the engine stand-in puts into each token."""
    return xxhash.xxh3_64_hexdigest(body.encode())[:8]
