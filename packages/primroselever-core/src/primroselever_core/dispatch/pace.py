"""
The measured pace of a back end at this entry, and how it corrects predicted waits.

For an engine, a sample is the time until its first event as a multiple of the time
predicted from the published figures. For a server of a plain service it is the duration
of a request in seconds. A request that is not answered yet counts as soon as it has
waited longer than usual, so a server that answers nothing looks slow, not idle. Failed
requests are no samples: a server that fails at once does not look fast.

The pace is a median of recent samples. Without enough of them it is unknown, and the
prediction stays as published.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SAMPLES = 8  # of the latest requests; more would hide a change of pace
MIN_SAMPLES = 2  # a single late event is a prediction error
# After this, a server that got less work is tried again. A server that is still slow
# shows it again with ``MIN_SAMPLES`` requests.
SAMPLE_VALID_S = 3.0
# Of the usual pace. Smaller differences are errors of the prediction and of chance; the
# passes of an engine alone make a third.
MIN_SLOWNESS = 1.6
MAX_SLOWNESS = 10.0  # keeps predictions finite for a server that answers nothing
MIN_EXPECTED_S = 0.01  # shorter predictions would make any wait look slow
# Peers' requests that are remembered for one server; more are over any server's slots.
MAX_OTHERS = 256
ASSUMED_DURATION_S = 0.1  # of a request to a server that was not measured yet


@dataclass(frozen=True, slots=True)
class Unanswered:
    """
    A request without an answer: when it was sent, and its expected seconds.

    ``unit_s`` is the unit of its sample in seconds.
    """

    sent_at: float
    expected_s: float
    unit_s: float


@dataclass(slots=True)
class Pace:
    """
    Recent samples of one back end, and its requests that are not answered yet.

    ``samples`` holds the time of each sample and its value, ``unanswered`` for each
    request by its number what is known of it. ``others_until`` holds when requests that
    peers sent are expected to end.

        >>> pace = Pace()
        >>> for _ in range(3):
        ...     number = pace.record_sent(0.1, now=1.0)
        ...     pace.record_answered(number, now=1.25)
        >>> pace.value(now=1.3)
        2.5
        >>> pace.value(now=9.0) is None
        True
    """

    samples: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    unanswered: dict[int, Unanswered] = field(default_factory=dict)
    others_until: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_OTHERS))
    next_number: int = 0

    def record_sent(
        self, expected_s: float, now: float, unit_s: float | None = None
    ) -> int:
        """
        Count a request that is sent; return its number for the other methods.

        ``expected_s`` is the time that it is expected to take, 0 if unknown, and
        ``unit_s`` the unit of its sample in seconds, by default the expected time.
        """
        expected_s = max(MIN_EXPECTED_S, expected_s or ASSUMED_DURATION_S)
        self.next_number += 1
        self.unanswered[self.next_number] = Unanswered(
            now, expected_s, unit_s or expected_s
        )
        return self.next_number

    def record_answered(self, number: int, now: float) -> None:
        """Add the sample of a request whose answer, or first event, has arrived."""
        sent = self.unanswered.pop(number, None)
        if sent is not None:
            self.samples.append((now, (now - sent.sent_at) / sent.unit_s))

    def record_unanswered(self, number: int, now: float) -> None:
        """
        End a request without an answer, whatever the cause.

        If it waited longer than others take, its wait is a sample: the answer would
        have come even later. A request that failed or was given up early is none.
        """
        sent = self.unanswered.pop(number, None)
        if sent is not None:
            self.samples.extend((now, value) for value in self.overdue([sent], now))

    def drop(self, number: int) -> None:
        """Drop a request whose wait says nothing about the pace."""
        self.unanswered.pop(number, None)

    def record_sent_by_other(self, duration_s: float, now: float) -> None:
        """
        Count a request that another entry sent to a server of a plain service.

        ``duration_s`` is the expected duration, 0 if nothing is known of it.
        """
        self.others_until.append(now + (duration_s or ASSUMED_DURATION_S))

    def sent_by_others(self, now: float) -> int:
        """Return how many requests of other entries probably still run."""
        while self.others_until and self.others_until[0] <= now:
            self.others_until.popleft()
        return sum(until > now for until in self.others_until)

    def recent(self, now: float) -> list[float]:
        """Return the samples that are still valid."""
        return [value for at, value in self.samples if now - at <= SAMPLE_VALID_S]

    def overdue(self, requests: Iterable[Unanswered], now: float) -> list[float]:
        """Return the values of unanswered requests that have waited too long."""
        floor = lower_median(self.recent(now) or [0.0])
        return [
            value
            for each in requests
            if now - each.sent_at > each.expected_s
            and (value := (now - each.sent_at) / each.unit_s) >= floor
        ]

    def value(self, now: float) -> float | None:
        """
        Return the median of the recent samples, None if there are too few.

        An unanswered request counts with the time for which it has waited if that is
        above the median of the answered ones: its sample will be at least that.
        """
        values = self.recent(now) + self.overdue(self.unanswered.values(), now)
        return lower_median(values) if len(values) >= MIN_SAMPLES else None

    def age_s(self, now: float) -> float | None:
        """Return the age of the latest sample in seconds, None without one."""
        return now - self.samples[-1][0] if self.samples else None


def lower_median(values: list[float]) -> float:
    """
    Return the median, of an even number of values the lower of the two middle ones.

    Of two values it is the smaller one, so a single outlier never counts.
    """
    return sorted(values)[(len(values) - 1) // 2]


def slowness(value: float | None, usual: float, published: float = 1.0) -> float:
    """
    Return the factor by which a predicted wait is too short, 1 if it is not.

    ``usual`` is the value that a back end of the service usually has. What makes all of
    them slow is no reason to prefer or to refuse one. ``published`` is the factor that
    the prediction contains already.

        >>> slowness(2.5, usual=1.0), slowness(2.5, usual=2.4), slowness(None, 1.0)
        (2.5, 1.0, 1.0)
    """
    if value is None:
        return 1.0
    factor = min(MAX_SLOWNESS, value / max(1.0, usual)) / max(1.0, published)
    return factor if factor >= MIN_SLOWNESS else 1.0


def plain_duration_s(
    value_s: float | None, mean_duration_s: float, usual_s: float
) -> float:
    """
    Return the expected seconds of a request at a server of a plain service.

    ``value_s`` is the measured pace, ``usual_s`` the usual mean of the service's
    servers; it and ``mean_duration_s`` are 0 if unknown. Recent samples replace the
    mean only if they differ clearly. A server without recent samples is expected to be
    no slower than usual, so that it is tried again. A server that was never measured is
    expected to be like the others: 0 s would send it all requests.
    """
    if value_s is None:
        return min(mean_duration_s or usual_s, usual_s or mean_duration_s)
    if mean_duration_s / MIN_SLOWNESS < value_s < mean_duration_s * MIN_SLOWNESS:
        return mean_duration_s
    return value_s
