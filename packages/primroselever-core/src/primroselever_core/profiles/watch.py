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
BACKOFF_FIRST_S = 0.5
BACKOFF_LONGEST_S = 10.0


@dataclass(slots=True)
class ServiceContact:
    """
    The state of this process's contact with the configuration service.

    ``heard_at`` is the time of the service's last answer to this process, or to a peer
    that reported it. ``failures`` counts the consecutive failed calls of this process,
    whose next call is due at ``retry_at``. Until ``grace_until``, a process that has
    just started does not treat the service as silent.
    """

    heard_at: float = 0.0
    failures: int = 0
    retry_at: float = 0.0
    grace_until: float = 0.0

    def answered(self, now: float) -> None:
        """Record an answer of the service to this process."""
        self.heard_at = now
        self.failures = 0
        self.retry_at = now

    def failed(self, now: float, random: Random) -> None:
        """Record a failed or refused call, and back off with jitter."""
        self.failures += 1
        wait_s = backoff_s(self.failures, BACKOFF_FIRST_S, BACKOFF_LONGEST_S)
        self.retry_at = now + wait_s * random.uniform(0.5, 1.0)

    def heard_elsewhere(self, age_s: float, now: float) -> None:
        """Record a peer's report that the service answered ``age_s`` seconds ago."""
        self.heard_at = max(self.heard_at, now - age_s)

    def silent(self, now: float) -> bool:
        """Return whether no answer to any process is known for ``SERVICE_SILENT_S``."""
        return now >= self.grace_until and now - self.heard_at > SERVICE_SILENT_S

    def probes(
        self, domain_size: int, interval_s: float, now: float, random: Random
    ) -> bool:
        """Return whether a process that is not a watcher probes the service now."""
        if not self.silent(now) or now < self.retry_at:
            return False
        return random.random() < DOMAIN_PROBES_PER_S * interval_s / max(1, domain_size)
