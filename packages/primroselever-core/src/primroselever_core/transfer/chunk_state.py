"""Where one missing chunk stands in a transfer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import VmId
    from .sources import Read


@dataclass(slots=True)
class ChunkState:
    """
    One missing chunk.

    ``passed`` are owners that were passed over, ``holder`` is a VM to which an
    owner sent this one, ``stepping`` says that this VM acts as the owner, ``tried``
    names the sources that it tried as such, and ``patient_until`` is when a
    pending owner is passed over. ``rounds`` counts how often all were;
    then ``others_left`` more VMs are asked, ``others_asked`` so far.
    """

    index: int
    not_before: float = 0.0
    active: Read | None = None
    stepping: bool = False
    passed: set[VmId] = field(default_factory=set)
    holder: VmId | None = None
    hops: int = 0
    tried: set[str] = field(default_factory=set)
    patient_until: float | None = None
    rounds: int = 0
    others_left: int = 0
    others_asked: int = 0

    def back_to_owner(self) -> None:
        """Ask the owner again after a holder did not give the chunk."""
        self.holder = None
        self.hops = 0
