"""A catalogue as one process hands it to another."""

from __future__ import annotations

from dataclasses import dataclass

# pydantic reads the annotations at run time when a copy is checked at the border.
from .model import Configuration, ListedServer  # noqa: TC001


@dataclass(frozen=True, slots=True)
class CatalogueCopy:
    """All that a process knows, with the revision of its list of back ends."""

    store_revision: int
    configuration: Configuration | None
    weights: dict[str, int]
    servers: dict[str, ListedServer]
