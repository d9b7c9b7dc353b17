"""
Adaptive limit on the runs in flight on an engine, from the time to first token.

The limit follows additive increase, multiplicative decrease. It grows while it is
reached and first tokens are fast. It shrinks when the lower quartile of the time to
first token exceeds a threshold, by more the larger the slowdown is. Before the first
decrease, it grows with each fast first token instead (slow start), so that it doubles
within one time to first token regardless of the length of the answers.

Source for slow start: Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_WINDOW_SAMPLES = 8
MIN_WINDOW_S = 0.5
SLOW_FACTOR = 2.0
# Runs that start together delay each other in this process by about this long.
CONCURRENT_START_DELAY_S = 0.02
WEAKEST_DECREASE_FACTOR = 0.9
STRONGEST_DECREASE_FACTOR = 0.5
BASELINE_LIFETIME_WINDOWS = 240


@dataclass(slots=True)
class ConcurrencyLimit:
    """
    A limit between ``lowest`` and ``highest`` runs.

    ``baseline_s`` is the time to first token of an engine that is not busy. The lower
    quartile of each window is used, because requests whose prefix is not cached by
    the engine are slow without indicating load. After ``BASELINE_LIFETIME_WINDOWS``
    windows the baseline is measured again at half the limit. At the full limit, an
    engine that is always busy would define its slow first tokens as normal. Without a
    new baseline, an engine whose requests became longer would keep a low limit
    permanently.
    """

    highest: int
    lowest: int = 1
    value: float = 8.0
    baseline_s: float | None = None
    baseline_windows: int = 0
    samples: list[float] = field(default_factory=list)
    window_end: float = 0.0
    peak_in_flight: int = 0
    slow_start: bool = True

    def __post_init__(self) -> None:
        self.value = min(self.value, self.highest)

    def current(self) -> int:
        """Return the number of runs that may be in flight."""
        return max(self.lowest, int(self.value))

    def add_sample(self, first_token_s: float, in_flight: int, now: float) -> None:
        """Add one run's time to first token and adapt the limit."""
        if not self.samples:
            self.window_end = now + MIN_WINDOW_S
        self.samples.append(first_token_s)
        self.peak_in_flight = max(self.peak_in_flight, in_flight)
        if self.slow_start:
            self.grow_in_slow_start(in_flight)
        if now >= self.window_end and len(self.samples) >= MIN_WINDOW_SAMPLES:
            self.close_window()

    def grow_in_slow_start(self, in_flight: int) -> None:
        """
        Raise the limit by one if it is reached and the last first token was fast.

        The baseline is set from the first ``MIN_WINDOW_SAMPLES`` samples.
        """
        if self.baseline_s is None and len(self.samples) >= MIN_WINDOW_SAMPLES:
            self.baseline_s = lower_quartile(self.samples)
        fast = self.samples[-1] <= slow_threshold_s(
            self.baseline_s or min(self.samples)
        )
        if fast and in_flight >= self.current():
            self.value = min(self.highest, self.value + 1)

    def close_window(self) -> None:
        """Adapt the limit to the samples of the window and start a new window."""
        quartile = lower_quartile(self.samples)
        limit_reached = self.peak_in_flight >= self.current()
        self.samples.clear()
        self.peak_in_flight = 0
        self.baseline_windows += 1
        if self.baseline_windows > BASELINE_LIFETIME_WINDOWS:
            self.reset_baseline()
            return
        self.baseline_s = min(self.baseline_s or quartile, quartile)
        slow_s = slow_threshold_s(self.baseline_s)
        if quartile > slow_s:
            factor = min(
                WEAKEST_DECREASE_FACTOR,
                max(STRONGEST_DECREASE_FACTOR, slow_s / quartile),
            )
            self.value = max(self.lowest, self.value * factor)
            self.slow_start = False
        elif limit_reached and not self.slow_start:
            self.value = min(self.highest, self.value + 1)

    def reset_baseline(self) -> None:
        """Halve the limit and discard the baseline; the next window sets a new one."""
        self.value = max(self.lowest, self.value / 2)
        self.baseline_s = None
        self.baseline_windows = 0


def lower_quartile(samples: list[float]) -> float:
    """Return the sample at the lower quartile."""
    return sorted(samples)[len(samples) // 4]


def slow_threshold_s(baseline_s: float) -> float:
    """Return the time to first token in seconds above which an engine is busy."""
    return max(baseline_s * SLOW_FACTOR, baseline_s + CONCURRENT_START_DELAY_S)
