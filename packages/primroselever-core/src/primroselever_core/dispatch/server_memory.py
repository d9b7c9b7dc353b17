"""
The tokens that an engine holds, and whether it can hold another request.

A server crashes if the requests that it holds exceed its memory. An entry knows the
requests that it sent itself until they end, what its peers publish that they sent, and
what the engine's last report says is used, as of the time at which that was read. A
request is sent only to an engine that can hold its prompt and the longest answer that
it asks for.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..catalogue.model import EngineFigures
    from .backend import Backend

# After this, without a later report, the requests of other entries have ended.
UNREPORTED_S = 3.0
LONGEST_REPORT_PERIOD_S = 0.4  # to entries of other failure domains
REPORT_TRANSIT_S = 0.02  # between reading an engine's state and receiving the report
MAX_OTHERS = 512  # more than peers send to one engine within that time


class MemoryRefusal(StrEnum):
    """Why no engine can hold a request; the values are metric labels."""

    TOO_LARGE = "too_large"
    FULL = "full"


REFUSAL_REASONS = {
    MemoryRefusal.TOO_LARGE: "the request is larger than the memory of usable engines",
    MemoryRefusal.FULL: "no usable engine has memory left for the request",
}


@dataclass(frozen=True, slots=True)
class SentTokens:
    """The tokens of a request that was sent at a time."""

    sent_at: float
    prompt: float
    answer: float


@dataclass(frozen=True, slots=True)
class MemoryReport:
    """
    The tokens that an engine used and can hold.

    ``read_at`` is when its agent read that. The engine's figures are older by the lag
    that the service publishes.
    """

    read_at: float
    used: int
    total: int
    requests: int


@dataclass(slots=True)
class ServerMemory:
    """
    What is known of the memory of one start of an engine.

    ``own`` holds this entry's requests that have not ended, by their numbers, and
    ``others`` the latest ones that peers published. ``reported`` is whether any report
    was received, and ``report`` the last one that names the memory.
    """

    own: dict[int, SentTokens] = field(default_factory=dict)
    others: deque[SentTokens] = field(default_factory=lambda: deque(maxlen=MAX_OTHERS))
    reported: bool = False
    report: MemoryReport | None = None
    next_number: int = 0

    def record_sent(self, prompt: float, answer: float, now: float) -> int:
        """Count a request of this entry; return its number for ``record_ended``."""
        self.next_number += 1
        self.own[self.next_number] = SentTokens(now, prompt, answer)
        return self.next_number

    def record_ended(self, number: int) -> None:
        """End a request of this entry. A report may still include it."""
        self.own.pop(number, None)

    def record_sent_by_other(self, prompt: float, answer: float, now: float) -> None:
        """Count a request that another entry published."""
        self.others.append(SentTokens(now, prompt, answer))

    def apply_report(
        self, used: int | None, total: int | None, requests: int, read_at: float
    ) -> None:
        """Store a report; ``requests`` is how many the engine runs or queues."""
        self.reported = True
        self.report = (
            None
            if used is None or not total
            else MemoryReport(read_at, used, total, requests)
        )

    def total(self, figures: EngineFigures) -> int | None:
        """Return how many tokens the engine can hold, None if that is not known."""
        if not figures.memory_tokens or (self.reported and self.report is None):
            return None
        return self.report.total if self.report is not None else figures.memory_tokens

    def used(self, figures: EngineFigures, now: float) -> float:
        """
        Return how many tokens the requests at the engine need until they end.

        What was sent since the reported state is added to it. Requests that it includes
        still grow: this entry's by the answers that they ask for, others by the usual
        answer. A report whose successors are lost counts until the requests of other
        entries must have ended.
        """
        own = sum(each.prompt + each.answer for each in self.own.values())
        report = self.report
        if report is None or now - report.read_at > UNREPORTED_S:
            return own + self.sent_by_others(now - UNREPORTED_S)
        read_at = report.read_at - figures.report_lag_s
        included = [each for each in self.own.values() if each.sent_at < read_at]
        growth = sum(each.answer for each in included)
        others = max(0, report.requests - len(included))
        growth += others * figures.usual_answer_tokens
        new = own - sum(each.prompt + each.answer for each in included)
        since = self.sent_by_others(max(read_at, now - UNREPORTED_S))
        # A report may not include requests that wait at the engine.
        return max(report.used + growth + new, own) + since

    def sent_by_others(self, since: float) -> float:
        """Return the tokens that peers published as sent from a time on."""
        tokens = 0.0
        for each in reversed(self.others):
            if each.sent_at < since:
                break
            tokens += each.prompt + each.answer
        return tokens

    def free(self, figures: EngineFigures, now: float) -> float:
        """Return how many more tokens the engine can hold, infinity without a limit."""
        total = self.total(figures)
        return math.inf if total is None else total - self.used(figures, now)


def count_tokens(
    prompt: float, answer: float, figures: EngineFigures
) -> tuple[float, float]:
    """
    Return the tokens of a request's prompt and answer.

    ``answer`` is the maximum that the request names. What it does not name is as usual.
    """
    return (
        prompt or figures.usual_prompt_tokens,
        answer or figures.usual_answer_tokens,
    )


def longest_delay_s(figures: EngineFigures) -> float:
    """
    Return for how long a request may be unknown to an entry without messages.

    What other entries send to an engine within this time is the most by which an entry
    that does not hear of it can exceed the engine's memory.
    """
    return figures.report_lag_s + LONGEST_REPORT_PERIOD_S + REPORT_TRANSIT_S


def select_with_memory(
    backends: Iterable[Backend], tokens: float, figures: EngineFigures, now: float
) -> list[Backend] | MemoryRefusal:
    """
    Return the engines that can hold a request of so many tokens, or why none can.

    ``backends`` are those that could otherwise answer it, at least one.
    """
    backends = list(backends)
    holding = [each for each in backends if each.memory.free(figures, now) >= tokens]
    if holding:
        return holding
    totals = [each.memory.total(figures) or 0 for each in backends]
    return MemoryRefusal.TOO_LARGE if tokens > max(totals) else MemoryRefusal.FULL
