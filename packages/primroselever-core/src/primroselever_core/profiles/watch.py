"""
Who asks the configuration service, and when.

A domain's watchers do. When they were not answered for a while, as far as anybody
says, each process of the domain tries now and then, about two calls a second in
all: the service may be answering to some processes only.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..backoff import backoff_s

if TYPE_CHECKING:
    from random import Random

SERVICE_SILENT_S = 12.0
PROBES_PER_S = 2.0
BACKOFF_FIRST_S = 0.5
BACKOFF_LONGEST_S = 10.0


@dataclass(slots=True)
class ServiceContact:
    """
    When the service was last heard by this process or by one that told it so.

    ``failures`` counts this process's own failed calls in a row; its next call is
    due at ``retry_at``. Before ``grace_until`` a process that has only started does
    not yet conclude anything from silence.
    """

    heard_at: float = 0.0
    failures: int = 0
    retry_at: float = 0.0
    grace_until: float = 0.0

    def answered(self, now: float) -> None:
        """Note an answer of the service to this process."""
        self.heard_at = now
        self.failures = 0
        self.retry_at = now

    def failed(self, now: float, random: Random) -> None:
        """Note a failed or refused call, and back off with jitter."""
        self.failures += 1
        wait_s = backoff_s(self.failures, BACKOFF_FIRST_S, BACKOFF_LONGEST_S)
        self.retry_at = now + wait_s * random.uniform(0.5, 1.0)

    def heard_elsewhere(self, age_s: float, now: float) -> None:
        """Note how long ago a peer says that the service was heard."""
        self.heard_at = max(self.heard_at, now - age_s)

    def silent(self, now: float) -> bool:
        """Return whether nobody seems to be answered."""
        return now >= self.grace_until and now - self.heard_at > SERVICE_SILENT_S

    def probes(
        self, domain_size: int, interval_s: float, now: float, random: Random
    ) -> bool:
        """Return whether a process that is no watcher tries the service now."""
        if not self.silent(now) or now < self.retry_at:
            return False
        return random.random() < PROBES_PER_S * interval_s / max(1, domain_size)
