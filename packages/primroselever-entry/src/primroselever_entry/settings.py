"""The settings of an entry."""

from __future__ import annotations

from pydantic import Field

from primroselever_node.settings.model import Listen, NodeSettings


class EntrySettings(NodeSettings):
    """
    The settings of an entry.

    ``progress_s`` is how long an agent may stay silent before its connection is
    given up, in seconds; ``body_limit_bytes`` bounds a caller's request.
    ``spill_bytes_per_s`` is this entry's part of the link to other failure domains,
    for requests that no server of its own domain can take.
    """

    http: Listen
    progress_s: float = Field(default=2.0, gt=0)
    spill_bytes_per_s: float = Field(default=131072.0, gt=0)
    body_limit_bytes: int = Field(default=1 << 20, ge=1)
    default_deadline_s: float = Field(default=30.0, gt=0)
    max_deadline_s: float = Field(default=600.0, gt=0)
