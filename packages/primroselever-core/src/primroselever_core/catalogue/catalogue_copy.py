"""The copy of a catalogue that one process sends to another."""

from __future__ import annotations

from dataclasses import dataclass, field

# pydantic reads the annotations at run time when it validates a received copy.
from .evacuations import EvacuationsCopy
from .model import Configuration, ListedServer  # noqa: TC001
from .store_position import StorePosition


@dataclass(frozen=True, slots=True)
class CatalogueCopy:
    """
    The content of a catalogue, with the store's position of its list of back ends.

    ``lapsed`` maps those of ``servers`` whose entries were missing after an outage of
    the store to the revision in the same era at which they were found missing.
    ``withheld`` holds entries of a restored store that the sender does not use yet.
    ``evacuations`` is empty in copies of earlier releases, at the start position.
    """

    store_revision: int
    configuration: Configuration | None
    weights: dict[str, int]
    servers: dict[str, ListedServer]
    lapsed: dict[str, int] = field(default_factory=dict)
    store_era: int = 0
    withheld: dict[str, ListedServer] = field(default_factory=dict)
    evacuations: EvacuationsCopy = field(default_factory=EvacuationsCopy)

    @property
    def store_position(self) -> StorePosition:
        """Return the store's position of the list of back ends."""
        return StorePosition(self.store_era, self.store_revision)
