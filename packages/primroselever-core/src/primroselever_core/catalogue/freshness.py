"""What an entry knows of configurations that it may not have yet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Freshness:
    """
    Since when a later configuration is known, and when there was none for certain.

    ``own_answer_at`` is when this process last read an answer of the store on the
    operator's part, and ``answer_at`` when this process or a peer did. These times may
    be later than the time of which the answers tell.

    ``proof_at`` is a lower bound: what was published until then is in force here, by an
    answer of the store to this process or to a peer, and ``own_proof_at`` is that of
    the answers to this process.

    ``named_revision`` is the latest revision that a peer named, and ``named_at`` when a
    peer first named one that was not in force, None if there is none.

        >>> freshness = Freshness()
        >>> freshness.record_named(8, 7, 10.0)
        >>> freshness.record_in_force(8, 10.25)
        0.25
    """

    own_answer_at: float | None = None
    answer_at: float | None = None
    own_proof_at: float | None = None
    proof_at: float | None = None
    named_revision: int = 0
    named_at: float | None = None

    def record_own_answer(self, now: float) -> None:
        """Record that the store answered this process on the operator's part."""
        self.own_answer_at = now
        self.record_answer(now)

    def record_answer(self, at: float) -> None:
        """Record a time at which this process or a peer read an answer."""
        if self.answer_at is None or at > self.answer_at:
            self.answer_at = at

    def record_own_proof(self, at: float) -> None:
        """Record a time until which the store's answers to this process tell all."""
        if self.own_proof_at is None or at > self.own_proof_at:
            self.own_proof_at = at
        self.record_proof(at)

    def record_proof(self, at: float) -> None:
        """Record a time at which nothing later was published for certain."""
        if self.proof_at is None or at > self.proof_at:
            self.proof_at = at

    def forget_proofs(self) -> None:
        """
        Forget the last proof, as this process's clock may have stood still since.

        ``own_proof_at`` stays, since peers add the time for which it stood still.
        """
        self.proof_at = None

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
