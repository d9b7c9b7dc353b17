"""A catalogue as one process hands it to another."""

from __future__ import annotations

from dataclasses import dataclass, field

# pydantic reads the annotations at run time when a copy is checked at the border.
from .model import Configuration, ListedServer  # noqa: TC001


@dataclass(frozen=True, slots=True)
class CatalogueCopy:
    """
    All that a process knows, with the revision of its list of back ends.

    ``lapsed`` names those of ``servers`` whose entries were missed after an outage of
    the store, with the revision of the word that said so.
    """

    store_revision: int
    configuration: Configuration | None
    weights: dict[str, int]
    servers: dict[str, ListedServer]
    lapsed: dict[str, int] = field(default_factory=dict)
