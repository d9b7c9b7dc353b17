"""Interfaces to a platform in primroselever's types, implemented by adapters."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from primroselever_core.catalogue.store_position import StorePosition
from primroselever_core.exceptions import PrimroseleverError
from primroselever_core.filling.loads import Load

if TYPE_CHECKING:
    from primroselever_core.catalogue.events import CatalogueEvent
    from primroselever_core.catalogue.model import Address, Configuration
    from primroselever_core.filling.loads import LayerRange, LoadOrder, OrderAnswer
    from primroselever_core.filling.pieces import PieceDigests


class SourceError(PrimroseleverError):
    """The platform or an entry gave no usable answer, or no origin is configured."""


class DocumentError(PrimroseleverError):
    """A document of the platform cannot be used; the message names the field."""


class HistoryLostError(SourceError):
    """
    The requested changes are no longer kept, so a full read is required.

    ``era`` is the era of the store that answered, 0 if it named none.
    """

    def __init__(self, message: str, era: int = 0) -> None:
        super().__init__(message)
        self.era = era


class StoreRestoredError(SourceError):
    """The store was restored while its answers were read, so they do not fit."""

    def __init__(self, message: str, era: int) -> None:
        super().__init__(message)
        self.era = era


class ChangesTooLargeError(SourceError):
    """The store's answer is too large; a full read brings each item only once."""


class CataloguePart(StrEnum):
    """
    The two parts of the catalogue, which are followed independently.

    ``OPERATOR`` is the configuration and the published versions of weights, and
    ``SERVERS`` the back ends.
    """

    OPERATOR = "operator"
    SERVERS = "servers"


@dataclass(frozen=True, slots=True)
class CatalogueChanges:
    """
    Events up to and including a revision of the source.

    ``era`` is 0 if the source named none, or none that can be used. ``asked_at`` is the
    time before the first request was sent, None if it is not known. The events include
    everything that was published until then.
    """

    revision: int
    events: list[CatalogueEvent]
    era: int = 0
    asked_at: float | None = None

    @property
    def position(self) -> StorePosition:
        """Return the position up to which the events are included."""
        return StorePosition(self.era, self.revision)


class ConfigurationReader(Protocol):
    """The reader of the platform's configurations that its processes use."""

    def __call__(self, data: bytes) -> Configuration:
        """Return the configuration in a document, or raise ``DocumentError``."""


class CatalogueSource(Protocol):
    """Read access to the platform's store."""

    def read(self, part: CataloguePart) -> CatalogueChanges:
        """
        Return the current contents of a part, or raise ``SourceError``.

        Raise ``StoreRestoredError`` if the store was restored between two pages.
        """

    def watch(self, part: CataloguePart, after: int, wait_s: float) -> CatalogueChanges:
        """
        Return the changes after a revision, waiting for one up to ``wait_s`` seconds.

        Raise ``HistoryLostError`` if these changes are no longer kept, and
        ``SourceError`` on any other failure.
        """


class PieceSource(Protocol):
    """The origin of weights, which sends manifests and pieces."""

    def read_manifest(self, origin: Address, model: str, version: int) -> PieceDigests:
        """Return the manifest of a version, or raise ``SourceError``."""

    def read_piece(
        self, origin: Address, model: str, version: int, index: int
    ) -> bytes:
        """Return the unverified bytes of a piece, or raise ``SourceError``."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """
    The state that an engine reports.

    ``version`` is the version of the completely loaded weights, or 0 if there are none.
    ``loading`` is true while an order to load weights is in progress. ``sequence``
    counts the orders that started an operation since the engine's own start at
    ``born_ms``. ``pace`` is the factor by which the engine is slower than published.
    ``memory_used`` and ``memory_total`` are in tokens, None if not reported. ``layers``
    are the layers that it holds of ``layers_version``, None if not reported; with only
    some of a model's layers, it refuses requests.
    """

    born_ms: int
    model: str
    version: int
    loading: bool
    sequence: int
    running: int
    waiting: int
    pace: float
    memory_used: int | None = None
    memory_total: int | None = None
    layers: LayerRange | None = None
    layers_version: int = 0

    @property
    def load(self) -> Load:
        """Return which load the engine holds or is carrying out."""
        return Load(self.born_ms, self.sequence)


class ModelServer(Protocol):
    """The engine that an agent manages; all calls raise ``SourceError`` on failure."""

    def read_state(self) -> EngineState:
        """Return the state that the engine reports."""

    def list_staged(self, model: str) -> set[int]:
        """Return the indexes of the pieces in the staging area."""

    def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a piece from the staging area, or None if it is missing."""

    def stage_piece(self, model: str, index: int, data: bytes) -> None:
        """Put a piece into the staging area."""

    def order_load(self, order: LoadOrder) -> OrderAnswer:
        """
        Order the engine to load the staged pieces, once.

        After a ``SourceError`` the engine may have accepted the order, or accept it
        later.
        """
