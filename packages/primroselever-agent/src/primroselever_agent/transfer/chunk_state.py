"""What an agent says of a chunk that a peer asks for."""

from __future__ import annotations

from enum import StrEnum


class ChunkState(StrEnum):
    """
    How a request for a chunk is answered, as it is said on the wire.

    ``HELD``: the bytes follow. ``ELSEWHERE``: another VM is named to ask. ``PENDING``:
    the chunk is on its way here too. ``READING``: this agent reads it from outside its
    failure domain, or holds it and its link is busy. ``UNKNOWN``: not wanted here.
    """

    HELD = "held"
    ELSEWHERE = "elsewhere"
    PENDING = "pending"
    READING = "reading"
    UNKNOWN = "unknown"
