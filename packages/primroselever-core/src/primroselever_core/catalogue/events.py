"""What a source of the catalogue reports, applied to the catalogue one by one."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from .catalogue import Catalogue

if TYPE_CHECKING:
    from .model import Configuration, ListedServer


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """An operator published a configuration."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class WeightsNamed:
    """An operator named a version of a model's weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ServerListed:
    """A back end registered itself, or changed its entry."""

    server: ListedServer


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """The entry of a back end vanished, or names no server that can be used."""

    server_id: str
    revision: int


CatalogueEvent = ConfigurationPublished | WeightsNamed | ServerListed | ServerRemoved


@singledispatch
def apply(event: object, catalogue: Catalogue, now: float) -> bool:
    """Apply an event; return whether it changed anything."""
    raise TypeError(f"no catalogue event: {event!r}")


@apply.register
def _(event: ConfigurationPublished, catalogue: Catalogue, now: float) -> bool:
    return catalogue.configure(event.configuration, now)


@apply.register
def _(event: WeightsNamed, catalogue: Catalogue, now: float) -> bool:
    return catalogue.name_weights(event.model, event.version, now)


@apply.register
def _(event: ServerListed, catalogue: Catalogue, now: float) -> bool:
    return catalogue.list_server(event.server)


@apply.register
def _(event: ServerRemoved, catalogue: Catalogue, now: float) -> bool:
    return catalogue.remove_server(event.server_id, event.revision, now)
