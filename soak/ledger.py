"""What back ends ran and callers were told, and which promises that breaks."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field

ANSWER_SLACK_S = 0.5  # the platform's rule on answers past a route's timeout
DRAIN_S = 2.0  # from an acknowledged leaving to the last request
CONFIGURATION_S = 2.0  # from an acknowledged configuration to its effect
CONTACT_S = 3.0  # a process counts as in touch so long after the last fault
ROLLBACK_SLACK_S = 0.25  # answers overtake each other by so much
NOT_RUN = (408, 421, 429, 503)
REFUSED_OUTRIGHT = (400, 401, 403, 404, 413, 431)


@dataclass(slots=True)
class Run:
    """A run of a request at a back end; ``broken`` when the back end broke it off."""

    server: str
    at: float
    workspace: str
    body: bytes = b""
    broken: bool = False


@dataclass(slots=True)
class Attempt:
    """
    One request of a caller on one connection, and how that ended.

    ``status`` is 0 without an answer, ``whole`` whether the answer ended in order.
    ``first_event`` is the number of the event that should come first.
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
class Breach:
    """A promise that was broken, with what was seen."""

    rule: str
    seen: str


@dataclass(slots=True)
class Span:
    """A fault: its kind, whom it hits ('' for all) and from when to when."""

    kind: str
    target: str
    start: float
    end: float = float("inf")
    planned: bool = False


@dataclass(slots=True)
class Ledger:
    """Everything that was seen on the sockets of one soak."""

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    attempts: list[Attempt] = field(default_factory=list)
    probes: set[str] = field(default_factory=set)
    spans: list[Span] = field(default_factory=list)
    breaches: list[Breach] = field(default_factory=list)
    leaving_since: dict[str, float] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    highest_seen: dict[tuple[str, int], tuple[int, float]] = field(default_factory=dict)

    def breach(self, rule: str, seen: str) -> None:
        """Note a broken promise."""
        self.breaches.append(Breach(rule, seen))

    def calm(self, target: str, start: float, end: float) -> bool:
        """Return whether no unplanned fault hit a target, or all, from start to end."""
        return not any(
            span.target in ("", target) and span.start <= end and span.end >= start
            for span in self.spans
            if not span.planned
        )

    def ran(self, request_id: str, run: Run) -> None:
        """Take in that a back end began to work on a request."""
        self.runs[request_id].append(run)
        since = self.leaving_since.get(run.server)
        if since is not None and run.at > since + DRAIN_S:
            entry = next(
                (
                    a.entry
                    for a in reversed(self.attempts)
                    if a.request_id == request_id
                ),
                "",
            )
            if self.calm(entry, since - CONTACT_S, run.at):
                late_s = run.at - since
                self.breach(
                    "drain", f"{request_id} at {run.server} {late_s:.1f} s late"
                )

    def configuration_seen(
        self, entry: str, incarnation: int, revision: int, at: float
    ) -> None:
        """Take in that an entry handled a request as a configuration says."""
        key = (entry, incarnation)
        highest, since = self.highest_seen.get(key, (0, at))
        if revision > highest:
            self.highest_seen[key] = (revision, at)
        elif revision < highest and at > since + ROLLBACK_SLACK_S:
            self.breach("configuration back", f"{entry}: {revision} after {highest}")

    def check_attempt(self, attempt: Attempt) -> None:
        """Check what a caller was told, as far as one answer shows it."""
        self.counts[f"{attempt.kind} {attempt.status or 'none'}"] += 1
        took_s = attempt.ended_at - attempt.sent_at
        name = f"{attempt.request_id} ({attempt.kind}) at {attempt.entry}"
        if took_s > attempt.timeout_s + ANSWER_SLACK_S and self.calm(
            attempt.entry, attempt.sent_at - CONTACT_S, attempt.ended_at
        ):
            self.breach("held", f"{name}: {took_s:.2f} s")
        if attempt.status in REFUSED_OUTRIGHT:
            self.breach("denied", f"{name}: {attempt.status}")
        if attempt.status and attempt.echoed_id not in ("", attempt.request_id):
            self.breach("mixed", f"{name}: an answer to {attempt.echoed_id}")
        if attempt.status == 200 and attempt.whole:
            self.check_success(attempt, name)

    def check_success(self, attempt: Attempt, name: str) -> None:
        """Check that a success is a back end's whole answer to this request."""
        runs = self.runs.get(attempt.request_id, [])
        if not attempt.seal or not runs:
            self.breach("mixed", f"{name}: a success that no back end gave")
            return
        if any(run.workspace != attempt.workspace for run in runs):
            self.breach("unasked", f"{name}: run for another workspace")
        if attempt.kind == "stream":
            wanted = events(attempt.request_id, attempt.first_event, attempt.last_event)
            if attempt.body != wanted:
                self.breach("order", f"{name}: {len(attempt.body)} of {len(wanted)} B")
        elif all(run.body != attempt.body for run in runs):
            self.breach("mixed", f"{name}: a body that no back end gave")

    def check_end(self) -> None:
        """Check what only the whole soak shows."""
        for attempt in self.attempts:
            runs = self.runs.get(attempt.request_id, [])
            name = f"{attempt.request_id} ({attempt.kind}) at {attempt.entry}"
            if attempt.kind == "order" and len(runs) > 1:
                at = ", ".join(run.server for run in runs)
                self.breach("twice", f"{name}: {at}")
            if attempt.status in NOT_RUN and runs:
                self.breach("refused", f"{name}: {attempt.status}, and it ran")
            self.check_cut(attempt, runs, name)
        known = {attempt.request_id for attempt in self.attempts}
        for request_id in self.runs.keys() - known - self.probes:
            self.breach("unasked", f"{request_id} was never sent")

    def check_cut(self, attempt: Attempt, runs: list[Run], name: str) -> None:
        """Check that planned work cut no answer that a back end was working on."""
        if attempt.status and attempt.whole:
            return
        start, end = attempt.sent_at - CONTACT_S, attempt.ended_at
        if not runs or any(run.broken for run in runs):
            return
        if end - attempt.sent_at >= 0.7 * attempt.timeout_s:
            return
        targets = [attempt.entry, *(run.server for run in runs)]
        if all(self.calm(target, start, end) for target in targets):
            self.breach("lost", f"{name}: cut after {end - attempt.sent_at:.2f} s")

    def served_share(self, since: float) -> float:
        """Return the share of the attempts sent since then that were served."""
        late = [a for a in self.attempts if a.sent_at >= since and a.ended_at]
        good = sum(1 for a in late if a.status == 200 and a.whole)
        return good / len(late) if late else 0.0


def events(request_id: str, first: int, last: int) -> bytes:
    """Return the events of a stream with these numbers, as every run makes them."""
    return b"".join(event(request_id, number) for number in range(first, last + 1))


def event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    digits = "".join(itertools.islice(itertools.cycle(request_id), 40))
    return f"id: {number}\ndata: {digits}-{number}\n\n".encode()
