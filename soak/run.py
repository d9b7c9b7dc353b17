"""One soak: a fleet, callers, faults in series that overlap, and a calm end."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import eventlet

from .callers import Caller, Prober
from .faults import FAULTS, PLANNED, Scene
from .fleet import Fleet
from .ledger import Ledger

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

CALLERS = 16
START_S = 15.0
SERIES = 2  # faults of this many series overlap
PAUSE_S = 0.8  # between two faults of a series, on average
SETTLE_S = 8.0  # after the last fault; the platform gives 12 s and more
CALM_S = 3.0
SERVED_SHARE = 0.9  # of what is sent in the calm end


@dataclass(slots=True)
class Soak:
    """A soak with a seed; ``planned_only`` draws planned work alone."""

    seed: int
    seconds: float
    mutant: str = ""
    planned_only: bool = False
    ledger: Ledger = field(default_factory=Ledger)
    log_directory: Path | None = None

    def run(self) -> Ledger:
        """Run and return what was seen."""
        random = Random(self.seed)
        fleet = Fleet(self.ledger, self.mutant)
        self.log_directory = fleet.directory
        callers = [Caller(fleet, Random(random.random())) for _ in range(CALLERS)]
        prober = Prober(fleet)
        try:
            fleet.start()
            self.wait_ready(fleet)
            tasks = [eventlet.spawn(caller.run) for caller in callers]
            eventlet.spawn(prober.run)
            series = [
                eventlet.spawn(
                    self.series,
                    Scene(fleet, self.ledger, prober, Random(random.random())),
                )
                for _ in range(SERIES)
            ]
            for one in series:
                one.wait()
            eventlet.sleep(SETTLE_S)
            calm_since = time.monotonic()
            eventlet.sleep(CALM_S)
            for caller in callers:
                caller.stopped = True
            for task in tasks:
                task.wait()
            self.check_calm(fleet, calm_since)
        finally:
            fleet.stop()
        self.ledger.check_end()
        return self.ledger

    def wait_ready(self, fleet: Fleet) -> None:
        """Wait until all entries are ready."""
        deadline = time.monotonic() + START_S
        while not all(vm.in_rotation for vm in fleet.entries()):
            if time.monotonic() > deadline:
                raise TimeoutError(f"not ready; logs in {fleet.directory}")
            eventlet.sleep(0.1)

    def series(self, scene: Scene) -> None:
        """Let one fault follow the other until the time is over."""
        faults: list[Callable[[Scene], None]] = list(FAULTS)
        if self.planned_only:
            faults = list(PLANNED)
        weights = [FAULTS[fault] for fault in faults]
        deadline = time.monotonic() + self.seconds
        while time.monotonic() < deadline:
            eventlet.sleep(2 * PAUSE_S * scene.random.random())
            scene.random.choices(faults, weights)[0](scene)

    def check_calm(self, fleet: Fleet, since: float) -> None:
        """Check that all is well again once the faults are over."""
        share = self.ledger.served_share(since)
        if share < SERVED_SHARE:
            self.ledger.breach("recover", f"{share:.2f} of the requests were served")
        for vm in fleet.vms.values():
            if vm.process is None or vm.process.poll() is not None:
                self.ledger.breach("ended", f"{vm.name} ended by itself")
        for name, backend in fleet.backends.items():
            version = getattr(backend, "version", fleet.version)
            if version != fleet.version:
                self.ledger.breach("recover", f"{name} holds version {version}")
