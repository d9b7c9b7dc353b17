"""
What an entry knows of one back end that it calls directly.

A report of the agent on the back end's VM is direct evidence and goes before the
list of back ends, which lags by a heartbeat.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..catalogue.model import ListedServer

REPORT_TRANSIT_S = 0.02  # between reading an engine's state and hearing of it
REPORT_LATE_S = 0.8  # two reports of the slower kind, which come every 0.4 s
REPORT_VALID_S = 1.5  # several reports of 0.2 s; after that the agent is taken as lost
FIRST_EJECTION_S = 0.5  # below the shortest restart, so that a blip costs little
LONGEST_EJECTION_S = 4.0  # servers that crash are back after some seconds
FULL_MARK_S = 0.15  # about two passes of an engine, in which slots are freed
OUTCOMES_REMEMBERED = 24  # recent outcomes that tell a failing server from bad luck
OUTCOMES_NEEDED = 6
FAILING_SHARE = 0.25  # beyond the share of the other servers of the service


@dataclass(frozen=True, slots=True)
class EngineReport:
    """
    The state of an engine as its agent read it.

    ``version`` is 0 without whole weights. ``switching`` says that the engine is about
    to load others and takes no new work; ``closes_at`` is when that is planned, None
    while it is not. ``pace`` above 1 means a slow engine.
    """

    heard_at: float
    born_ms: int
    model: str
    version: int
    switching: bool
    running: int
    waiting: int
    pace: float
    closes_at: float | None = None
    own_in_flight: int = 0

    def fresh(self, now: float) -> bool:
        """Return whether the report still counts."""
        return now - self.heard_at <= REPORT_VALID_S


@dataclass(slots=True)
class Backend:
    """
    One back end: its entry in the list, its last report and the entry's own work.

    ``marked_full_until`` follows a refusal; ``ejected_until`` a failure. ``outcomes``
    holds the latest ends of requests, True for a sound one. ``sent_by_others`` holds
    when other entries sent requests that no report counts yet, and ``reading_until``
    is when the engine will have read all prompts that are known to be on their way.
    """

    listed: ListedServer
    report: EngineReport | None = None
    in_flight: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    marked_full_until: float = 0.0
    mismatched_until: float = 0.0
    outcomes: list[bool] = field(default_factory=list)
    work_s: float = 0.0
    sent_by_others: deque[float] = field(default_factory=deque)
    reading_until: float = 0.0

    def sent(self, reading_s: float, now: float) -> None:
        """Count the prompt of a request that this entry or another one sent."""
        self.reading_until = max(now, self.reading_until) + reading_s

    def sent_by_other(self, reading_s: float, now: float) -> None:
        """Take in that another entry sent a request."""
        self.sent(reading_s, now)
        self.sent_by_others.append(now)

    def reported(self, report: EngineReport) -> None:
        """Take in a report; what was sent before it is counted in it."""
        self.report = report
        counted = report.heard_at - REPORT_TRANSIT_S
        while self.sent_by_others and self.sent_by_others[0] < counted:
            self.sent_by_others.popleft()

    def reading_s(self, now: float) -> float:
        """Return the seconds in which the engine reads prompts sent before."""
        return max(0.0, self.reading_until - now)

    def closes_within(self, seconds: float, now: float) -> bool:
        """Return whether the engine stops taking work for new weights that soon."""
        report = self.report
        if report is None or report.closes_at is None or not report.fresh(now):
            return False
        return report.closes_at - now < seconds

    def holds(self, model: str, now: float) -> int:
        """Return the version of a model that the back end has loaded, 0 for none."""
        report = self.report
        if report is not None and report.fresh(now) and report.model == model:
            return report.version
        for name, version in self.listed.weights:
            if name == model:
                return version
        return 0

    def switching(self, now: float) -> bool:
        """Return whether the engine is about to load other weights."""
        report = self.report
        return report is not None and report.fresh(now) and report.switching

    def pace(self, now: float) -> float:
        """Return how many times slower than published the engine is."""
        report = self.report
        if report is None or not report.fresh(now):
            return 1.0
        return max(1.0, report.pace)

    def report_late(self, now: float) -> bool:
        """Return whether an agent that reported has been silent for too long."""
        return self.report is not None and now - self.report.heard_at > REPORT_LATE_S

    def load(self, now: float) -> float:
        """Return how many requests run or wait there, those of others included."""
        report = self.report
        if report is None or not report.fresh(now):
            return float(self.in_flight + len(self.sent_by_others))
        own_change = self.in_flight - report.own_in_flight
        reported = report.running + report.waiting + len(self.sent_by_others)
        return float(max(self.in_flight, reported + own_change, 0))

    def available(self, now: float) -> bool:
        """Return whether nothing speaks against new work, load aside."""
        return now >= self.ejected_until and now >= self.mismatched_until

    def succeeded(self) -> None:
        """Take in a sound answer."""
        self.ejections = 0
        self.remember(True)

    def failed(self, now: float) -> None:
        """Take in a failure that speaks against the back end: eject it for a while."""
        self.remember(False)
        self.ejections += 1
        wait_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2 ** (self.ejections - 1))
        self.ejected_until = max(self.ejected_until, now + wait_s)

    def answered_with_failure(self) -> None:
        """Take in a failure that the back end said itself; it may be the request's."""
        self.remember(False)

    def refused(self, now: float) -> None:
        """Take in that the back end was full."""
        self.marked_full_until = now + FULL_MARK_S

    def mismatched(self, now: float) -> None:
        """Take in that another server, or other weights, are at the address."""
        self.mismatched_until = now + FIRST_EJECTION_S

    def remember(self, sound: bool) -> None:
        """Keep the outcome of a request."""
        self.outcomes.append(sound)
        del self.outcomes[:-OUTCOMES_REMEMBERED]

    def failure_share(self) -> float | None:
        """Return the share of recent requests that failed, None while unknown."""
        if len(self.outcomes) < OUTCOMES_NEEDED:
            return None
        return self.outcomes.count(False) / len(self.outcomes)

    def finished(self, duration_s: float) -> None:
        """Take in how long a request took, for the estimate of plain services."""
        if self.work_s == 0.0:
            self.work_s = duration_s
        self.work_s += 0.1 * (duration_s - self.work_s)


def failing(backends: list[Backend]) -> set[str]:
    """
    Return the back ends that fail far more often than the others of the service.

    At most half of them are named: beyond that the failures are not theirs.
    """
    shares = {
        backend.listed.server_id: share
        for backend in backends
        if (share := backend.failure_share()) is not None
    }
    if len(shares) < 2:
        return set()
    usual = sorted(shares.values())[(len(shares) - 1) // 2]
    worst = sorted(shares, key=shares.__getitem__, reverse=True)[: len(shares) // 2]
    return {name for name in worst if shares[name] > usual + FAILING_SHARE}
