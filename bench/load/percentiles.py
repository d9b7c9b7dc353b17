"""Percentiles of durations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_TRACKED_US, MAX_TRACKED_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3


def percentiles_ms(seconds: Iterable[float]) -> dict[str, float]:
    """Return p50, p95 and p99 in milliseconds, or an empty mapping for no values."""
    histogram = HdrHistogram(MIN_TRACKED_US, MAX_TRACKED_US, SIGNIFICANT_DIGITS)
    count = 0
    for value in seconds:
        histogram.record_value(max(MIN_TRACKED_US, int(value * 1e6)))
        count += 1
    if not count:
        return {}
    return {
        f"p{rank}": histogram.get_value_at_percentile(rank) / 1000
        for rank in (50, 95, 99)
    }
