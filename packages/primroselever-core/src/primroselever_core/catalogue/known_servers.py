"""What a catalogue records of back ends besides their entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .model import ServerState

if TYPE_CHECKING:
    from .model import ListedServer
    from .store_position import StorePosition


@dataclass(frozen=True, slots=True)
class Lapse:
    """The position at which an entry went missing, and the end of its grace period."""

    position: StorePosition
    until: float


@dataclass(frozen=True, slots=True)
class Removal:
    """The position at which a back end was removed, and its last entry if known."""

    position: StorePosition
    server: ListedServer | None = None


@dataclass(frozen=True, slots=True)
class WithheldEntry:
    """An entry of a restored store that is not used until the grace period ends."""

    server: ListedServer
    until: float


def is_earlier_write(server: ListedServer, known: ListedServer | None) -> bool:
    """
    Return whether an entry was written before a known one of another era.

    Without the fields that order a server's writes, the positions decide.
    """
    if known is None or server.write_order is None or known.write_order is None:
        return known is not None and server.position < known.position
    return server.write_order < known.write_order


def is_same_write(server: ListedServer, known: ListedServer | None) -> bool:
    """Return whether an entry is certainly the same write as a known one."""
    return (
        known is not None
        and server.write_order is not None
        and server.write_order == known.write_order
    )


def is_final(known: ListedServer | None, server: ListedServer) -> bool:
    """
    Return whether a known entry must not be replaced by an earlier one.

    A start of a server that is leaving does not become ready again.
    """
    return (
        known is not None
        and known.state is ServerState.LEAVING
        and server.state is not ServerState.LEAVING
        and known.born_ms == server.born_ms
        and is_earlier_write(server, known)
    )
