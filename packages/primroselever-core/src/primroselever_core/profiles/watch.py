"""
Contact with the configuration service: which processes call it, and when.

Normally the watchers of a failure domain call it. If no process of the domain is known
to have had an answer for some time, all its processes probe the service at random,
about two calls per second in total, because the service may answer some processes only.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..backoff import backoff_s

if TYPE_CHECKING:
    from random import Random

SERVICE_SILENT_S = 12.0
DOMAIN_PROBES_PER_S = 2.0
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0


@dataclass(slots=True)
class ServiceContact:
    """
    The state of this process's contact with the configuration service.

    ``last_answer_at`` is the time of the service's last answer to this process, or to a
    peer that reported it. ``failures`` counts the consecutive failed calls of this
    process, whose next call is due at ``retry_at``. Until ``grace_until``, a process
    that has just started does not treat the service as silent.
    """

    last_answer_at: float = 0.0
    failures: int = 0
    retry_at: float = 0.0
    grace_until: float = 0.0

    def record_answer(self, now: float) -> None:
        """Record an answer of the service to this process."""
        self.last_answer_at = now
        self.failures = 0
        self.retry_at = now

    def record_failure(self, now: float, random: Random) -> None:
        """Record a failed or refused call, and back off with jitter."""
        self.failures += 1
        wait_s = backoff_s(self.failures, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        self.retry_at = now + wait_s * random.uniform(0.5, 1.0)

    def record_peer_report(self, age_s: float, now: float) -> None:
        """Record a peer's report that the service answered ``age_s`` seconds ago."""
        self.last_answer_at = max(self.last_answer_at, now - age_s)

    def is_silent(self, now: float) -> bool:
        """Return whether no answer to any process is known for ``SERVICE_SILENT_S``."""
        return now >= self.grace_until and now - self.last_answer_at > SERVICE_SILENT_S

    def should_probe(
        self, domain_size: int, interval_s: float, now: float, random: Random
    ) -> bool:
        """Return whether a process that is not a watcher probes the service now."""
        if not self.is_silent(now) or now < self.retry_at:
            return False
        return random.random() < DOMAIN_PROBES_PER_S * interval_s / max(1, domain_size)
