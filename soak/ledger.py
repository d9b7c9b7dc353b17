"""Records what back ends ran and callers received, and checks the guarantees."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from math import inf

# The platform allows an answer to end this long after the timeout of its route.
ANSWER_SLACK_S = 0.5
# Time from the acknowledged start of draining to the last request.
DRAIN_LIMIT_S = 2.0
# Time from the acknowledged publication of a configuration to its effect.
CONFIGURATION_LIMIT_S = 2.0
# A process may need this long after a fault to be up to date again.
CONTACT_RECOVERY_S = 3.0
# Answers that were sent in order may be received in reverse within this time.
REORDERING_SLACK_S = 0.25
# The kind of fault in which the store is replaced by an older copy.
STORE_RESTORE = "store restored"
# Time from the acknowledged evacuation of a failure domain to the last request that
# begins to run there.
EVACUATION_LIMIT_S = 5.0
# Time from the acknowledged publication of a version of weights to the last request
# that begins on an older one.
WEIGHTS_WITHIN_S = 8.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
STREAM_KINDS = ("stream", "batch")
UNEXPECTED_STATUSES = (400, 401, 403, 404, 413, 431)


@dataclass(slots=True)
class Run:
    """
    A run of a request; ``interrupted`` is set if its back end crashed meanwhile.

    ``leaving`` is set if its answer announced that the back end leaves, and ``limited``
    if it named a rate limit. ``domain`` is the failure domain of the back end. A run of
    an engine begins with its first event at ``begun_at``, 0 until then, on a
    ``version`` of the weights. The engine ends it at ``ends_at``.
    """

    server_id: str
    started_at: float
    workspace: str
    domain: str = ""
    body: bytes = b""
    interrupted: bool = False
    leaving: bool = False
    limited: bool = False
    begun_at: float = 0.0
    version: int = 0
    ends_at: float = inf

    @property
    def seal(self) -> str:
        """Return the text by which an answer names this run."""
        return f"{self.server_id}.{self.started_at:.6f}"


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The requests a second that a back end named in its answers for a time."""

    server_id: str
    rate: float
    named_at: float
    until: float


@dataclass(frozen=True, slots=True)
class Home:
    """The failure domain that alone may serve requests to the route with a home."""

    domain: str
    published_at: float


@dataclass(frozen=True, slots=True)
class Version:
    """A version of the weights that the store acknowledged."""

    number: int
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class ColdStart:
    """The time in which a back end takes few requests after its start."""

    server_id: str
    started_at: float
    until: float


@dataclass(slots=True)
class Evacuation:
    """The time from the store's acceptance of an evacuation to its removal."""

    domain: str
    accepted_at: float
    removed_at: float = float("inf")


@dataclass(slots=True)
class Arrival:
    """
    A request that reached a back end; ``refused_at`` is 0 unless it was closed.

    ``closed_until`` is then the end of the time that the answer asked for. ``priority``
    is that with which it was sent.
    """

    request_id: str
    server_id: str
    arrived_at: float
    refused_at: float = 0.0
    closed_until: float = 0.0
    priority: str = ""


@dataclass(slots=True)
class Attempt:
    """
    One request of a caller on one connection, and its result.

    ``status`` is 0 if no answer was received. ``whole`` is set if the answer was
    received completely. ``first_event`` and ``last_event`` are the numbers of the first
    and last expected events.
    """

    request_id: str
    kind: str
    entry: str
    sent_at: float
    timeout_s: float
    workspace: str
    status: int = 0
    seal: str = ""
    echoed_id: str = ""
    body: bytes = b""
    whole: bool = False
    ended_at: float = 0.0
    first_event: int = 1
    last_event: int = 0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule and the observation that shows it."""

    rule: str
    details: str


@dataclass(slots=True)
class FaultPeriod:
    """
    The time during which a fault or a planned operation affects a target.

    ``target`` is the name of a VM or a server ID, or empty if all are affected.
    """

    kind: str
    target: str
    start: float
    end: float = float("inf")
    planned: bool = False

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the period shares a moment with the time between two."""
        return self.start <= end and self.end >= start


@dataclass(slots=True)
class Ledger:
    """
    All observations of one soak.

    ``draining_since`` maps server IDs to the start of their draining.
    ``highest_configurations`` maps the name and incarnation of an entry to the highest
    revision observed there and the time of its first observation.
    """

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    arrivals: list[Arrival] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    probe_ids: set[str] = field(default_factory=set)
    fault_periods: list[FaultPeriod] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    homes: list[Home] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    highest_configurations: dict[tuple[str, int], tuple[int, float]] = field(
        default_factory=dict
    )

    def record_violation(self, rule: str, details: str) -> None:
        """Record the violation of a rule."""
        self.violations.append(Violation(rule, details))

    def is_fault_free(
        self, target: str, start: float, end: float, ignored_kind: str = ""
    ) -> bool:
        """Return whether no unplanned fault affected a target between two times."""
        return not any(
            period.target in ("", target) and period.overlaps(start, end)
            for period in self.fault_periods
            if not period.planned and period.kind != ignored_kind
        )

    def had_fault(
        self,
        targets: tuple[str, ...],
        start: float,
        end: float,
        kinds: tuple[str, ...] = (),
    ) -> bool:
        """
        Return whether a fault of these targets, or a restart, overlaps a time.

        ``kinds`` limits the kinds of faults. Faults that affect all targets, such as
        those of the store, do not count.
        """
        return any(
            period.target in targets and period.overlaps(start, end)
            for period in self.fault_periods
            if (not period.planned or period.kind == "terminate")
            and (not kinds or period.kind in kinds)
        )

    def was_evacuated(self, domain: str, start: float, end: float) -> bool:
        """Return whether a failure domain was evacuated at a moment between two."""
        return any(
            each.domain == domain
            and each.accepted_at <= end
            and each.removed_at >= start
            for each in self.evacuations
        )

    def record_run(self, request_id: str, run: Run) -> None:
        """Record a run, and check that its back end was not draining for too long."""
        self.runs[request_id].append(run)
        draining_at = self.draining_since.get(run.server_id)
        if draining_at is not None and run.started_at > draining_at + DRAIN_LIMIT_S:
            entry = next(
                (
                    attempt.entry
                    for attempt in reversed(self.attempts)
                    if attempt.request_id == request_id
                ),
                "",
            )
            # An entry that had learned of the draining keeps to it, even if the store
            # fails or is restored to a state in which the back end was ready.
            learned_at = draining_at + DRAIN_LIMIT_S
            learning_since = draining_at - CONTACT_RECOVERY_S
            if self.is_fault_free(entry, learning_since, run.started_at) or (
                self.is_fault_free(entry, learning_since, learned_at)
                and not self.had_fault((entry,), learned_at, run.started_at)
            ):
                elapsed_s = run.started_at - draining_at
                self.record_violation(
                    "drain",
                    f"{request_id} at {run.server_id} started {elapsed_s:.1f} s"
                    " after draining began",
                )

    def record_configuration(
        self, entry: str, incarnation: int, revision: int, seen_at: float
    ) -> None:
        """Record the configuration that an entry used, and check for a rollback."""
        key = (entry, incarnation)
        highest, highest_at = self.highest_configurations.get(key, (0, seen_at))
        if revision > highest:
            self.highest_configurations[key] = (revision, seen_at)
        elif revision < highest and seen_at > highest_at + REORDERING_SLACK_S:
            self.record_violation(
                "configuration back", f"{entry}: {revision} after {highest}"
            )

    def check_attempt(self, attempt: Attempt) -> None:
        """Check the rules that apply to a single answer."""
        self.counts[f"{attempt.kind} {attempt.status or 'none'}"] += 1
        duration_s = attempt.ended_at - attempt.sent_at
        description = f"{attempt.request_id} ({attempt.kind}) at {attempt.entry}"
        if duration_s > attempt.timeout_s + ANSWER_SLACK_S and self.is_fault_free(
            attempt.entry, attempt.sent_at - CONTACT_RECOVERY_S, attempt.ended_at
        ):
            self.record_violation("held", f"{description}: {duration_s:.2f} s")
        if attempt.status in UNEXPECTED_STATUSES:
            self.record_violation("denied", f"{description}: {attempt.status}")
        if attempt.status and attempt.echoed_id not in ("", attempt.request_id):
            self.record_violation(
                "mixed", f"{description}: received the answer to {attempt.echoed_id}"
            )
        if attempt.status == 200 and attempt.whole:
            self.check_success(attempt, description)

    def check_success(self, attempt: Attempt, description: str) -> None:
        """Check that a success is the complete answer of a back end to this request."""
        runs = self.runs.get(attempt.request_id, [])
        if not attempt.seal or not runs:
            self.record_violation(
                "mixed", f"{description}: a success that no back end sent"
            )
            return
        if any(run.workspace != attempt.workspace for run in runs):
            self.record_violation(
                "unasked", f"{description}: ran for another workspace"
            )
        if attempt.kind in STREAM_KINDS:
            expected_body = make_events(
                attempt.request_id, attempt.first_event, attempt.last_event
            )
            if attempt.body != expected_body:
                self.record_violation(
                    "order",
                    f"{description}: {len(attempt.body)} of {len(expected_body)} B",
                )
        elif all(run.body != attempt.body for run in runs):
            self.record_violation(
                "mixed", f"{description}: a body that no back end sent"
            )

    def check_completed_soak(self) -> None:
        """Check the rules that apply to all runs and attempts of the soak."""
        for attempt in self.attempts:
            runs = self.runs.get(attempt.request_id, [])
            description = f"{attempt.request_id} ({attempt.kind}) at {attempt.entry}"
            if attempt.kind == "order" and len(runs) > 1:
                server_ids = ", ".join(run.server_id for run in runs)
                self.record_violation("twice", f"{description}: {server_ids}")
            if attempt.status in NOT_RUN_STATUSES and runs:
                self.record_violation(
                    "refused", f"{description}: {attempt.status}, although it ran"
                )
            self.check_interruption(attempt, runs, description)
        attempt_ids = {attempt.request_id for attempt in self.attempts}
        for request_id in self.runs.keys() - attempt_ids - self.probe_ids:
            self.record_violation("unasked", f"{request_id} was never sent")

    def check_interruption(
        self, attempt: Attempt, runs: list[Run], description: str
    ) -> None:
        """
        Check that a fault explains the incomplete answer of a request that ran.

        Planned operations must not interrupt a request that a back end is running.
        """
        if attempt.status and attempt.whole:
            return
        start, end = attempt.sent_at - CONTACT_RECOVERY_S, attempt.ended_at
        if not runs or any(run.interrupted for run in runs):
            return
        # A request that ended near its timeout may have ended because of it.
        if end - attempt.sent_at >= 0.7 * attempt.timeout_s:
            return
        targets = [attempt.entry, *(run.server_id for run in runs)]
        if all(self.is_fault_free(target, start, end) for target in targets):
            self.record_violation(
                "lost",
                f"{description}: interrupted after {end - attempt.sent_at:.2f} s",
            )

    def served_share(self, since: float) -> float:
        """Return the served share of the completed attempts sent since a time."""
        recent = [
            attempt
            for attempt in self.attempts
            if attempt.sent_at >= since and attempt.ended_at
        ]
        served = sum(1 for attempt in recent if attempt.status == 200 and attempt.whole)
        return served / len(recent) if recent else 0.0


def make_events(request_id: str, first: int, last: int) -> bytes:
    """Return the events of a stream from first to last; all runs send the same ones."""
    return b"".join(make_event(request_id, number) for number in range(first, last + 1))


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    digits = "".join(itertools.islice(itertools.cycle(request_id), 40))
    return f"id: {number}\ndata: {digits}-{number}\n\n".encode()
