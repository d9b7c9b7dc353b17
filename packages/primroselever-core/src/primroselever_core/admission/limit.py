"""
How many runs an engine carries at once, found from the time to the first token.

Additive increase, multiplicative decrease: the limit grows while it is used and the
engine stays quick, and shrinks when the quicker runs have become slow. Until that
first happens it grows by half instead (slow start).
"""

from __future__ import annotations

from dataclasses import dataclass, field

WINDOW_SAMPLES = 8
WINDOW_S = 0.5
SLOW_FACTOR = 2.0
DECREASE_FACTOR = 0.9
SLOW_START_FACTOR = 1.5
BASELINE_WINDOWS = 240


@dataclass(slots=True)
class ConcurrencyLimit:
    """
    The limit, between ``lowest`` and ``highest`` runs.

    ``baseline_s`` is the time to the first token of an engine that is not busy. Of
    each window the lower quartile counts, since requests whose prefix the engine
    lacks are slow without being a sign of load. The baseline is taken anew now and
    then, at half the limit: an engine that is always busy would otherwise make its
    own slowness the measure, and one whose requests grew longer would lose its
    limit for good.
    """

    highest: int
    lowest: int = 1
    value: float = 8.0
    baseline_s: float | None = None
    baseline_windows: int = 0
    samples: list[float] = field(default_factory=list)
    window_until: float = 0.0
    most_in_flight: int = 0
    slow_start: bool = True

    def __post_init__(self) -> None:
        self.value = min(self.value, self.highest)

    def current(self) -> int:
        """Return how many runs may be in flight."""
        return max(self.lowest, int(self.value))

    def sample(self, first_token_s: float, in_flight: int, now: float) -> None:
        """Take in one run's time to its first token."""
        if not self.samples:
            self.window_until = now + WINDOW_S
        self.samples.append(first_token_s)
        self.most_in_flight = max(self.most_in_flight, in_flight)
        if now >= self.window_until and len(self.samples) >= WINDOW_SAMPLES:
            self.close_window()

    def close_window(self) -> None:
        """Judge the window and start a new one."""
        quartile = sorted(self.samples)[len(self.samples) // 4]
        used = self.most_in_flight >= self.current()
        self.samples.clear()
        self.most_in_flight = 0
        self.baseline_windows += 1
        if self.baseline_windows > BASELINE_WINDOWS:
            self.take_baseline_anew()
            return
        self.baseline_s = min(self.baseline_s or quartile, quartile)
        if quartile > self.baseline_s * SLOW_FACTOR:
            self.value = max(self.lowest, self.value * DECREASE_FACTOR)
            self.slow_start = False
        elif used and self.slow_start:
            self.value = min(self.highest, self.value * SLOW_START_FACTOR)
        elif used:
            self.value = min(self.highest, self.value + 1)

    def take_baseline_anew(self) -> None:
        """Halve the limit and let the next window give the baseline."""
        self.value = max(self.lowest, self.value / 2)
        self.baseline_s = None
        self.baseline_windows = 0
