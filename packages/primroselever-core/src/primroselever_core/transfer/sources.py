"""Where a chunk can be read, and what came of a read."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import VmId


class SourceKind(StrEnum):
    """The kinds of sources, in the order in which they are preferred."""

    PEER = "peer"
    OTHER_DOMAIN = "other_domain"
    STORE = "store"
    ORIGIN = "origin"


@dataclass(frozen=True, slots=True)
class Source:
    """One source; ``vm_id`` is None for the weight store and the origin."""

    kind: SourceKind
    vm_id: VmId | None = None

    @property
    def name(self) -> str:
        """Return the name under which bytes from here are counted."""
        return self.vm_id or self.kind.value


STORE = Source(SourceKind.STORE)
ORIGIN = Source(SourceKind.ORIGIN)


@dataclass(frozen=True, slots=True)
class Read:
    """
    A read that is due now; ``wait_s`` is how long a peer may hold it open.

    ``hops`` is how often this VM was sent on to another holder.
    """

    index: int
    source: Source
    wait_s: float
    reason: str
    hops: int = 0


@dataclass(frozen=True, slots=True)
class ReadEvent:
    """The base of what can come of a read."""

    read: Read


class Held(ReadEvent):
    """The chunk came, was verified and is held."""


class Corrupt(ReadEvent):
    """Bytes came that are not the chunk, or only a part of it."""


class Silent(ReadEvent):
    """The source did not answer in time, or cannot be reached."""


class Refused(ReadEvent):
    """The source answered that it does not have the chunk."""


@dataclass(frozen=True, slots=True)
class Pending(ReadEvent):
    """
    The peer wants the chunk too, and does not hold it yet.

    ``reading`` says that it reads it from outside and makes progress, or that it
    holds it and is busy; ``retry_at`` is when to ask again.
    """

    reading: bool
    retry_at: float


@dataclass(frozen=True, slots=True)
class Elsewhere(ReadEvent):
    """The peer is busy and names another one that was given the chunk."""

    vm_id: VmId
