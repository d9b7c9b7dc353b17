"""
Outlier ejection: a server with consecutive failures gets no new work for some time.

At most a third of a pool is ejected, or one server of two. If more servers than that
fail, a common cause is more likely, and the remaining servers could not carry the
load. The only server of a pool is never ejected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..backoff import backoff_s
from ..outcomes import Done, Ending, NotRun, Reason, Unknown

if TYPE_CHECKING:
    from .pool import Pool
    from .section import Server

CONSECUTIVE_FAILURES = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 1 / 3

# Reasons for which a server itself refuses work for some time. The cap on ejections
# does not apply to them.
SELF_REPORTED_REASONS = (Reason.NO_WEIGHTS, Reason.LEAVING, Reason.PAUSED)
FAILURE_REASONS = (
    Reason.ENGINE_FAILED,
    Reason.SERVER_LOST,
    Reason.ANSWER_DAMAGED,
    Reason.WEIGHTS_CHANGED,
)
AVOID_S = 1.0


def record_ending(pool: Pool, server: Server, ending: Ending, now: float) -> bool:
    """Record how a run ended; return whether its server was ejected for it."""
    if isinstance(ending, Done):
        server.failures = 0
        server.ejections = 0
        return False
    if isinstance(ending, NotRun) and ending.reason in SELF_REPORTED_REASONS:
        server.avoid_until = now + (ending.retry_after_s or AVOID_S)
        return False
    if isinstance(ending, Unknown) and ending.reason in FAILURE_REASONS:
        server.failures += 1
        return server.failures >= CONSECUTIVE_FAILURES and eject(pool, server, now)
    return False


def eject(pool: Pool, server: Server, now: float) -> bool:
    """Eject a server unless the cap is reached; return whether it was ejected."""
    ejected = sum(other.ejected_until > now for other in pool.servers)
    if ejected + 1 > max(1.0, len(pool.servers) * MAX_EJECTED_SHARE):
        return False
    if len(pool.servers) == 1:
        return False
    server.ejections += 1
    wait_s = backoff_s(server.ejections, FIRST_EJECTION_S, MAX_EJECTION_S)
    server.failures = 0
    server.ejected_until = now + wait_s
    return True
