"""When an entry first learned of a configuration that it does not have yet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Freshness:
    """
    How long the news of a later configuration has been known.

    ``named_revision`` is the latest revision that a peer named, and ``named_at`` when a
    peer first named one that was not in force, None if there is none.

        >>> freshness = Freshness()
        >>> freshness.record_named(8, 7, 10.0)
        >>> freshness.record_in_force(8, 10.25)
        0.25
    """

    named_revision: int = 0
    named_at: float | None = None

    def record_named(self, revision: int, in_force: int, now: float) -> None:
        """Record the revision that a peer has in force."""
        if revision <= max(in_force, self.named_revision):
            return
        self.named_revision = revision
        if self.named_at is None:
            self.named_at = now

    def record_in_force(self, revision: int, now: float) -> float | None:
        """
        Record the revision that is now in force here.

        Return the seconds since a peer first named a later one than the one before,
        None if none did. If a still later one was named, it counts from now on.
        """
        if self.named_at is None:
            return None
        named_s = now - self.named_at
        self.named_at = now if revision < self.named_revision else None
        return named_s
