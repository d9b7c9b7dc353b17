"""
Inquiry of a starting process among its peers before it uses the service.

The configuration service may be stale, so its answer is not used until peers have been
asked: they hold the highest revision that was ever in force.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..identifiers import VmId

REQUIRED_ANSWERS = 2
MAX_PEERS_ASKED = 6
INQUIRY_TIMEOUT_S = 2.0


@dataclass(slots=True)
class StartInquiry:
    """
    The inquiry of one process start; it ends at ``deadline`` even without answers.

    Without the deadline, the first start of a whole fleet, or of a process without
    peers, would wait forever.
    """

    deadline: float
    asked: set[VmId] = field(default_factory=set)
    answered: set[VmId] = field(default_factory=set)

    @classmethod
    def begin(cls, now: float) -> StartInquiry:
        """Return the inquiry of a process that starts at ``now``."""
        return cls(now + INQUIRY_TIMEOUT_S)

    def next_peers(self, candidates: Sequence[VmId]) -> list[VmId]:
        """Return the peers to ask next, at most ``REQUIRED_ANSWERS`` at a time."""
        remaining = MAX_PEERS_ASKED - len(self.asked)
        not_asked = [vm_id for vm_id in candidates if vm_id not in self.asked]
        return not_asked[: min(remaining, REQUIRED_ANSWERS)]

    def is_over(self, candidates: Sequence[VmId], now: float) -> bool:
        """Return whether the inquiry is over and the service's answer may be used."""
        if now >= self.deadline or len(self.answered) >= REQUIRED_ANSWERS:
            return True
        return bool(candidates) and not self.next_peers(candidates)
