"""The parts of an agent that carry weights, wired together."""

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
from .fetcher import BURST_S, Fetcher, bucket_of
from .instruments import TransferInstruments
from .manifests import ManifestFinder
from .peers import Peers
from .rollout import RolloutController
from .serving import ChunkServing

if TYPE_CHECKING:
    from primroselever_core.board import Blackboard
    from primroselever_core.runs.registry import RunRegistry
    from primroselever_core.transfer.section import TransfersSection

    from ..engine.engine_client import EngineClient
    from ..settings import AgentSettings


class TransferParts:
    """Serving, fetching and switching weights on one VM."""

    def __init__(
        self,
        board: Blackboard,
        section: TransfersSection,
        registry: RunRegistry,
        engine: EngineClient,
        settings: AgentSettings,
    ) -> None:
        self.section = section
        platform = settings.platform
        urls = {"store": platform.weight_store, "origin": platform.origin}
        sources = {kind: WeightSource(url) for kind, url in urls.items() if url}
        rate = settings.upload_bytes_per_s
        uploads = UploadPlanner.with_limit(
            rate, int(rate * BURST_S), Random(), clock.now()
        )
        instruments = TransferInstruments()
        peers = Peers(board, GroupName(settings.group), ClientPool(schema.Agent))
        self.serving = ChunkServing(board, section, uploads, instruments)
        self.switch = EngineSwitch(board, section, registry, engine, peers, instruments)
        self.rollout = RolloutController(
            board,
            section,
            ManifestFinder(board, peers, sources),
            Fetcher(
                section,
                peers,
                sources,
                self.serving,
                bucket_of(settings.download_bytes_per_s),
                instruments,
            ),
            self.switch,
            FailureDomain(platform.weight_store_domain)
            if platform.weight_store_domain
            else None,
            settings.cross_domain_bytes_per_s,
        )

    def status(self) -> dict[str, Any]:
        """Return what operators see of the transfer."""
        section, now = self.section, clock.now()
        wanted = section.wanted
        missing = section.store.missing(wanted) if wanted else []
        return {
            "serving": section.serving,
            "wanted": wanted.version if wanted else None,
            "wanted_digest": wanted.digest if wanted else None,
            "chunks_missing": len(missing),
            "bytes_by_source": section.bytes_by_source,
            "rollout_problem": section.problem,
            "held_bytes": section.store.held_bytes,
            "versions": [
                section.progress.view(manifest, section.store, now)
                for manifest in section.manifests.values()
            ],
        }
