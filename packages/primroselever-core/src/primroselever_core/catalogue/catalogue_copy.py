"""The copy of a catalogue that one process sends to another."""

from __future__ import annotations

from dataclasses import dataclass, field

# pydantic reads the annotations at run time when it validates a received copy.
from .model import Configuration, ListedServer  # noqa: TC001


@dataclass(frozen=True, slots=True)
class CatalogueCopy:
    """
    The content of a catalogue, with the revision of its list of back ends.

    ``lapsed`` maps those of ``servers`` whose entries were missing after an outage of
    the store to the revision at which they were found missing.
    """

    store_revision: int
    configuration: Configuration | None
    weights: dict[str, int]
    servers: dict[str, ListedServer]
    lapsed: dict[str, int] = field(default_factory=dict)
