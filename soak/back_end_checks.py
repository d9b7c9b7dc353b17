"""Checks of the announcements, silences and evacuations of back ends."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .ledger import (
    CONTACT_RECOVERY_S,
    DRAIN_LIMIT_S,
    EVACUATION_LIMIT_S,
    NOT_RUN_STATUSES,
)

if TYPE_CHECKING:
    from .ledger import (
        Arrival,
        Attempt,
        Evacuation,
        FaultPeriod,
        Ledger,
        NamedLimit,
    )

SILENCE = "back end silent"
# After a refusal with Retry-After, an entry may still send this many requests in the
# time that the refusal asked for, apart from those sent within the reaction time.
MAX_REQUESTS_WHILE_CLOSED = 2
CLOSURE_REACTION_S = 0.5
# A limit counts after this time, for the entries that passed it on before the reaction
# time, in windows of this length.
LIMIT_CONTACT_S = 3.0
LIMIT_REACTION_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5
# These end the memory of an entry, or keep it from acting on what it received.
INTERRUPTION_KINDS = ("kill", "terminate", "freeze")
LINK_DISTURBANCES = ("cut", "there", "back", "silence", "reset", "delay")
LINK_KINDS = tuple(f"link {kind}" for kind in LINK_DISTURBANCES)

# The requests from an entry that reached a back end.
ArrivalsByPair = dict[tuple[str, str], list[tuple["Attempt", "Arrival"]]]


def check_back_ends(ledger: Ledger) -> None:
    """Check the rules on back ends for a completed soak."""
    attempts = {attempt.request_id: attempt for attempt in ledger.attempts}
    arrivals: ArrivalsByPair = defaultdict(list)
    for arrival in ledger.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is not None:
            arrivals[attempt.entry, arrival.server_id].append((attempt, arrival))
    check_announced_drains(ledger, arrivals)
    check_closures(ledger, arrivals)
    for limit in ledger.limits:
        check_limit(ledger, limit, arrivals)
    for evacuation in ledger.evacuations:
        check_evacuation(ledger, evacuation)
    for period in ledger.fault_periods:
        if period.kind == SILENCE:
            check_silence(ledger, period, arrivals)


def check_announced_drains(ledger: Ledger, arrivals: ArrivalsByPair) -> None:
    """
    Check that entries stop using a back end whose announcement they passed on.

    This holds even for an entry that cannot reach the store.
    """
    passed_on_at: dict[tuple[str, str], float] = {}
    for attempt in ledger.attempts:
        for run in ledger.runs.get(attempt.request_id, ()):
            if run.leaving and attempt.status and run.seal == attempt.seal:
                pair = (attempt.entry, run.server_id)
                first_at = passed_on_at.get(pair, attempt.ended_at)
                passed_on_at[pair] = min(first_at, attempt.ended_at)
    ledger.counts["announced drains"] = len(passed_on_at)
    for (entry, server_id), announced_at in passed_on_at.items():
        for attempt, arrival in arrivals[entry, server_id]:
            sent_after_s = attempt.sent_at - announced_at
            if sent_after_s > DRAIN_LIMIT_S and not ledger.had_fault(
                (entry,), announced_at, arrival.arrived_at, INTERRUPTION_KINDS
            ):
                ledger.record_violation(
                    "announced drain",
                    f"{attempt.request_id} from {entry} at {server_id}, sent"
                    f" {sent_after_s:.1f} s after the announcement",
                )


def check_closures(ledger: Ledger, arrivals: ArrivalsByPair) -> None:
    """Check that entries respect ``Retry-After``; report each pair at most once."""
    ledger.counts["refusals with Retry-After"] = sum(
        bool(arrival.refused_at) for arrival in ledger.arrivals
    )
    for (entry, server_id), pair_arrivals in arrivals.items():
        for _, refusal in pair_arrivals:
            if not refusal.refused_at:
                continue
            start = refusal.refused_at + CLOSURE_REACTION_S
            later_count = sum(
                start < arrival.arrived_at < refusal.closed_until
                for _, arrival in pair_arrivals
            )
            until = refusal.closed_until
            if (
                later_count > MAX_REQUESTS_WHILE_CLOSED
                and not ledger.had_fault((entry,), refusal.arrived_at, until)
                and not ledger.had_fault(
                    (server_id,), refusal.arrived_at, until, LINK_KINDS
                )
            ):
                ledger.record_violation(
                    "closed", f"{later_count} requests from {entry} at {server_id}"
                )
                break


def check_limit(ledger: Ledger, limit: NamedLimit, arrivals: ArrivalsByPair) -> None:
    """Check that the entries together kept the limit that a back end had named."""
    counted: list[float] = []
    for (entry, server_id), pair_arrivals in arrivals.items():
        if server_id != limit.server_id:
            continue
        passed_on_at = [
            attempt.ended_at
            for attempt, _ in pair_arrivals
            for run in ledger.runs.get(attempt.request_id, ())
            if run.limited and run.seal == attempt.seal
            if attempt.ended_at >= limit.named_at
        ]
        if not passed_on_at or ledger.had_fault(
            (entry,), limit.named_at - CONTACT_RECOVERY_S, limit.until
        ):
            continue
        told_at = min(passed_on_at) + LIMIT_REACTION_S
        counted += [
            arrival.arrived_at
            for _, arrival in pair_arrivals
            if told_at < arrival.arrived_at < limit.until
        ]
    allowed = LIMIT_TOLERANCE * limit.rate * LIMIT_WINDOW_S + LIMIT_SLACK
    ledger.counts["limits named"] += 1
    most = max(
        (
            sum(end - LIMIT_WINDOW_S < time <= end for time in counted)
            for end in counted
            if end > limit.named_at + LIMIT_CONTACT_S
        ),
        default=0,
    )
    counter = "most requests to a limited server"
    ledger.counts[counter] = max(ledger.counts[counter], most)
    if most > allowed:
        ledger.record_violation(
            "limit", f"{most} requests in 4 s at {limit.server_id}, allowed {allowed:g}"
        )


def check_evacuation(ledger: Ledger, evacuation: Evacuation) -> None:
    """
    Check that no request began to run in an evacuated failure domain after the limit.

    No fault excuses one: an evacuation holds through outages, restarts and restores.
    """
    runs = sorted(
        (run.started_at - evacuation.accepted_at, request_id, run.server_id)
        for request_id, request_runs in ledger.runs.items()
        for run in request_runs
        if run.domain == evacuation.domain
        and evacuation.accepted_at < run.started_at < evacuation.removed_at
    )
    ledger.counts["evacuations"] += 1
    if not runs:
        return
    last_s, request_id, server_id = runs[-1]
    counter = "latest start in an evacuated domain in ms"
    ledger.counts[counter] = max(ledger.counts[counter], round(1000 * last_s))
    late_count = sum(elapsed_s > EVACUATION_LIMIT_S for elapsed_s, _, _ in runs)
    if late_count:
        ledger.record_violation(
            "evacuation",
            f"{late_count} requests in domain {evacuation.domain}, the last one"
            f" {request_id} at {server_id}, {last_s:.1f} s after the evacuation",
        )


def check_silence(
    ledger: Ledger, period: FaultPeriod, arrivals: ArrivalsByPair
) -> None:
    """
    Check that no request was lost that waited for a silent back end.

    A refusal is no loss: such a request did not run.
    """
    for (_, server_id), pair_arrivals in arrivals.items():
        if server_id != period.target:
            continue
        for attempt, arrival in pair_arrivals:
            if (
                arrival.arrived_at > period.end
                or attempt.ended_at < period.start
                or (attempt.status == 200 and attempt.whole)
                or attempt.status in NOT_RUN_STATUSES
            ):
                continue
            start = attempt.sent_at - CONTACT_RECOVERY_S
            server_ids = [run.server_id for run in ledger.runs[attempt.request_id]]
            if not any(
                other.overlaps(start, attempt.ended_at)
                for other in ledger.fault_periods
                if other is not period
                and not other.planned
                and other.target in ("", attempt.entry, server_id, *server_ids)
            ):
                ledger.record_violation(
                    "silence",
                    f"{attempt.request_id} ({attempt.kind}) at {attempt.entry}: status"
                    f" {attempt.status}, whole: {attempt.whole}, after"
                    f" {attempt.ended_at - attempt.sent_at:.2f} s",
                )
