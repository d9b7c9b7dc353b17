"""The parts of an entry that calls back ends directly, wired together."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.catalogue.model import CallerLimits
from primroselever_core.direct_board import DirectBoard
from primroselever_core.dispatch.retry_share import RetryLimits
from primroselever_core.gossip.peers import Peers
from primroselever_core.gossip.readers import reads_store
from primroselever_node import clock
from primroselever_node.admin import AdminApplication
from primroselever_node.direct.connection_pool import ConnectionPool
from primroselever_node.direct.follower import CatalogueFollower
from primroselever_node.direct.gossip import GossipController
from primroselever_node.direct.peer_handler import DirectPeerHandler
from primroselever_node.direct.pieces import PieceKeeper
from primroselever_node.direct.process import direct_identity
from primroselever_node.direct.reload import SettingsReloader
from primroselever_node.direct.schema import schema
from primroselever_node.direct.sources import CataloguePart
from primroselever_node.http import HttpServer
from primroselever_node.logs import log_decision
from primroselever_node.process import ShutdownSignal, drain, exit_code
from primroselever_node.rpc.server import RpcServer

from .caller_connection import CallerServer
from .explain import DispatchExplainer
from .flow import DirectFlow, FlowLimits
from .instruments import FlowInstruments
from .settings import END_MARGIN_S

if TYPE_CHECKING:
    from pathlib import Path

    from primroselever_node.direct.sources import CatalogueSource, WeightSource

    from .header_names import HeaderNames
    from .settings import DirectEntrySettings

DEFAULT_LIMITS = CallerLimits(16384, 1 << 20, 3.0, 15.0)  # until a configuration comes
POOL_SWEEP_S = 1.0
STARTING_S = 1.0  # the interpreter and imports take some 0.5 s before the clock is read
LAST_ANSWERS_S = 0.3  # the last bytes still have to leave

logger = logging.getLogger(__name__)


class DirectEntryProcess:
    """A running entry; the platform comes in by its sources and header names."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        catalogue_source: CatalogueSource,
        weight_source: WeightSource,
        names: HeaderNames,
        settings_path: Path | None = None,
    ) -> None:
        self.settings = settings
        self.reloader = SettingsReloader(settings_path, settings, self.reload)
        identity = direct_identity(settings)
        seeds = tuple(host for host, _port in settings.seeds)
        self.board = DirectBoard(
            identity, Peers(settings.host, settings.failure_domain, seeds)
        )
        self.pool = ConnectionPool()
        self.keeper = PieceKeeper(self.board, weight_source, settings.control[1])
        self.follower = CatalogueFollower(
            self.board.catalogue,
            catalogue_source,
            self.catalogue_changed,
            reads=self.reads_store,
        )
        self.gossip = GossipController(
            self.board,
            settings.host,
            settings.news_port,
            settings.control[1],
            self.catalogue_changed,
        )
        self.flow = DirectFlow(
            self.board,
            self.pool,
            names,
            flow_limits(settings),
            FlowInstruments(),
            Random(),
            self.gossip.note_sent,
            self.gossip.note_suspicion,
        )
        self.turning_away = False
        self.callers = CallerServer(
            settings.callers, names, self.limits, self.flow.handle, self.is_leaving
        )
        self.rpc = RpcServer(
            schema.DirectPeer,
            DirectPeerHandler(self.board, self.keeper),
            *settings.control,
        )
        application = AdminApplication(
            self.not_ready,
            self.status,
            DispatchExplainer(self.board, self.flow).explain,
        )
        application.readiness_path = settings.readiness_path
        self.readiness = HttpServer(application, *settings.readiness)
        self.admin = HttpServer(application, settings.host, settings.admin_port)
        self.weights_seen: dict[str, int] = {}
        self.started_at = clock.now()

    def run(self) -> int:
        """Serve until told to stop, then drain; return the exit code."""
        stop = ShutdownSignal()
        self.rpc.start()
        self.gossip.start()
        self.follower.start()
        self.readiness.start()
        self.admin.start()
        self.callers.start()
        self.reloader.start()
        eventlet.spawn(self.sweep)
        log_decision("process", self.settings.vm_id, "started", "all parts run")
        stop.wait()
        log_decision("process", self.settings.vm_id, "stopping", "told to stop")
        return exit_code(self.shut_down())

    def reload(self, settings: DirectEntrySettings) -> None:
        """Put new settings in force, those of addresses aside."""
        self.settings = settings
        self.board.peers.seeds = tuple(host for host, _port in settings.seeds)
        self.flow.limits = flow_limits(settings)
        for share in self.flow.retry_shares.values():
            share.limits = self.flow.limits.retries

    def shut_down(self) -> bool:
        """Let the balancer turn away, answer what came, then end."""
        deadline = clock.now() + self.settings.shutdown_s - END_MARGIN_S
        self.turning_away = True
        self.board.leaving = True
        eventlet.sleep(self.settings.turn_away_s)
        self.callers.close_idle()
        drained = drain(lambda: self.callers.in_flight, deadline)
        eventlet.sleep(LAST_ANSWERS_S)
        return drained

    def is_leaving(self) -> bool:
        """Return whether the process was told to stop."""
        return self.turning_away

    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        configuration = self.board.catalogue.configuration
        return DEFAULT_LIMITS if configuration is None else configuration.limits

    def reads_store(self) -> bool:
        """Return whether this entry reads the store, rather than ask its peers."""
        return reads_store(self.board.peers, clock.now())

    def catalogue_changed(self, part: CataloguePart) -> None:
        """Take in that the catalogue changed."""
        self.gossip.catalogue_changed()
        catalogue = self.board.catalogue
        if part is CataloguePart.SERVERS:
            self.board.backends.follow(catalogue.servers.values())
            self.pool.keep_only(self.board.backends.backends.keys())
            return
        for model, named in catalogue.weights.items():
            before = self.weights_seen.get(model)
            self.weights_seen[model] = named.version
            if before == named.version:
                continue
            if (
                before is None
                and clock.now() - self.started_at < self.settings.contact_s
            ):
                # It may have been named long before this process started, and binds
                # it soon; peers say how old it is.
                learned_at = self.started_at - self.settings.weights_within_s
                named.assume_learned(learned_at + self.settings.contact_s - STARTING_S)
            self.keeper.prefetch(model, named.version)

    def not_ready(self) -> str | None:
        """Return why no new connections should come, or None."""
        if self.turning_away:
            return "leaving"
        if self.board.catalogue.configuration is None:
            return "no configuration yet"
        if not self.board.catalogue.servers:
            return "no back ends yet"
        return None

    def status(self) -> dict[str, Any]:
        """Return what this entry knows and how old it is."""
        now = clock.now()
        catalogue = self.board.catalogue
        configuration = catalogue.configuration
        return {
            "vm_id": self.settings.vm_id,
            "leaving": self.turning_away,
            "in_flight": self.callers.in_flight,
            "configuration": configuration.revision if configuration else None,
            "configuration_age_s": round(now - catalogue.configuration_at, 3),
            "reads_store": self.reads_store(),
            "store_age_s": None
            if catalogue.heard_at is None
            else round(now - catalogue.heard_at, 3),
            "weights": {m: n.version for m, n in catalogue.weights.items()},
            "connections_opened": self.pool.opened,
            "origin_bytes": self.keeper.origin_bytes,
            "peers": sorted(peer.host for peer in self.board.peers.live(now)),
            "back_ends": {
                name: {
                    "service": backend.listed.service,
                    "state": str(backend.listed.state),
                    "load": backend.load(now),
                    "available": backend.available(now),
                }
                for name, backend in self.board.backends.backends.items()
            },
        }

    def sweep(self) -> None:
        """Close connections that were kept too long."""
        while True:
            eventlet.sleep(POOL_SWEEP_S)
            self.pool.keep_only(self.board.backends.backends.keys())


def flow_limits(settings: DirectEntrySettings) -> FlowLimits:
    """Return the limits of the request flow that settings hold."""
    retries = RetryLimits(
        settings.retry_ratio, settings.retry_slack, settings.retry_window_s
    )
    return FlowLimits(settings.weights_within_s, retries)
