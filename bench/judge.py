"""
What callers were told, checked against what the stand-ins saw.

Each figure of a verdict counts broken promises, so all of them must be 0.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from .traffic import Answer, Sent

KINDS = ("wrong_not_run", "doubles", "lost", "partial", "mixed", "crossed")


@dataclass(slots=True)
class Verdict:
    """
    Broken promises by kind, and the answers by what was told.

    ``wrong_not_run``: told "not run" although it ran. ``doubles``: a request that
    must run once ran more often. ``lost``: no outcome at all, though the entry was
    well, or "done" although nothing ran. ``partial``, ``mixed`` and ``crossed``: a
    "done" answer with tokens missing, from two versions, or to another request.
    """

    wrong_not_run: int = 0
    doubles: int = 0
    lost: int = 0
    partial: int = 0
    mixed: int = 0
    crossed: int = 0
    told: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)

    def blame(self, kind: str, sent: Sent) -> None:
        """Count a broken promise and keep what was seen of it."""
        setattr(self, kind, getattr(self, kind) + 1)
        self.examples.append(f"{kind}: {sent}")

    def broken(self) -> int:
        """Return how many promises were broken."""
        return sum(getattr(self, kind) for kind in KINDS)

    def figures(self) -> dict[str, object]:
        """Return the verdict for JSON."""
        broken = {kind: getattr(self, kind) for kind in KINDS}
        return {**broken, "told": dict(self.told), "examples": self.examples[:10]}


def judge(
    requests: Iterable[Sent],
    ran: Mapping[str, int],
    tokens: int,
    excused: Callable[[Answer], bool] = lambda _answer: False,
) -> Verdict:
    """
    Return the verdict on all requests.

    ``ran`` says how often each body was run, ``tokens`` how long the answers of the
    engines are. An ``excused`` answer, one from an entry that was killed meanwhile,
    may be missing: its caller sees the connection break.
    """
    verdict = Verdict()
    for sent in requests:
        last = sent.answers[-1] if sent.answers else None
        runs = ran.get(sent.body, 0)
        outcome = last.outcome if last else ""
        verdict.told[outcome or "no answer"] += 1
        if not sent.idempotent and runs > 1:
            verdict.blame("doubles", sent)
        if outcome == "not_run" and runs and may_not_have_run(sent):
            verdict.blame("wrong_not_run", sent)
        if not outcome and (last is None or not excused(last)):
            verdict.blame("lost", sent)
        if outcome == "done" and last is not None:
            judge_done(verdict, sent, last, runs, tokens)
    return verdict


def may_not_have_run(sent: Sent) -> bool:
    """
    Return whether the last "not run" speaks for all sendings of a request.

    Each sending of an idempotent request is a run of its own, so one before may
    have run. All sendings with the same ticket are one operation.
    """
    if not sent.idempotent:
        return True
    return all(answer.outcome == "not_run" for answer in sent.answers)


def judge_done(
    verdict: Verdict, sent: Sent, answer: Answer, runs: int, tokens: int
) -> None:
    """Check an answer that was told to be whole."""
    if runs == 0:
        verdict.blame("lost", sent)
    if not sent.idempotent:
        if order_of(answer.text) != sent.body:
            verdict.blame("crossed", sent)
        return
    parts = [part.split(":") for part in answer.text.split()]
    if [part[-1] for part in parts] != [str(number) for number in range(tokens)]:
        verdict.blame("partial", sent)
    if len({part[0] for part in parts}) > 1:
        verdict.blame("mixed", sent)
    if any(part[1] != body_mark(sent.body) for part in parts):
        verdict.blame("crossed", sent)


def order_of(text: str) -> str | None:
    """Return the order that a plain service's answer names."""
    try:
        return json.loads(text).get("order")
    except (ValueError, AttributeError):
        return None


def body_mark(body: str) -> str:
    """Return the mark of a body in each token of the engine stand-in."""
    return xxhash.xxh3_64_hexdigest(body.encode())[:8]
