"""
The longest pauses of a test process, for the reports of tests that fail.

A test with limits of real time fails if the process does not run for as long.
"""

from __future__ import annotations

import gc
from dataclasses import dataclass

from eventlet import patcher

# The unpatched modules: a greenlet would not see that the event loop is blocked.
threading = patcher.original("threading")
time = patcher.original("time")

SAMPLE_S = 0.01


@dataclass
class ProcessPauses:
    """
    The longest pauses since the last ``reset``, in seconds.

    ``stall_s`` is the longest time for which no thread of the process ran, or one
    thread held the interpreter, and ``collection_s`` the longest garbage collection.
    """

    stall_s: float = 0.0
    collection_s: float = 0.0
    collection_began_at: float = 0.0

    def __str__(self) -> str:
        return (
            f"not running {self.stall_s:.3f} s, "
            f"garbage collection {self.collection_s:.3f} s"
        )

    def start(self) -> None:
        """Observe the process until it ends."""
        gc.callbacks.append(self.observe_collection)
        threading.Thread(target=self.sample, daemon=True).start()

    def reset(self) -> None:
        """Forget the pauses seen so far."""
        self.stall_s = self.collection_s = 0.0

    def sample(self) -> None:
        """Take a sample at a regular interval; one that is late shows a pause."""
        while True:
            due_at = time.monotonic() + SAMPLE_S
            time.sleep(SAMPLE_S)
            self.observe_sample(due_at, time.monotonic())

    def observe_sample(self, due_at: float, taken_at: float) -> None:
        """Record by how much a sample is late."""
        self.stall_s = max(self.stall_s, taken_at - due_at)

    def observe_collection(self, phase: str, _info: dict[str, int]) -> None:
        """Record the duration of a collection when it stops."""
        now = time.monotonic()
        if phase == "start":
            self.collection_began_at = now
        else:
            self.collection_s = max(self.collection_s, now - self.collection_began_at)
