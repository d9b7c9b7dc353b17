"""
When the first events of an engine's requests are due, and how late they come.

Reports of an engine do not show a delay whose cause is the link of its VM. A request
that is sent now waits behind those that wait already.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# A link that is given twice what it carries delays a request that is sent now twice as
# long as the oldest one has waited so far.
GROWTH_FACTOR = 2.0
DELAY_HALF_LIFE_S = 4.0  # without further first events
# One that is due for longer says nothing of the link: its request hangs in the engine.
MAX_OVERDUE_S = 3.0


@dataclass(slots=True)
class FirstEvents:
    """
    The first events that one entry waits for from one engine.

    ``due_at`` holds, by the number of a request, when its first event is predicted.
    ``late_by_s`` is by how much the latest one missed that, as known at ``known_at``.
    ``answered_number`` is that of the latest request whose first event arrived.

        >>> events = FirstEvents()
        >>> number = events.record_sent(due_at=1.2)
        >>> events.delay_s(now=1.0), round(events.delay_s(now=2.0), 3)
        (0.0, 1.6)
        >>> events.record_arrived(number, now=2.2)
        >>> round(events.delay_s(now=2.2), 3), round(events.delay_s(now=6.2), 3)
        (1.0, 0.5)
    """

    due_at: dict[int, float] = field(default_factory=dict)
    next_number: int = 0
    late_by_s: float = 0.0
    known_at: float = 0.0
    answered_number: int = 0

    def record_sent(self, due_at: float) -> int:
        """Add a request that is sent now; return its number for the other methods."""
        self.next_number += 1
        self.due_at[self.next_number] = due_at
        return self.next_number

    def record_arrived(self, number: int, now: float) -> None:
        """Record the first event of a request."""
        due_at = self.due_at.pop(number, None)
        if due_at is not None:
            self.late_by_s, self.known_at = max(0.0, now - due_at), now
            self.answered_number = max(self.answered_number, number)

    def record_ended(self, number: int, now: float) -> None:
        """End a request without a first event; one that is not due shows nothing."""
        due_at = self.due_at.pop(number, now)
        if now > due_at:
            self.late_by_s, self.known_at = now - due_at, now

    def overdue_s(self, now: float) -> float:
        """
        Return how much later than predicted an event may come, by those still awaited.

        A link transfers requests in order. A request after which another one was
        answered has arrived, and waits in the engine.
        """
        oldest_due_at = min(
            (
                due_at
                for number, due_at in self.due_at.items()
                if number > self.answered_number and due_at > now - MAX_OVERDUE_S
            ),
            default=now,
        )
        return max(0.0, GROWTH_FACTOR * (now - oldest_due_at))

    def delay_s(self, now: float) -> float:
        """Return how much later than predicted an event may come if sent for now."""
        age_s = now - self.known_at
        late_by_s = self.late_by_s * float(0.5 ** (age_s / DELAY_HALF_LIFE_S))
        oldest_due_at = min(self.due_at.values(), default=now)
        return max(late_by_s, GROWTH_FACTOR * (now - oldest_due_at), 0.0)
