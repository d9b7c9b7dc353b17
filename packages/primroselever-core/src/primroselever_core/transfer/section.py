"""The transfers section of an agent's blackboard."""

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
    The weights that are wanted, held and served; written by the transfer controller.

    ``wanted`` is the manifest that the current profile requires. ``serving`` is the
    digest that the engine last reported to hold, or None. ``planner`` plans the
    transfer of the wanted version. ``problem`` describes for operators why a rollout
    does not continue. ``unknown_digest_requested`` is set when a peer has requested
    weights with a digest that is unknown here: the content of the wanted version may
    have changed.
    """

    store: ChunkStore
    wanted: Manifest | None = None
    serving: WeightsDigest | None = None
    manifests: dict[WeightsDigest, Manifest] = field(default_factory=dict)
    planner: TransferPlanner | None = None
    progress: Progress = field(default_factory=Progress)
    problem: str = ""
    unknown_digest_requested: bool = False

    @property
    def bytes_by_source(self) -> dict[str, int]:
        """Return the number of verified bytes received from each source."""
        return self.progress.bytes_by_source
