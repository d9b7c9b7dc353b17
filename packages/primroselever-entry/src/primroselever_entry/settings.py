"""The settings of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import Field

from primroselever_core.findings import Finding
from primroselever_node.rpc.limits import FRAME_BYTES, MAX_CALL_BYTES
from primroselever_node.settings.contradictions import (
    contradictions,
    node_contradictions,
)
from primroselever_node.settings.model import ListenAddress, NodeSettings

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class EntrySettings(NodeSettings):
    """
    The settings of an entry.

    ``progress_s`` is the time in seconds after which a connection to an agent that
    sends nothing is closed; ``body_limit_bytes`` limits the body of a request.
    ``spill_bytes_per_s`` is this entry's share of the link to other failure domains,
    for requests that no server of its own failure domain can accept.
    ``turn_away_s`` is the time in seconds for which a leaving entry still serves new
    requests, until the balancer stops sending them.
    """

    http: ListenAddress
    progress_s: float = Field(default=2.0, gt=0)
    spill_bytes_per_s: float = Field(default=131072.0, gt=0)
    # Agents refuse larger calls.
    body_limit_bytes: int = Field(
        default=1 << 20, ge=1, le=MAX_CALL_BYTES - FRAME_BYTES
    )
    default_deadline_s: float = Field(default=30.0, gt=0)
    max_deadline_s: float = Field(default=600.0, gt=0)
    turn_away_s: float = Field(default=5.0, ge=0)


@contradictions.register(EntrySettings)
def _(settings: EntrySettings, environ: Mapping[str, str]) -> Iterator[Finding]:
    """Yield a finding for each contradiction in an entry's settings."""
    yield from node_contradictions(settings, environ)
    if settings.default_deadline_s > settings.max_deadline_s:
        problem = f"exceeds max_deadline_s, {settings.max_deadline_s:g} s"
        yield Finding("default_deadline_s", problem, "lower it or raise max_deadline_s")
    if settings.turn_away_s >= settings.shutdown_s:
        problem = f"is not less than shutdown_s, {settings.shutdown_s:g} s"
        yield Finding(
            "turn_away_s",
            problem,
            "lower it or raise shutdown_s, so that runs in progress have time to end",
        )
