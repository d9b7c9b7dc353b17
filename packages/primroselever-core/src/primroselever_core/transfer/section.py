"""The blackboard's section on transfers, as an agent sees them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .progress import Progress

if TYPE_CHECKING:
    from ..identifiers import WeightsDigest
    from .chunk_store import ChunkStore
    from .manifest import Manifest
    from .planner import TransferPlanner


@dataclass(slots=True)
class TransfersSection:
    """
    What is wanted, held and served; written by the transfer controller.

    ``wanted`` is the manifest that the profile in force asks for, ``serving``
    the digest that the engine was last read back to hold, or None. ``planner``
    plans the transfer of the wanted version, and ``problem`` says what keeps a
    rollout from going on, for operators. ``other_asked`` says that a peer is after
    a content that is not known here, so that this one may have changed.
    """

    store: ChunkStore
    wanted: Manifest | None = None
    serving: WeightsDigest | None = None
    manifests: dict[WeightsDigest, Manifest] = field(default_factory=dict)
    planner: TransferPlanner | None = None
    progress: Progress = field(default_factory=Progress)
    problem: str = ""
    other_asked: bool = False

    @property
    def bytes_by_source(self) -> dict[str, int]:
        """Return how many verified bytes came from where."""
        return self.progress.bytes_by_source
