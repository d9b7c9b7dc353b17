"""The settings of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

from pydantic import Field

from primroselever_core.findings import Finding
from primroselever_node.settings.contradictions import (
    check_urls,
    contradictions,
    node_contradictions,
)
from primroselever_node.settings.model import NodeSettings, Settings

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class Backend(Settings):
    """The kind of back end on this VM, and its URL without a trailing slash."""

    kind: Literal["engine", "plain"]
    url: str


class AgentSettings(NodeSettings):
    """
    The settings of an agent.

    Memory is in bytes and budgets are in bytes per second, where 0 means no limit.
    ``cross_domain_bytes_per_s`` is the part of the link between failure domains that
    rollouts of all VMs of this domain together may use; live requests have the rest.
    """

    group: str = Field(min_length=1)
    backend: Backend
    chunk_memory_bytes: int = Field(default=1 << 30, ge=1)
    upload_bytes_per_s: int = Field(default=0, ge=0)
    download_bytes_per_s: int = Field(default=0, ge=0)
    cross_domain_bytes_per_s: int = Field(default=0, ge=0)
    max_in_flight: int = Field(default=64, ge=1)
    answer_limit_bytes: int = Field(default=1 << 20, ge=1)


@contradictions.register(AgentSettings)
def _(settings: AgentSettings, environ: Mapping[str, str]) -> Iterator[Finding]:
    """Yield the problems found in an agent's settings."""
    yield from node_contradictions(settings, environ)
    yield from check_urls("backend", {"url": settings.backend.url})
    platform = settings.platform
    sources = platform.weight_store, platform.origin
    if settings.backend.kind == "engine" and sources == (None, None):
        problem = "an engine needs weights, but no source of weights is set"
        yield Finding("platform", problem, "set weight_store, origin or both")
