"""Checks of homes, cold servers, priorities."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .back_end_checks import LINK_KINDS
from .ledger import CONFIGURATION_LIMIT_S, CONTACT_RECOVERY_S

if TYPE_CHECKING:
    from .ledger import ColdStart, Ledger

# In any second, all entries together send a cold server at most this many requests.
COLD_PER_S = 2
COLD_OVERAGE = 1.5
COLD_SLACK = 5
SHORTAGE = "engines occupied"
# The priorities of the routes of engines, 0 first, and the headers that requests may
# have: on time or late, and as the most urgent ones if their class gets too little.
PRIORITIES = {"stream": 0, "batch": 2}
ALLOWED_HEADERS = {"stream": {"0", "8"}, "batch": {"0", "2", "8", "9"}}
# Of the served share. Two shares of 30 requests differ by chance by up to this.
PRIORITY_TOLERANCE = 0.2
MIN_REQUESTS = 30


def check_load(ledger: Ledger) -> None:
    """Check the rules of this module for a completed soak."""
    check_homes(ledger)
    for cold_start in ledger.cold_starts:
        check_cold_start(ledger, cold_start)
    check_priorities(ledger)


def check_homes(ledger: Ledger) -> None:
    """
    Check that requests of the route with a home ran there.

    An entry may use an earlier home until it must use the new configuration.
    """
    for attempt in ledger.attempts:
        if attempt.kind != "home":
            continue
        for run in ledger.runs.get(attempt.request_id, ()):
            started_at = run.started_at
            homes = [each for each in ledger.homes if each.published_at <= started_at]
            if not homes or run.domain == homes[-1].domain:
                continue
            ledger.counts["runs in an earlier home"] += 1
            moved_at = homes[-1].published_at
            in_touch_since = started_at - CONTACT_RECOVERY_S - CONFIGURATION_LIMIT_S
            was_home = any(each.domain == run.domain for each in homes)
            since = moved_at - CONTACT_RECOVERY_S
            if in_touch_since > moved_at:
                since = in_touch_since
            is_due = started_at > moved_at + CONFIGURATION_LIMIT_S
            is_due = is_due and ledger.is_fault_free(attempt.entry, since, started_at)
            if is_due or not was_home:
                ledger.record_violation(
                    "home",
                    f"{attempt.request_id} from {attempt.entry} at {run.server_id},"
                    f" {started_at - moved_at:.1f} s after the home was set",
                )


def check_cold_start(ledger: Ledger, cold_start: ColdStart) -> None:
    """
    Check that all entries together sent few requests to a cold server.

    No fault of an entry excuses more. A disturbed link may deliver requests together.
    """
    server_id, started_at = cold_start.server_id, cold_start.started_at
    arrived = [
        arrival.arrived_at
        for arrival in ledger.arrivals
        if arrival.server_id == server_id
        and started_at <= arrival.arrived_at < cold_start.until
    ]
    most = max(
        (sum(end - 1.0 < time <= end for time in arrived) for end in arrived), default=0
    )
    ledger.counts["cold starts"] += 1
    counter = "most requests to a cold server in a second"
    ledger.counts[counter] = max(ledger.counts[counter], most)
    if most > COLD_PER_S * COLD_OVERAGE + COLD_SLACK and not ledger.had_fault(
        (server_id,), started_at, cold_start.until, LINK_KINDS
    ):
        ledger.record_violation("cold", f"{most} requests in a second at {server_id}")


def check_priorities(ledger: Ledger) -> None:
    """
    Check the priorities that engines received, and who was served while they were full.

    The most urgent requests must not be served less often than the least urgent ones.
    """
    kinds = {each.request_id: each.kind for each in ledger.attempts}
    for arrival in ledger.arrivals:
        kind = kinds.get(arrival.request_id, "")
        if kind in PRIORITIES and arrival.priority not in ALLOWED_HEADERS[kind]:
            ledger.record_violation(
                "priority",
                f"{arrival.request_id} ({kind}) at {arrival.server_id} was sent with"
                f" priority {arrival.priority!r}",
            )
    periods = [each for each in ledger.fault_periods if each.kind == SHORTAGE]
    shares = {}
    for kind in PRIORITIES:
        sent = [
            attempt
            for attempt in ledger.attempts
            if attempt.kind == kind
            and any(each.start <= attempt.sent_at < each.end for each in periods)
        ]
        served = sum(attempt.status == 200 and attempt.whole for attempt in sent)
        if len(sent) < MIN_REQUESTS:
            return
        shares[kind] = served / len(sent)
        ledger.counts[f"percent of {kind} served in a shortage"] = round(
            100 * shares[kind]
        )
    if shares["stream"] < shares["batch"] - PRIORITY_TOLERANCE:
        ledger.record_violation("priority", f"served in a shortage: {shares}")
