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
    """What runs on this VM, and its URL without a final slash."""

    kind: Literal["engine", "plain"]
    url: str


class AgentSettings(NodeSettings):
    """
    The settings of an agent.

    Memory is in bytes, budgets in bytes a second; 0 leaves a budget unlimited.
    ``cross_domain_bytes_per_s`` is the share of the link between failure domains
    that rollouts may take, for all VMs of the domain together; live requests have
    the rest.
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
    """Yield what is wrong with an agent's settings."""
    yield from node_contradictions(settings, environ)
    yield from check_urls("backend", {"url": settings.backend.url})
    platform = settings.platform
    sources = platform.weight_store, platform.origin
    if settings.backend.kind == "engine" and sources == (None, None):
        problem = "an engine needs weights, but there is no source of them"
        yield Finding("platform", problem, "give weight_store, origin or both")
