"""The process of an entry that calls back ends directly."""

from __future__ import annotations

import logging
import signal
from random import Random
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.catalogue.model import CallerLimits
from primroselever_core.direct_board import DirectBoard
from primroselever_core.dispatch.buffers import BufferLimits
from primroselever_core.dispatch.retry_share import RetryLimits
from primroselever_core.gossip.peers import Peers
from primroselever_core.gossip.readers import (
    first_watch_share,
    lacks_proof,
    reads_store,
)
from primroselever_node import clock
from primroselever_node.admin import AdminApplication
from primroselever_node.direct.configurations import observe_configuration
from primroselever_node.direct.connection_pool import ConnectionPool
from primroselever_node.direct.follower import CatalogueFollower
from primroselever_node.direct.gossip import GossipController
from primroselever_node.direct.peer_handler import DirectPeerHandler
from primroselever_node.direct.pieces import PieceKeeper
from primroselever_node.direct.reload import SettingsReloader
from primroselever_node.direct.schema import schema
from primroselever_node.direct.sources import CataloguePart
from primroselever_node.http import HttpServer
from primroselever_node.identity import create_identity
from primroselever_node.logs import log_decision
from primroselever_node.process import ShutdownSignal, drain, exit_code
from primroselever_node.rpc.server import RpcServer

from .caller_server import CallerServer
from .explain import DispatchExplainer, closed_for_s, rounded
from .flow import DirectFlow, FlowLimits
from .in_force import describe_in_force
from .instruments import FlowInstruments
from .placing import describe_placement, log_home_problems
from .settings import END_MARGIN_S, check_regions, usable_regions
from .start_watch import StartWatch, describe_start

if TYPE_CHECKING:
    from pathlib import Path

    from primroselever_node.direct.sources import CatalogueSource, PieceSource

    from .header_names import HeaderNames
    from .settings import DirectEntrySettings

# In force until a configuration is received: the bytes of a head and a body, and the
# seconds for a head to arrive and for a connection to be idle.
DEFAULT_CALLER_LIMITS = CallerLimits(16384, 1 << 20, 3.0, 15.0)
POOL_SWEEP_INTERVAL_S = 1.0
# A seed reads and sends a large configuration in about 0.5 s; it may start 0.3 s later.
SEEDS_READ_S = 0.8
# Interpreter startup and imports take about 0.5 s before started_at is set.
STARTUP_MARGIN_S = 1.0
LAST_WRITES_S = 0.3  # for the last response bytes to be sent

logger = logging.getLogger(__name__)


class DirectEntryProcess:
    """A running entry; the sources and header names adapt it to a platform."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        catalogue_source: CatalogueSource,
        weight_source: PieceSource,
        names: HeaderNames,
        settings_path: Path | None = None,
    ) -> None:
        self.settings = settings
        self.reloader = SettingsReloader(settings_path, settings, self.reload)
        identity = create_identity(settings)
        seeds = tuple(host for host, _port in settings.seeds)
        self.board = DirectBoard(
            identity, Peers(settings.host, settings.failure_domain, seeds)
        )
        self.board.catalogue.unproven_s = unproven_time(settings)
        observe_configuration(self.board.catalogue)
        self.pool = ConnectionPool()
        self.piece_keeper = PieceKeeper(self.board, weight_source, settings.control[1])
        self.follower = CatalogueFollower(
            self.board.catalogue,
            catalogue_source,
            self.apply_catalogue_change,
            should_read=self.reads_store,
            first_read_at=first_read_time(settings),
            first_watch_share=lambda: first_watch_share(self.board.peers, clock.now()),
        )
        self.gossip = GossipController(
            self.board,
            settings.host,
            settings.news_port,
            settings.control[1],
            self.apply_catalogue_change,
        )
        self.flow = DirectFlow(
            self.board,
            self.pool,
            names,
            flow_limits(settings),
            FlowInstruments(),
            Random(),
            self.gossip.publish_sent,
            self.gossip.publish_suspicion,
            self.gossip.leaving_news.publish,
            self.gossip.limit_news.publish,
            self.gossip.pace_news.publish,
        )
        self.withdrawing = False
        self.caller_server = CallerServer(
            settings.callers,
            names,
            self.caller_limits,
            self.flow.handle,
            self.is_leaving,
            settings.request_buffers_limit_bytes,
        )
        self.rpc = RpcServer(
            schema.DirectPeer,
            DirectPeerHandler(self.board, self.piece_keeper),
            *settings.control,
        )
        application = AdminApplication(
            self.unready_reason,
            self.status,
            DispatchExplainer(self.board, self.flow).explain,
        )
        application.readiness_path = settings.readiness_path
        application.configuration = lambda: describe_in_force(
            self.board.catalogue, self.flow.limits.regions, clock.now()
        )
        self.readiness = HttpServer(application, *settings.readiness)
        self.admin = HttpServer(application, settings.host, settings.admin_port)
        self.seen_versions: dict[str, int] = {}
        self.checked_revision = 0  # of the configuration whose homes were checked
        self.started_at = clock.now()
        self.start_watch = StartWatch(self.board)
        self.start_watch.apply_settings(settings)

    def run(self) -> int:
        """Serve until a stop signal, then drain; return the exit code."""
        # A supervisor may repeat SIGTERM; the requests in progress must not be cut off.
        stop = ShutdownSignal(self.begin_stop, ending_signals=(signal.SIGINT,))
        self.rpc.start()
        self.gossip.start()
        self.follower.start()
        self.readiness.start()
        self.admin.start()
        self.caller_server.start()
        self.reloader.start()
        eventlet.spawn(self.sweep_connections)
        self.start_watch.start()
        log_decision("process", self.settings.vm_id, "started", "all components run")
        stop.wait()
        log_decision("process", self.settings.vm_id, "stopping", "stop signal received")
        return exit_code(self.shut_down())

    def reload(self, settings: DirectEntrySettings) -> None:
        """Apply new settings, except addresses to listen on."""
        self.settings = settings
        self.board.catalogue.unproven_s = unproven_time(settings)
        self.board.peers.seeds = tuple(host for host, _port in settings.seeds)
        self.flow.limits = flow_limits(settings)
        log_home_problems(
            self.board.catalogue, self.flow.limits.regions, check_regions(settings)
        )
        self.flow.buffers.limit_bytes = self.flow.limits.buffers.total_bytes
        self.caller_server.request_buffers.limit_bytes = (
            settings.request_buffers_limit_bytes
        )
        for share in self.flow.retry_shares.values():
            share.limits = self.flow.limits.retries
        self.start_watch.apply_settings(settings)

    def begin_stop(self, signal_at: float) -> None:
        """
        Store until when requests are taken and by when each must have ended.

        Both count from the signal: other greenlets may run late, while the platform
        kills the process on time. A reload during the stop does not change them.
        """
        self.flow.grace_period.begin(
            signal_at + self.settings.turn_away_s,
            signal_at + self.settings.shutdown_s - END_MARGIN_S,
        )
        self.withdrawing = True
        self.board.leaving = True

    def shut_down(self) -> bool:
        """
        Wait for the load balancer to stop sending, then drain requests.

        Return whether all requests ended in time.
        """
        grace_period = self.flow.grace_period
        eventlet.sleep(max(0.0, grace_period.takes_until - clock.now()))
        self.caller_server.close_idle_connections()
        drained = drain(self.caller_server.unfinished_count, grace_period.ends_at)
        grace_period.close()
        if not drained:
            self.caller_server.answer_unfinished()
        self.caller_server.stop_accepting()
        eventlet.sleep(LAST_WRITES_S)
        return drained

    def is_leaving(self) -> bool:
        """Return whether the process received a stop signal."""
        return self.withdrawing

    def caller_limits(self) -> CallerLimits:
        """Return the size and time limits on requests from callers."""
        configuration = self.board.catalogue.configuration
        return DEFAULT_CALLER_LIMITS if configuration is None else configuration.limits

    def reads_store(self) -> bool:
        """Return whether this entry reads the store instead of asking its peers."""
        catalogue, peers, now = self.board.catalogue, self.board.peers, clock.now()
        return reads_store(peers, now, catalogue.store_position.era) or lacks_proof(
            peers,
            catalogue.freshness.answer_at,
            self.settings.configuration_within_s,
            now,
        )

    def apply_catalogue_change(self, part: CataloguePart) -> None:
        """Publish a catalogue change and update back ends or prefetch new weights."""
        self.gossip.publish_catalogue_change()
        catalogue = self.board.catalogue
        if part is CataloguePart.SERVERS:
            self.board.backends.apply_listing(catalogue.servers.values())
            self.start_watch.apply_listing()
            self.pool.close_removed_servers(self.board.backends.backends.keys())
            return
        if self.checked_revision != catalogue.configuration_revision:
            self.checked_revision = catalogue.configuration_revision
            log_home_problems(
                catalogue, self.flow.limits.regions, check_regions(self.settings)
            )
        self.start_watch.configure()
        self.start_watch.apply_evacuations()
        for model, published in catalogue.weights.items():
            previous_version = self.seen_versions.get(model)
            self.seen_versions[model] = published.version
            if previous_version == published.version:
                continue
            if (
                previous_version is None
                and not published.newest.proven
                and clock.now() - self.started_at < self.settings.contact_s
            ):
                # The version may have been published long before this process started.
                # It is assumed to be old and becomes mandatory soon, unless peers send
                # its actual age.
                absent_at = self.started_at - self.settings.weights_within_s
                published.assume_absent_at(
                    absent_at + self.settings.contact_s - STARTUP_MARGIN_S
                )
                # Engines and other entries usually hold it. If none does, an agent's
                # request starts the reads.
                continue
            self.piece_keeper.prefetch(model, published.version)

    def unready_reason(self) -> str | None:
        """Return why this entry must not get new connections, or None."""
        if self.withdrawing:
            return "leaving"
        if self.board.catalogue.configuration is None:
            return "no configuration yet"
        if not self.board.catalogue.servers:
            return "no back ends yet"
        return None

    def status(self) -> dict[str, Any]:
        """Return the state of this entry and the age of its data."""
        now = clock.now()
        catalogue = self.board.catalogue
        configuration = catalogue.configuration
        return {
            "vm_id": self.settings.vm_id,
            "leaving": self.withdrawing,
            "in_flight": self.caller_server.in_flight,
            "configuration": configuration.revision if configuration else None,
            "configuration_age_s": round(now - catalogue.configuration_at, 3),
            "reads_store": self.reads_store(),
            "store_era": catalogue.store_position.era,
            "store_age_s": None
            if catalogue.store_contact_at is None
            else round(now - catalogue.store_contact_at, 3),
            "weights": {
                model: published.version
                for model, published in catalogue.weights.items()
            },
            "placement": describe_placement(catalogue, self.flow.limits.regions, now),
            "connections_opened": self.pool.opened_count,
            "origin_bytes": self.piece_keeper.reader.origin_bytes,
            "origin_reads": self.piece_keeper.status(),
            "peers": sorted(peer.host for peer in self.board.peers.live(now)),
            "back_ends": {
                name: {
                    "service": backend.listed.service,
                    "state": str(backend.listed.state),
                    "load": backend.load(now),
                    "available": backend.available(now),
                    "leaving": backend.announced.is_leaving,
                    "closed_for_s": closed_for_s(backend, now),
                    "limit": backend.announced.limit.rate,
                    "pace": rounded(backend.measured.value(now)),
                    "start": describe_start(backend, now),
                }
                for name, backend in self.board.backends.backends.items()
            },
        }

    def sweep_connections(self) -> None:
        """Close expired idle connections to back ends periodically."""
        while True:
            eventlet.sleep(POOL_SWEEP_INTERVAL_S)
            self.pool.close_removed_servers(self.board.backends.backends.keys())


def unproven_time(settings: DirectEntrySettings) -> float:
    """
    Return the seconds before a version is learned from which its bound may count.

    Old weights then still serve for ``contact_s``, after which an entry that has a path
    to the platform again is in touch.
    """
    return settings.weights_within_s - settings.contact_s


def first_read_time(settings: DirectEntrySettings) -> float:
    """
    Return when a starting entry may read the store.

    Seeds read it at once. The others wait for the seeds to send them the catalogue: if
    all entries of a domain started at once and read the store, their copies of a large
    configuration would share one link between regions.
    """
    is_seed = any(host == settings.host for host, _port in settings.seeds)
    return clock.now() + (0.0 if is_seed or not settings.seeds else SEEDS_READ_S)


def flow_limits(settings: DirectEntrySettings) -> FlowLimits:
    """Return the limits of the request flow from the settings."""
    retries = RetryLimits(
        settings.retry_ratio, settings.retry_slack, settings.retry_window_s
    )
    buffers = BufferLimits(
        settings.answer_buffer_bytes,
        settings.event_limit_bytes,
        settings.buffers_limit_bytes,
    )
    return FlowLimits(
        settings.weights_within_s, retries, buffers, usable_regions(settings)
    )
