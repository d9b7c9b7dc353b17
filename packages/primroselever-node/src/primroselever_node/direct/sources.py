"""What a platform has to offer, in the product's types; adapters implement it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from primroselever_core.exceptions import PrimroseleverError

if TYPE_CHECKING:
    from primroselever_core.catalogue.events import CatalogueEvent
    from primroselever_core.catalogue.model import Address
    from primroselever_core.filling.pieces import PieceDigests


class SourceError(PrimroseleverError):
    """The platform did not answer, or not usefully; nothing is known."""


class HistoryLostError(SourceError):
    """The changes that were asked for are no longer kept: read everything anew."""


class CataloguePart(StrEnum):
    """The two parts of the catalogue that are followed each by itself."""

    OPERATOR = "operator"
    SERVERS = "servers"


@dataclass(frozen=True, slots=True)
class CatalogueChanges:
    """Events up to a revision of the source."""

    revision: int
    events: list[CatalogueEvent]


class CatalogueSource(Protocol):
    """The platform's store, read only."""

    def read(self, part: CataloguePart) -> CatalogueChanges:
        """Return all that a part holds now, or raise ``SourceError``."""

    def watch(self, part: CataloguePart, after: int, wait_s: float) -> CatalogueChanges:
        """
        Return what changed after a revision, waiting for it up to ``wait_s``.

        Raise ``HistoryLostError`` when that history is gone, else ``SourceError``.
        """


class WeightSource(Protocol):
    """The origin of weights."""

    def digests(self, origin: Address, model: str, version: int) -> PieceDigests:
        """Return the digests of a version's pieces, or raise ``SourceError``."""

    def piece(self, origin: Address, model: str, version: int, index: int) -> bytes:
        """Return the bytes of a piece as they came, or raise ``SourceError``."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """
    What an engine says of itself.

    ``version`` is that of the weights that are loaded as a whole, 0 without.
    ``loading`` says that an order is in progress. ``sequence`` counts the orders
    that began something since the engine's start at ``born_ms``.
    """

    born_ms: int
    model: str
    version: int
    loading: bool
    sequence: int
    running: int
    waiting: int
    pace: float


class ModelServer(Protocol):
    """The engine beside an agent; all calls raise ``SourceError`` when they fail."""

    def state(self) -> EngineState:
        """Return what the engine says of itself."""

    def staged(self, model: str) -> set[int]:
        """Return the numbers of the pieces in the staging area."""

    def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a piece of the staging area, None when it is not there."""

    def stage(self, model: str, index: int, data: bytes) -> None:
        """Put a piece into the staging area."""

    def load(self, model: str, version: int, sequence: int) -> bool:
        """Order the engine to load what is staged; return whether it began."""
