"""The state of one missing chunk in a transfer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import VmId
    from .sources import Read


@dataclass(slots=True)
class ChunkState:
    """
    A chunk that is not held yet, and the attempts to read it.

    ``passed_owners`` are the owners that were passed over. ``holder`` is the VM that
    an owner named as a source. If ``acting_as_owner`` is set, this VM reads the chunk
    as an owner does, and ``tried_sources`` are the names of the sources that it has
    tried. An owner that is still pending at ``pass_over_at`` is passed over.
    ``hops`` is how often the read was redirected to another holder. ``owner_rounds``
    counts how often all owners were passed over. After rounds 1, 3, 5 and so on, VMs
    of the domain are asked regardless of ownership: ``peers_left_to_ask`` is how many
    requests remain in this round, ``peers_asked`` how many were made in all rounds.
    """

    index: int
    not_before: float = 0.0
    active_read: Read | None = None
    acting_as_owner: bool = False
    passed_owners: set[VmId] = field(default_factory=set)
    holder: VmId | None = None
    hops: int = 0
    tried_sources: set[str] = field(default_factory=set)
    pass_over_at: float | None = None
    owner_rounds: int = 0
    peers_left_to_ask: int = 0
    peers_asked: int = 0

    def clear_holder(self) -> None:
        """Forget the holder, so that the owner is asked again."""
        self.holder = None
        self.hops = 0
