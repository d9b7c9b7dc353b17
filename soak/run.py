"""One soak: start a fleet, send requests, inject faults and check the recovery."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import eventlet

from .back_end_checks import check_back_ends
from .callers import Caller, Prober
from .engines import ModelServer
from .fault_context import FaultContext
from .faults import (
    FAULT_FREQUENCIES,
    INITIAL_SEQUENCE,
    LOAD_FAULT_FREQUENCIES,
    PLANNED_FREQUENCIES,
)
from .fleet import Fleet
from .lapse_checks import check_lapses
from .ledger import Ledger
from .load_checks import check_load

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

CALLER_COUNT = 16
START_TIMEOUT_S = 15.0
# Each sequence injects one fault at a time; faults of different sequences overlap.
FAULT_SEQUENCE_COUNT = 2
MEAN_PAUSE_BETWEEN_FAULTS_S = 0.8  # within one sequence
RECOVERY_S = 12.0  # the platform allows at least this after the last fault
FAULT_FREE_S = 3.0
MIN_SERVED_SHARE = 0.9  # of the requests sent after the recovery time


@dataclass(slots=True)
class Soak:
    """
    One soak with a seeded choice of faults and requests.

    ``planned_only`` excludes faults and injects planned operations only.
    """

    seed: int
    fault_duration_s: float
    mutant: str = ""
    planned_only: bool = False
    ledger: Ledger = field(default_factory=Ledger)
    log_directory: Path | None = None

    def run(self) -> Ledger:
        """Run the soak and return its ledger."""
        random = Random(self.seed)
        fleet = Fleet(self.ledger, self.mutant)
        self.log_directory = fleet.directory
        callers = [Caller(fleet, Random(random.random())) for _ in range(CALLER_COUNT)]
        prober = Prober(fleet)
        try:
            fleet.start()
            self.wait_until_ready(fleet)
            caller_tasks = [eventlet.spawn(caller.run) for caller in callers]
            eventlet.spawn(prober.run)
            first_context = FaultContext(
                fleet, self.ledger, prober, Random(random.random()), prefers_busy=True
            )
            for fault in () if self.planned_only else INITIAL_SEQUENCE:
                fault(first_context)
            frequencies = [FAULT_FREQUENCIES] * FAULT_SEQUENCE_COUNT
            frequencies.append(LOAD_FAULT_FREQUENCIES)
            if self.planned_only:
                frequencies = [PLANNED_FREQUENCIES] * FAULT_SEQUENCE_COUNT
            fault_tasks = [
                eventlet.spawn(
                    self.inject_faults,
                    FaultContext(fleet, self.ledger, prober, Random(random.random())),
                    each,
                )
                for each in frequencies
            ]
            for fault_task in fault_tasks:
                fault_task.wait()
            eventlet.sleep(RECOVERY_S)
            fault_free_since = time.monotonic()
            eventlet.sleep(FAULT_FREE_S)
            for caller in callers:
                caller.stopped = True
            for caller_task in caller_tasks:
                caller_task.wait()
            self.check_recovery(fleet, fault_free_since)
        finally:
            fleet.stop()
        self.ledger.check_completed_soak()
        check_back_ends(self.ledger)
        check_load(self.ledger)
        check_lapses(self.ledger)
        return self.ledger

    def wait_until_ready(self, fleet: Fleet) -> None:
        """Wait until all entries are ready; raise TimeoutError after the time limit."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(vm.in_rotation for vm in fleet.entries()):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"not all entries became ready in time; logs: {fleet.directory}"
                )
            eventlet.sleep(0.1)

    def inject_faults(
        self,
        context: FaultContext,
        frequencies: dict[Callable[[FaultContext], None], float],
    ) -> None:
        """Inject random faults in series for ``fault_duration_s``."""
        faults, weights = list(frequencies), list(frequencies.values())
        deadline = time.monotonic() + self.fault_duration_s
        while time.monotonic() < deadline:
            eventlet.sleep(2 * MEAN_PAUSE_BETWEEN_FAULTS_S * context.random.random())
            context.random.choices(faults, weights)[0](context)

    def check_recovery(self, fleet: Fleet, fault_free_since: float) -> None:
        """Check that requests, processes and weights have recovered from the faults."""
        share = self.ledger.served_share(fault_free_since)
        if share < MIN_SERVED_SHARE:
            self.ledger.record_violation(
                "recover", f"{share:.2f} of the requests were served"
            )
        for vm in fleet.vms.values():
            if vm.process is None or vm.process.poll() is not None:
                self.ledger.record_violation("ended", f"{vm.name} exited unexpectedly")
        for name, backend in fleet.backends.items():
            if not isinstance(backend, ModelServer):
                continue
            if backend.version != fleet.weights_version:
                self.ledger.record_violation(
                    "recover", f"{name} serves weights version {backend.version}"
                )
            if any(layer in load.bad_pieces for layer, load in backend.layers.items()):
                self.ledger.record_violation("recover", f"{name} serves bad weights")
