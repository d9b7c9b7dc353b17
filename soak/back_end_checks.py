"""Checks of what back ends announce in their answers, and of their silences."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .ledger import CONTACT_RECOVERY_S, DRAIN_LIMIT_S, NOT_RUN_STATUSES

if TYPE_CHECKING:
    from .ledger import Arrival, Attempt, FaultPeriod, Ledger

SILENCE = "back end silent"
# After a refusal with Retry-After, an entry may still send this many requests in the
# time that the refusal asked for, apart from those sent within the reaction time.
MAX_REQUESTS_WHILE_CLOSED = 2
CLOSURE_REACTION_S = 0.5
# These end the memory of an entry, or keep it from acting on what it received.
INTERRUPTION_KINDS = ("kill", "terminate", "freeze")
LINK_DISTURBANCES = ("cut", "there", "back", "silence", "reset", "delay")
LINK_KINDS = tuple(f"link {kind}" for kind in LINK_DISTURBANCES)

# The requests from an entry that reached a back end.
ArrivalsByPair = dict[tuple[str, str], list[tuple["Attempt", "Arrival"]]]


def check_back_ends(ledger: Ledger) -> None:
    """Check the rules on announcements and silences for a completed soak."""
    attempts = {attempt.request_id: attempt for attempt in ledger.attempts}
    arrivals: ArrivalsByPair = defaultdict(list)
    for arrival in ledger.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is not None:
            arrivals[attempt.entry, arrival.server_id].append((attempt, arrival))
    check_announced_drains(ledger, arrivals)
    check_closures(ledger, arrivals)
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
