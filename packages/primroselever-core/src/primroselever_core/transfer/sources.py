"""The sources of chunks, and the outcomes of reads."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..identifiers import VmId


class SourceKind(StrEnum):
    """The kinds of sources, in order of preference."""

    PEER = "peer"
    OTHER_DOMAIN = "other_domain"
    STORE = "store"
    ORIGIN = "origin"


@dataclass(frozen=True, slots=True)
class Source:
    """A source of chunks; ``vm_id`` is None for the weight store and the origin."""

    kind: SourceKind
    vm_id: VmId | None = None

    @property
    def name(self) -> str:
        """Return the name under which bytes from this source are counted."""
        return self.vm_id or self.kind.value


STORE = Source(SourceKind.STORE)
ORIGIN = Source(SourceKind.ORIGIN)


@dataclass(frozen=True, slots=True)
class Read:
    """
    A read of a chunk that is due now.

    ``wait_s`` is how long a peer that lacks the chunk may delay its answer until it
    has it. ``hops`` is how often this VM was redirected to another holder.
    """

    index: int
    source: Source
    wait_s: float
    reason: str
    hops: int = 0


@dataclass(frozen=True, slots=True)
class ReadEvent:
    """Base class for the outcomes of a read."""

    read: Read


class Held(ReadEvent):
    """The chunk was received and verified, and is held."""


class Corrupt(ReadEvent):
    """The bytes received are damaged or incomplete."""


class Silent(ReadEvent):
    """The source did not answer in time or is unreachable."""


class Refused(ReadEvent):
    """
    The source does not have the chunk or refused to send it.

    This is also the outcome if the version is no longer wanted when its chunk arrives.
    """


@dataclass(frozen=True, slots=True)
class Pending(ReadEvent):
    """
    The peer also wants the chunk but cannot send it yet.

    ``reading`` is set if the peer replied with the state of that name: it is reading
    the chunk from outside its failure domain, or it holds the chunk and is busy.
    ``retry_at`` is when to ask again.
    """

    reading: bool
    retry_at: float


@dataclass(frozen=True, slots=True)
class Elsewhere(ReadEvent):
    """The peer is busy and names another VM to which it has sent the chunk."""

    vm_id: VmId
