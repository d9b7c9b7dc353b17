"""
Whom a starting process believes.

The configuration service may be stale, so its answer is not taken before peers
were asked: they hold the highest revision that was ever in force.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..identifiers import VmId

PEERS_TO_HEAR = 2
PEERS_TO_ASK = 6
ASK_PEERS_S = 2.0


@dataclass(slots=True)
class StartInquiry:
    """
    The inquiry of one start; ``deadline`` is when it ends without answers.

    Without it a first start of a whole fleet, or of a process that is alone, would
    wait for ever.
    """

    deadline: float
    asked: set[VmId] = field(default_factory=set)
    heard: set[VmId] = field(default_factory=set)

    @classmethod
    def begin(cls, now: float) -> StartInquiry:
        """Return the inquiry of a process that starts now."""
        return cls(now + ASK_PEERS_S)

    def next_peers(self, candidates: Sequence[VmId]) -> list[VmId]:
        """Return whom to ask next, a few at a time."""
        left = PEERS_TO_ASK - len(self.asked)
        fresh = [vm_id for vm_id in candidates if vm_id not in self.asked]
        return fresh[: min(left, PEERS_TO_HEAR)]

    def over(self, candidates: Sequence[VmId], now: float) -> bool:
        """Return whether the service may be believed now."""
        if now >= self.deadline or len(self.heard) >= PEERS_TO_HEAR:
            return True
        return bool(candidates) and not self.next_peers(candidates)
