"""The check that no request begins on lapsed weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .back_end_checks import INTERRUPTION_KINDS, LINK_KINDS
from .ledger import CONTACT_RECOVERY_S, WEIGHTS_WITHIN_S

if TYPE_CHECKING:
    from .ledger import Ledger, Run


def check_lapses(ledger: Ledger) -> None:
    """Check when runs began on older weights than the newest acknowledged ones."""
    entries = {attempt.request_id: attempt.entry for attempt in ledger.attempts}
    counter = "latest start on older weights in ms"
    for request_id, runs in ledger.runs.items():
        for run in runs:
            acknowledged_at = min(
                (
                    each.acknowledged_at
                    for each in ledger.versions
                    if each.number > run.version
                ),
                default=run.begun_at,
            )
            if not run.version or run.begun_at <= acknowledged_at:
                continue
            age_s = run.begun_at - acknowledged_at
            ledger.counts["starts on older weights"] += 1
            ledger.counts[counter] = max(ledger.counts[counter], round(1000 * age_s))
            if age_s <= WEIGHTS_WITHIN_S:
                continue
            entry = entries.get(request_id, "")
            if is_excused(ledger, run, entry):
                ledger.counts["excused starts on lapsed weights"] += 1
                continue
            ledger.record_violation(
                "lapsed",
                f"{request_id} from {entry} at {run.server_id} began on version"
                f" {run.version}, {age_s:.3f} s after a newer one was acknowledged",
            )


def is_excused(ledger: Ledger, run: Run, entry: str) -> bool:
    """
    Return whether the entry was not in touch, or its or the engine's link failed.

    A late event loop, a late update and a slow engine excuse nothing, nor do requests
    that are late on the link of an engine's VM at a lapse: its agent closes the engine.
    """
    since, until = run.begun_at - CONTACT_RECOVERY_S, run.begun_at
    is_store_stable = not any(
        period.target == "" and not period.planned and period.overlaps(since, until)
        for period in ledger.fault_periods
    )
    return (
        not is_store_stable
        or ledger.had_fault((entry,), since, until, INTERRUPTION_KINDS)
        or ledger.had_fault((entry, run.server_id), since, until, LINK_KINDS)
    )
