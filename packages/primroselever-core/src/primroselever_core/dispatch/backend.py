"""
The state that an entry keeps for one back end that it calls directly.

A report from the agent on the back end's VM takes precedence over the list of back
ends, which lags by a heartbeat.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from .announcements import Announced
from .first_events import FirstEvents
from .pace import Pace
from .server_memory import REPORT_TRANSIT_S, ServerMemory
from .urgent_work import UrgentWork

if TYPE_CHECKING:
    from ..catalogue.model import ListedServer
    from .cold_pace import ColdState
    from .start_pace import Ramp

REPORT_LATE_S = 0.8  # two periods of the slower reports, which are sent every 0.4 s
UNREPORTED_REQUEST_S = 3.0  # after which a request of another entry has ended
REPORT_VALID_S = 1.5  # over three periods of 0.4 s; an older report is ignored
# A report that an engine is closed counts for longer: what it loads may not be valid,
# and its agent may be stopped or restarted before it has verified that.
CLOSED_VALID_S = 10.0
FIRST_EJECTION_S = 0.5  # below the shortest restart, so a brief failure costs little
MAX_EJECTION_S = 4.0  # crashed servers are back after some seconds
FULL_MARK_S = 0.15  # about two passes of an engine, in which slots are freed
DELAY_HALF_LIFE_S = 4.0  # a server that gets no requests is tried again after this
MAX_UNREAD_PROMPTS = 64  # more than an engine reads in one pass
MAX_OWN_SENT = 64  # more than an entry sends to one engine while its reports lag
MAX_OUTCOMES = 24  # enough to distinguish a failing server from random failures
MIN_OUTCOMES = 6
FAILURE_SHARE_MARGIN = 0.25  # above the median of the service's servers


@dataclass(frozen=True, slots=True)
class EngineReport:
    """
    The state of an engine as read by its agent.

    ``version`` is 0 while no weights are loaded completely. ``switching`` is set when
    the engine is about to load other weights and accepts no new work; ``closes_at`` is
    the planned time of that, None if none is planned. ``pace`` is the factor by which
    the engine is slower than published. ``own_in_flight`` is the number of this entry's
    requests that were in flight when the report arrived. The state is ``lag_s`` older
    than the report, and ``ended`` requests have probably ended since. ``memory_used``
    and ``memory_total`` are in tokens, None where the engine does not report them.
    ``unverified`` is set by an agent that did not order the weights itself. Until
    ``closed_until`` the engine counts as closed if this report says so, also without
    another report. What is sent to its VM waits for ``link_delay_s`` in the VM's link.
    """

    received_at: float
    born_ms: int
    model: str
    version: int
    switching: bool
    running: int
    waiting: int
    pace: float
    closes_at: float | None = None
    own_in_flight: int = 0
    lag_s: float = 0.0
    ended: float = 0.0
    memory_used: int | None = None
    memory_total: int | None = None
    unverified: bool = False
    closed_until: float = 0.0
    link_delay_s: float = 0.0

    def is_fresh(self, now: float) -> bool:
        """Return whether the report is recent enough to be used."""
        return now - self.received_at <= REPORT_VALID_S


@dataclass(slots=True)
class Backend:
    """
    One back end: its listing, its last report and this entry's requests to it.

    ``marked_full_until`` is set by a refusal, ``ejected_until`` by a failure and
    ``mismatched_until`` by an answer of another server or other weights. ``outcomes``
    holds the results of recent requests, True for success. ``mean_duration_s`` is a
    moving average over finished requests. ``sent_by_others`` holds the times of
    requests by other entries that no report includes yet, and ``reading_until`` is when
    the engine will have read all prompts that are known to have been sent.
    ``unread_prompts`` holds the latest prompts that were sent, as the time of sending
    and the seconds that the engine needs to read them. ``late_by_s`` is by how much the
    latest first event came later than predicted, and ``delay_s`` by how much the latest
    two did at least, measured at ``delay_measured_at``. ``announced`` is what this
    start of the server said about itself. ``urgent_work`` holds how much of what was
    sent the engine admits before a request of some urgency, and ``measured`` the pace
    that this entry measured. ``own_sent`` holds the times of this entry's latest
    requests, ``own_sent_in_lag`` how many of them the state in the report is too old to
    include. Without ``measures_pace`` none of these three affects a choice. ``cold`` is
    what is known of a server that may be cold, None where servers have no such bound,
    and ``ramp`` the pace of one that started or recovered. ``was_empty`` is True from
    an engine's first report without weights to its first weights, False afterwards, and
    None before any report. ``memory`` counts the tokens that an engine holds.
    ``names_requests`` is set once the server repeated the identifier of a request.
    ``first_events`` are those of streams.
    """

    listed: ListedServer
    report: EngineReport | None = None
    in_flight: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    marked_full_until: float = 0.0
    mismatched_until: float = 0.0
    outcomes: list[bool] = field(default_factory=list)
    mean_duration_s: float = 0.0
    sent_by_others: deque[float] = field(default_factory=deque)
    reading_until: float = 0.0
    unread_prompts: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_UNREAD_PROMPTS)
    )
    late_by_s: float = 0.0
    delay_s: float = 0.0
    delay_measured_at: float = 0.0
    announced: Announced = field(default_factory=Announced)
    urgent_work: UrgentWork = field(default_factory=UrgentWork)
    measures_pace: bool = False
    measured: Pace = field(default_factory=Pace)
    own_sent: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_OWN_SENT))
    own_sent_in_lag: int = 0
    cold: ColdState | None = None
    ramp: Ramp | None = None
    was_empty: bool | None = None
    memory: ServerMemory = field(default_factory=ServerMemory)
    names_requests: bool = False
    first_events: FirstEvents = field(default_factory=FirstEvents)

    def record_sent(self, read_s: float, now: float) -> None:
        """Count a request that this entry sends, and its prompt."""
        self.own_sent.append(now)
        self.record_prompt(read_s, now)

    def record_prompt(self, read_s: float, now: float) -> None:
        """Count the prompt of a request sent by this entry or by another one."""
        self.reading_until = max(now, self.reading_until) + read_s
        self.unread_prompts.append((now, read_s))

    def unread_s(self, pass_s: float, now: float) -> float:
        """
        Return the seconds of reading that the engine's next pass already has.

        An engine begins to read a prompt with the pass after its arrival. ``pass_s`` is
        the duration of a pass.
        """
        prompts = self.unread_prompts
        while prompts and prompts[0][0] < now - pass_s:
            prompts.popleft()
        return sum(read_s for _sent_at, read_s in prompts)

    def record_sent_by_other(self, read_s: float, now: float) -> None:
        """Count a request that another entry sent."""
        self.record_prompt(read_s, now)
        self.sent_by_others.append(now)
        # Reports drop what they include; without reports, requests end after a while.
        while self.sent_by_others[0] < now - UNREPORTED_REQUEST_S:
            self.sent_by_others.popleft()

    def apply_report(self, report: EngineReport) -> None:
        """Store a report, which includes the requests sent before it was made."""
        self.report = report
        self.record_memory(report)
        made_at = report.received_at - REPORT_TRANSIT_S - report.lag_s
        self.own_sent_in_lag = (
            sum(sent_at >= made_at for sent_at in self.own_sent) if report.lag_s else 0
        )
        while self.sent_by_others and self.sent_by_others[0] < made_at:
            self.sent_by_others.popleft()

    def record_memory(self, report: EngineReport) -> None:
        """Store what a report tells of the engine's memory."""
        self.memory.apply_report(
            report.memory_used,
            report.memory_total,
            report.running + report.waiting,
            report.received_at - REPORT_TRANSIT_S,
        )

    def record_first_event(self, late_by_s: float, now: float) -> None:
        """
        Record by how much a first event came later than predicted.

        A negative value means earlier. Reports of the engine do not show such delays
        if their cause is the link of its VM. A single late event is a prediction error.
        """
        self.delay_s = max(0.0, min(self.late_by_s, late_by_s))
        self.late_by_s = late_by_s
        self.delay_measured_at = now

    def unexpected_delay_s(self, now: float) -> float:
        """Return the measured delay beyond predictions, which decays with its age."""
        if not self.delay_s:
            return 0.0
        age_s = now - self.delay_measured_at
        return self.delay_s * float(0.5 ** (age_s / DELAY_HALF_LIFE_S))

    def link_delay_s(self, now: float) -> float:
        """Return how long a request sent now waits in the link of the engine's VM."""
        report = self.report
        if report is None or not report.is_fresh(now):
            return 0.0
        return report.link_delay_s

    def pending_read_s(self, now: float) -> float:
        """Return the seconds that the engine needs to read the prompts sent so far."""
        return max(0.0, self.reading_until - now)

    def closes_within(self, seconds: float, now: float) -> bool:
        """Return whether the engine stops accepting work within some seconds."""
        report = self.report
        if report is None or report.closes_at is None or not report.is_fresh(now):
            return False
        return report.closes_at - now < seconds

    def loaded_version(self, model: str, now: float) -> int:
        """Return the version of a model that the back end has loaded, 0 for none."""
        report = self.report
        if report is not None and report.is_fresh(now) and report.model == model:
            return report.version
        for listed_model, version in self.listed.weights:
            if listed_model == model:
                return version
        return 0

    def switching(self, now: float) -> bool:
        """Return whether the engine is about to load other weights."""
        report = self.report
        return (
            report is not None
            and report.switching
            and (report.is_fresh(now) or now <= report.closed_until)
        )

    def pace(self, now: float) -> float:
        """Return the factor by which the engine is slower than published."""
        report = self.report
        if report is None or not report.is_fresh(now):
            return 1.0
        return max(1.0, report.pace)

    def report_late(self, now: float) -> bool:
        """Return whether the next report of an agent is overdue."""
        return self.report is not None and now - self.report.received_at > REPORT_LATE_S

    def load(self, now: float) -> float:
        """Return how many requests of all entries run or wait at the back end."""
        report = self.report
        if report is None or not report.is_fresh(now):
            others = len(self.sent_by_others) + self.measured.sent_by_others(now)
            return float(self.in_flight + others)
        own_change = self.in_flight - report.own_in_flight + self.own_sent_in_lag
        reported = report.running + report.waiting + len(self.sent_by_others)
        return float(max(self.in_flight, reported + own_change - report.ended, 0))

    def available(self, now: float) -> bool:
        """Return whether the back end may be given work, regardless of its load."""
        return (
            now >= self.ejected_until
            and now >= self.mismatched_until
            and self.announced.admits_requests(now)
            and self.announced.limit.admits(now)
            and (self.cold is None or self.cold.admits(now))
            and (self.ramp is None or self.ramp_admits(self.ramp, now))
        )

    def waits_for_start(self, now: float) -> bool:
        """Return whether only its start keeps the back end from being given work."""
        if self.available(now) or not self.announced.admits_requests(now):
            return False
        is_held = (self.cold is not None and not self.cold.admits(now)) or (
            self.ramp is not None and not self.ramp_admits(self.ramp, now)
        )
        return is_held and now >= max(self.ejected_until, self.mismatched_until)

    def record_wanted(self, now: float) -> None:
        """Record that there is a request which the back end might get."""
        ramp = self.ramp
        if ramp is not None and now >= self.ejected_until and self.has_loaded(now):
            ramp.record_wanted(now)

    def has_loaded(self, now: float) -> bool:
        """Return whether the back end holds weights, or needs none."""
        if self.ramp is None or not self.ramp.needs_weights or self.listed.weights:
            return True
        report = self.report
        return report is not None and report.is_fresh(now) and report.version > 0

    def ramp_admits(self, ramp: Ramp, now: float) -> bool:
        """Return whether the pace admits a request; an engine without weights waits."""
        return ramp.admits(now) or (ramp.begun_at is None and not self.has_loaded(now))

    def record_success(self) -> None:
        """Record a successful answer and reset the count of ejections."""
        self.ejections = 0
        self.record_outcome(True)

    def record_failure(self, now: float, sent_at: float) -> None:
        """
        Record the failure of a request caused by the back end; eject it for some time.

        Requests that fail together count as one failure. Each of them would otherwise
        double the time, and a short pause would eject the back end for the longest. The
        failure of a request that was sent before the last ejection ejects the back end
        again, but for the same time: it shows nothing new.
        """
        self.record_outcome(False)
        if now < self.ejected_until:
            return
        if not self.ejections or sent_at > self.ejected_at:
            self.ejections += 1
        self.ejected_at = now
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (self.ejections - 1))
        self.ejected_until = max(self.ejected_until, now + ejection_s)
        if self.cold is not None:
            self.cold.record_event("a request failed", self.ejected_until)

    def record_answered_failure(self) -> None:
        """Record a failure reported by the back end; its cause may be the request."""
        self.record_outcome(False)

    def record_refusal(self, now: float) -> None:
        """Record that the back end refused a request because it was full."""
        self.marked_full_until = now + FULL_MARK_S

    def record_mismatch(self, now: float) -> None:
        """Record that another server, or other weights, answered at the address."""
        self.mismatched_until = now + FIRST_EJECTION_S

    def record_outcome(self, success: bool) -> None:
        """Add the outcome of a request and drop the oldest ones beyond the limit."""
        self.outcomes.append(success)
        del self.outcomes[:-MAX_OUTCOMES]

    def failure_share(self) -> float | None:
        """Return the share of recent requests that failed, None below the minimum."""
        if len(self.outcomes) < MIN_OUTCOMES:
            return None
        return self.outcomes.count(False) / len(self.outcomes)

    def record_duration(self, duration_s: float) -> None:
        """Add the duration of a request to the mean, which predicts plain services."""
        if self.mean_duration_s == 0.0:
            self.mean_duration_s = duration_s
        self.mean_duration_s += 0.1 * (duration_s - self.mean_duration_s)


def keep_closed(previous: EngineReport | None, report: EngineReport) -> EngineReport:
    """
    Return a report with the time until which an engine counts as closed.

    A new process of an agent cannot tell whether the one before verified the weights,
    or whether an order of that one is still on its way. If that one closed the engine,
    or reported another version, the engine stays closed.
    """
    if (
        report.unverified
        and not report.switching  # the new process closed it itself, for its own order
        and previous is not None
        and previous.born_ms == report.born_ms
        and report.received_at <= previous.closed_until
        and (previous.switching or previous.version != report.version)
    ):
        return replace(report, switching=True, closed_until=previous.closed_until)
    return replace(report, closed_until=report.received_at + CLOSED_VALID_S)


def close_new_start(report: EngineReport, born_ms: int) -> EngineReport:
    """
    Return what an agent's report on an earlier start says about a new start.

    A new start holds no weights. If it is listed with some, its agent ordered them and
    has not reported yet that they are valid.
    """
    return replace(
        report,
        born_ms=born_ms,
        version=0,
        switching=True,
        running=0,
        waiting=0,
        closes_at=None,
        memory_used=None,
        memory_total=None,
        closed_until=report.received_at + CLOSED_VALID_S,
    )


def find_failing_backends(backends: list[Backend]) -> set[str]:
    """
    Return the identifiers of back ends that fail far more often than the others.

    At most half of the back ends are returned: if more of them fail, the cause lies
    elsewhere.
    """
    shares = {
        backend.listed.server_id: share
        for backend in backends
        if (share := backend.failure_share()) is not None
    }
    if len(shares) < 2:
        return set()
    median = sorted(shares.values())[(len(shares) - 1) // 2]
    worst = sorted(shares, key=shares.__getitem__, reverse=True)[: len(shares) // 2]
    return {
        server_id
        for server_id in worst
        if shares[server_id] > median + FAILURE_SHARE_MARGIN
    }
