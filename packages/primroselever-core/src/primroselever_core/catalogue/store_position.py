"""Positions in the history of the platform's store, which may be restored."""

from __future__ import annotations

from typing import NamedTuple


class StorePosition(NamedTuple):
    """
    A revision of the store within an era.

    The era rises each time the store is restored from an older copy, after which its
    revisions go back and are given out again. Era 0 stands for a store without eras.

        >>> StorePosition(1, 200) < StorePosition(2, 95)
        True
    """

    era: int = 0
    revision: int = 0


START_POSITION = StorePosition()  # of a catalogue that has no list of back ends yet
