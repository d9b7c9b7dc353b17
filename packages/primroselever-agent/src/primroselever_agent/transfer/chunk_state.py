"""The states of a chunk in replies to other agents."""

from __future__ import annotations

from enum import StrEnum


class ChunkReplyState(StrEnum):
    """
    The state in the reply to a request for a chunk; its values go over the wire.

    ``HELD``: the reply carries the bytes. ``ELSEWHERE``: the reply names another VM
    that holds the chunk. ``PENDING``: this agent does not have the chunk yet either.
    ``READING``: this agent reads the chunk from outside its failure domain, or holds
    it and its upload link is busy. ``UNKNOWN``: this agent does not want the version.
    """

    HELD = "held"
    ELSEWHERE = "elsewhere"
    PENDING = "pending"
    READING = "reading"
    UNKNOWN = "unknown"
