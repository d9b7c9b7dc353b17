"""
How many runs an engine carries at once, found from the time to the first token.

Additive increase, multiplicative decrease: the limit grows while it is used and the
engine stays quick, and shrinks when the quicker runs have become slow, the more the
slower they are. Until that first happens it grows with each quick first token instead,
so that it doubles in the time to a first token, however long the answers are.

Source for that slow start: Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
"""

from __future__ import annotations

from dataclasses import dataclass, field

WINDOW_SAMPLES = 8
WINDOW_S = 0.5
SLOW_FACTOR = 2.0
# Runs that start together wait for each other in this process for about so long.
OWN_DELAY_S = 0.02
DECREASE_FACTOR = 0.9
LARGEST_DECREASE_FACTOR = 0.5
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
        if self.slow_start:
            self.grow_at_once(in_flight)
        if now >= self.window_until and len(self.samples) >= WINDOW_SAMPLES:
            self.close_window()

    def grow_at_once(self, in_flight: int) -> None:
        """Let a quick first token make room; the first few give the baseline."""
        if self.baseline_s is None and len(self.samples) >= WINDOW_SAMPLES:
            self.baseline_s = lower_quartile(self.samples)
        quick = self.samples[-1] <= slow_above(self.baseline_s or min(self.samples))
        if quick and in_flight >= self.current():
            self.value = min(self.highest, self.value + 1)

    def close_window(self) -> None:
        """Judge the window and start a new one."""
        quartile = lower_quartile(self.samples)
        used = self.most_in_flight >= self.current()
        self.samples.clear()
        self.most_in_flight = 0
        self.baseline_windows += 1
        if self.baseline_windows > BASELINE_WINDOWS:
            self.take_baseline_anew()
            return
        self.baseline_s = min(self.baseline_s or quartile, quartile)
        slow_s = slow_above(self.baseline_s)
        if quartile > slow_s:
            part = min(DECREASE_FACTOR, max(LARGEST_DECREASE_FACTOR, slow_s / quartile))
            self.value = max(self.lowest, self.value * part)
            self.slow_start = False
        elif used and not self.slow_start:
            self.value = min(self.highest, self.value + 1)

    def take_baseline_anew(self) -> None:
        """Halve the limit and let the next window give the baseline."""
        self.value = max(self.lowest, self.value / 2)
        self.baseline_s = None
        self.baseline_windows = 0


def lower_quartile(samples: list[float]) -> float:
    """Return the sample below which a quarter of them lie."""
    return sorted(samples)[len(samples) // 4]


def slow_above(baseline_s: float) -> float:
    """Return the time to the first token above which an engine is busy."""
    return max(baseline_s * SLOW_FACTOR, baseline_s + OWN_DELAY_S)
