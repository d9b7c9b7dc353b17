"""The components of an agent that transfer weights, wired together."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_core.identifiers import FailureDomain, GroupName
from primroselever_core.transfer.uploads import UploadPlanner
from primroselever_node import clock
from primroselever_node.platform.weight_source import WeightSource
from primroselever_node.rpc.client_pool import ClientPool
from primroselever_node.rpc.schema import schema

from .engine_switch import EngineSwitch
from .fetcher import BUDGET_BURST_S, Fetcher, new_bucket
from .instruments import TransferInstruments
from .manifests import ManifestFinder
from .peers import Peers
from .rollout import RolloutController
from .serving import ChunkServing

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.runs.registry import RunRegistry
    from primroselever_core.transfer.section import TransfersSection
    from primroselever_node.settings.model import Platform

    from ..engine.engine_client import EngineClient
    from ..settings import AgentSettings


class TransferParts:
    """Serves, fetches and switches weights on one VM."""

    def __init__(
        self,
        board: Blackboard,
        section: TransfersSection,
        registry: RunRegistry,
        engine: EngineClient,
        settings: AgentSettings,
    ) -> None:
        self.section = section
        sources = new_weight_sources(settings.platform)
        uploads = new_upload_planner(settings.upload_bytes_per_s)
        instruments = TransferInstruments()
        peers = Peers(board, GroupName(settings.group), ClientPool(schema.Agent))
        self.serving = ChunkServing(board, section, uploads, instruments)
        self.engine_switch = EngineSwitch(
            board, section, registry, engine, peers, instruments
        )
        download_budget = new_bucket(settings.download_bytes_per_s)
        store_domain = settings.platform.weight_store_domain
        self.rollout = RolloutController(
            board,
            section,
            ManifestFinder(board, peers, sources),
            Fetcher(
                section, peers, sources, self.serving, download_budget, instruments
            ),
            self.engine_switch,
            FailureDomain(store_domain) if store_domain else None,
            settings.cross_domain_bytes_per_s,
        )

    def status(self) -> dict[str, Any]:
        """Return the state of the transfer for the status page."""
        section, now = self.section, clock.now()
        wanted = section.wanted
        missing = section.store.missing_indexes(wanted) if wanted else []
        return {
            "serving": section.serving,
            "wanted": wanted.version if wanted else None,
            "wanted_digest": wanted.digest if wanted else None,
            "chunks_missing": len(missing),
            "bytes_by_source": section.bytes_by_source,
            "rollout_problem": section.problem,
            "held_bytes": section.store.held_bytes,
            "versions": [
                section.progress.status_fields(manifest, section.store, now)
                for manifest in section.manifests.values()
            ],
        }


def new_weight_sources(platform: Platform) -> dict[str, WeightSource]:
    """Return the configured sources of weights in the order of preference."""
    urls = {"store": platform.weight_store, "origin": platform.origin}
    return {kind: WeightSource(url) for kind, url in urls.items() if url}


def new_upload_planner(bytes_per_s: int) -> UploadPlanner:
    """Return a planner that limits uploads to a rate; 0 means no limit."""
    burst_bytes = int(bytes_per_s * BUDGET_BURST_S)
    return UploadPlanner.with_limit(bytes_per_s, burst_bytes, Random(), clock.now())
