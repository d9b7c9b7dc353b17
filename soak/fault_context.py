"""What the faults of a soak act on, and the record of their periods."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .ledger import FaultPeriod

if TYPE_CHECKING:
    from random import Random

    from .backends import Backend
    from .callers import Prober
    from .fleet import Fleet, Vm
    from .ledger import Ledger

MAX_FAULT_DURATION_S = 2.5
BUSY_S = 2.0  # the time in which requests are counted to find the busiest back end
SERIES_S = 3.0  # between two faults of one target that count as a series


@dataclass(slots=True)
class FaultContext:
    """
    The fleet and the seeded random generator that faults use.

    ``prefers_busy`` selects the back ends that received most requests lately.
    """

    fleet: Fleet
    ledger: Ledger
    prober: Prober
    random: Random
    prefers_busy: bool = False

    def draw_duration_s(self) -> float:
        """Return a random fault duration in seconds."""
        return 0.2 + (MAX_FAULT_DURATION_S - 0.2) * self.random.random()

    def record_fault(
        self, kind: str, target: str, planned: bool = False
    ) -> FaultPeriod:
        """Record a fault that begins now; the caller sets the end of the period."""
        period = FaultPeriod(kind, target, time.monotonic(), planned=planned)
        earlier_periods = self.ledger.fault_periods
        if any(earlier.end > period.start for earlier in earlier_periods):
            self.ledger.counts["overlapping faults"] += 1
        if any(
            target == earlier.target and earlier.end > period.start - SERIES_S
            for earlier in earlier_periods
        ):
            self.ledger.counts["faults in series"] += 1
        self.ledger.fault_periods.append(period)
        self.ledger.counts[f"fault {kind}"] += 1
        return period

    def choose_vm(self, role: str = "") -> Vm | None:
        """Return a random VM that is not being stopped, or None if there is none."""
        candidates = [
            vm
            for vm in self.fleet.vms.values()
            if role in ("", vm.role) and not vm.stopping
        ]
        return self.random.choice(candidates) if candidates else None

    def choose_backend(self, server_class: type[Backend]) -> str:
        """Return the name of a listed back end of a class."""
        backends = {
            name: self.fleet.backends[name]
            for name in sorted(self.fleet.listed_server_ids)
            if isinstance(self.fleet.backends[name], server_class)
        }
        if not self.prefers_busy:
            return self.random.choice(list(backends))
        since = time.monotonic() - BUSY_S
        arrival_counts = Counter(
            arrival.server_id
            for arrival in self.ledger.arrivals
            if arrival.arrived_at > since
        )
        return max(backends, key=lambda name: arrival_counts[backends[name].server_id])
