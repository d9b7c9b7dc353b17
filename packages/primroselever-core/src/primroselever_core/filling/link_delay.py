"""
How long bytes wait in the link of a VM, and how much an agent may request meanwhile.

Requests to the engine share the link with the pieces that the agent fetches. A link
that becomes narrow keeps what it cannot carry waiting, and requests behind it arrive
seconds late, when their callers have left or the weights of the engine have lapsed. The
agent requests less as soon as its slices take longer than the fastest recent ones. A
narrow link stays in use all the same, since one slice of 8 KiB needs 70 ms at 1 Mbit/s.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from math import inf

# Above it fewer slices are requested. On a link of 3.7 Mbit/s it allows three slices of
# 16 KiB or five of 8 KiB; if that becomes narrow, 0.95 Mbit/s, these delay requests by
# 0.4 s. Six slices of 16 KiB delayed them by 0.8 s, which filled the link.
TARGET_DELAY_S = 0.08
DECREASE_FACTOR = 0.5
MAX_SLICES = 8.0  # more than any pace requests at once
# Until the first slices have arrived, and again when none did for IDLE_S.
FIRST_SLICES = 2
IDLE_S = 1.0
# The fastest slice is that of the last one to two windows. A link that stays narrow for
# minutes counts as usual.
WINDOW_S = 60.0
# The next slice comes later by the delay. In a congested link, where one is requested
# at a time, one of another entry may be some seconds old.
SAMPLE_VALID_S = 1.0
OTHER_VALID_S = 4.0
MAX_SENDERS = 16


@dataclass(slots=True)
class LinkDelay:
    """
    The delay of a VM's link, and how many slices may be requested at once.

    Only slices of pieces that the entry holds already are recorded, as the others also
    wait for the origin. ``fastest_s`` is the time in seconds of the fastest slice of
    the present window, which began at ``window_at``, and ``previous_s`` that of the
    window before. ``reduced_at`` is when ``slices`` was last reduced, and ``known_at``
    when a slice last arrived. ``samples`` has, by sender, the time and the delay of its
    latest slice, oldest first.

        >>> delay = LinkDelay()
        >>> delay.record(0.03, "e1", now=10.0)
        >>> delay.record(0.78, "e2", now=11.0)
        >>> delay.record(0.83, "e1", now=11.0)
        >>> round(delay.delay_s(now=11.0), 2), delay.slices
        (0.75, 2.0)
    """

    window_at: float = -inf
    fastest_s: float = inf
    previous_s: float = inf
    reduced_at: float = -inf
    slices: float = FIRST_SLICES
    known_at: float = -inf
    samples: dict[str, tuple[float, float]] = field(default_factory=dict)

    def record(self, took_s: float, sender: str, now: float) -> None:
        """Record that a slice arrived ``took_s`` seconds after it was requested."""
        if now - self.window_at >= WINDOW_S:
            is_next = now - self.window_at < 2 * WINDOW_S
            self.previous_s = self.fastest_s if is_next else inf
            self.window_at, self.fastest_s = now, inf
        self.fastest_s = min(self.fastest_s, took_s)
        delay_s = took_s - min(self.fastest_s, self.previous_s)
        self.samples.pop(sender, None)
        self.samples[sender] = now, delay_s
        if len(self.samples) > MAX_SENDERS:
            del self.samples[next(iter(self.samples))]
        if now - self.known_at > IDLE_S:
            self.slices = min(self.slices, float(FIRST_SLICES))
        self.known_at = now
        if self.delay_s(now) <= TARGET_DELAY_S:
            gain = 1.0 if self.reduced_at == -inf else 1.0 / self.slices
            self.slices = min(MAX_SLICES, self.slices + gain)
        elif now - took_s >= self.reduced_at:
            # Slices requested before the last reduction do not show its effect.
            self.slices = max(1.0, self.slices * DECREASE_FACTOR)
            self.reduced_at = now

    def delay_s(self, now: float) -> float:
        """
        Return how long what is sent to the VM now is expected to wait in its link.

        A sender that is late delays only what it sends itself, while the link delays
        all. So the least delay of the two senders counts that were heard from last.
        """
        latest = list(islice(reversed(self.samples.values()), 2))
        if len(latest) < 2:
            return 0.0
        (latest_at, latest_s), (other_at, other_s) = latest
        if (
            now - latest_at > SAMPLE_VALID_S + latest_s
            or now - other_at > OTHER_VALID_S
        ):
            return 0.0
        return min(latest_s, other_s)

    def max_slices(self, now: float) -> int:
        """Return how many slices may be requested at once, few after a time without."""
        if now - self.known_at > IDLE_S:
            return min(int(self.slices), FIRST_SLICES)
        return int(self.slices)
