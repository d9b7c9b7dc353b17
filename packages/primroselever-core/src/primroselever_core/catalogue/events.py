"""Events from the sources of the catalogue, each applied to it on its own."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from .catalogue import Catalogue
from .store_position import StorePosition

if TYPE_CHECKING:
    from .model import Configuration, ListedServer


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """Publication of a configuration by an operator."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class WeightsPublished:
    """Publication of a version of a model's weights by an operator."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ServerListed:
    """Registration of a back end, or a change of its entry."""

    server: ListedServer


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """Removal of a back end's entry, or its change to one that cannot be used."""

    server_id: str
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the store's position of the removal."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class EvacuationStarted:
    """An operator's item that evacuates a failure domain."""

    failure_domain: str
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the store's position of the item."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class EvacuationEnded:
    """Removal of the item that evacuated a failure domain."""

    failure_domain: str
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the store's position of the removal."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class EvacuationUnreadable:
    """An item of an evacuation that cannot be read, which changes nothing in force."""

    failure_domain: str
    revision: int = 0
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position of the item in the store."""
        return StorePosition(self.era, self.revision)


CatalogueEvent = (
    ConfigurationPublished
    | WeightsPublished
    | ServerListed
    | ServerRemoved
    | EvacuationStarted
    | EvacuationEnded
    | EvacuationUnreadable
)


@singledispatch
def apply(event: object, catalogue: Catalogue, now: float) -> bool:
    """Apply an event; return whether it changed anything."""
    raise TypeError(f"cannot apply {event!r}: expected a catalogue event")


@apply.register
def _(event: ConfigurationPublished, catalogue: Catalogue, now: float) -> bool:
    return catalogue.configure(event.configuration, now)


@apply.register
def _(event: WeightsPublished, catalogue: Catalogue, now: float) -> bool:
    return catalogue.publish_weights(event.model, event.version, now)


@apply.register
def _(event: ServerListed, catalogue: Catalogue, now: float) -> bool:
    return catalogue.list_server(event.server)


@apply.register
def _(event: ServerRemoved, catalogue: Catalogue, now: float) -> bool:
    return catalogue.process_missing_entry(event.server_id, event.position, now)


@apply.register
def _(event: EvacuationStarted, catalogue: Catalogue, now: float) -> bool:
    return catalogue.evacuations.write(event.failure_domain, event.position, now)


@apply.register
def _(event: EvacuationEnded, catalogue: Catalogue, now: float) -> bool:
    return catalogue.evacuations.remove(event.failure_domain, event.position)


@apply.register
def _(event: EvacuationUnreadable, catalogue: Catalogue, now: float) -> bool:
    return catalogue.evacuations.record_unreadable(event.failure_domain, event.position)
