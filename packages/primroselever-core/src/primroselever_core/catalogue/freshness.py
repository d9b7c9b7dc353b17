"""What an entry knows of configurations that it may not have yet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Freshness:
    """
    Since when a later configuration is known, and when there was none for certain.

    ``own_answer_at`` is when the store last answered this process on the operator's
    part. ``proof_at`` is when this process or a peer last learned from the store that
    nothing later is published than what is in force here, and ``previous_proof_at`` the
    proof before that one. ``named_revision`` is the latest revision that a peer named,
    and ``named_at`` when a peer first named one that was not in force, None if there is
    none.

        >>> freshness = Freshness()
        >>> freshness.record_named(8, 7, 10.0)
        >>> freshness.record_in_force(8, 10.25)
        0.25
    """

    own_answer_at: float | None = None
    proof_at: float | None = None
    previous_proof_at: float | None = None
    named_revision: int = 0
    named_at: float | None = None

    def record_own_answer(self, now: float) -> None:
        """Record that the store answered this process on the operator's part."""
        self.own_answer_at = now
        self.record_proof(now)

    def record_proof(self, at: float) -> None:
        """Record a time at which nothing later was published."""
        if self.proof_at is None or at > self.proof_at:
            self.previous_proof_at, self.proof_at = self.proof_at, at

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
