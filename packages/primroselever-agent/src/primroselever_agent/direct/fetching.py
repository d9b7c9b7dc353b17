"""
Fetching pieces of weights into memory, of up to two versions.

Fetching continues while the filling controller stages, verifies and loads a version.
"""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

import eventlet
from opentelemetry.metrics import get_meter

from primroselever_core.filling.progress import MANIFEST
from primroselever_node import clock
from primroselever_node.direct.sources import SourceError
from primroselever_node.logs import log_decision
from primroselever_node.process import spawn_task

if TYPE_CHECKING:
    from primroselever_core.filling.fetch_plan import Decision, FetchPlan
    from primroselever_core.filling.progress import FetchProgress
    from primroselever_core.filling.section import FillingBoard, WantedWeights

    from .entry_reader import EntryReader
    from .reporting import ReportController
    from .staging_area import StagingArea

PLAN_INTERVAL_S = 0.05
CONGESTED_S = 0.5  # a delay of slices that is logged, as it also delays requests
CONGESTION_LOG_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


def log_made(decision: Decision | None) -> None:
    """Log a decision of a core module, if one was made."""
    if decision is not None:
        log_decision(
            decision.kind,
            decision.subject,
            decision.choice,
            decision.reason,
            **decision.inputs,
        )


class FetchController:
    """Fetches the pieces that the plan names into memory."""

    def __init__(
        self,
        board: FillingBoard,
        plan: FetchPlan,
        reader: EntryReader,
        area: StagingArea,
        report_controller: ReportController,
    ) -> None:
        self.board = board
        self.plan = plan
        self.reader = reader
        self.area = area
        self.report_controller = report_controller
        self.rng = random.Random()
        self.congested = False
        self.congestion_logged_at = 0.0
        meter = get_meter("primroselever.direct")
        self.byte_counter = meter.create_counter(
            "primroselever.direct.fill.bytes", "By", "Bytes of pieces from entries"
        )
        self.held_gauge = meter.create_gauge(
            "primroselever.direct.fill.held_pieces",
            description="Pieces held of the chosen and of the other version",
        )

    def start(self) -> None:
        """Start fetching in a separate greenlet."""
        eventlet.spawn(self.run)

    def run(self) -> None:
        """Plan and fetch until the process ends."""
        while True:
            try:
                self.update_plan()
                self.start_workers()
            except Exception:
                logger.exception("unexpected error while fetching weights")
            eventlet.sleep(PLAN_INTERVAL_S)

    def update_plan(self) -> None:
        """Choose what to fetch, from the state of the engine."""
        state = self.report_controller.state
        if state is None:
            self.plan.clear()
            return
        served, now = state.version, clock.now()
        # An engine that was closed at the lapse would load the same version again.
        self.board.targets.drop_lapsed(self.board.lapses, now)
        if not self.board.loads.trusts(state.load):
            # It is verified, loaded again, or replaced by a newer version.
            served = 0
            self.board.targets.drop_older(state.model, state.version)
        for decision in self.plan.update(state.model, served, now):
            log_made(decision)
        for position, wanted in enumerate(self.plan.fetched):
            self.held_gauge.set(
                len(self.plan.held(wanted.version)),
                {"version": "other" if position else "chosen"},
            )

    def start_workers(self) -> None:
        """Start a worker for each piece that may be requested now."""
        while (request := self.plan.next_request(clock.now())) is not None:
            spawn_task(self.run_worker, *request)

    def run_worker(
        self, progress: FetchProgress, index: int, wanted: WantedWeights
    ) -> None:
        """Fetch pieces one by one until none may be requested."""
        while True:
            try:
                self.fetch(progress, index, wanted)
            except SourceError as exc:
                if not progress.failures:
                    log_decision(
                        "pieces missing",
                        f"{wanted.model}/{wanted.version}",
                        f"{len(self.plan.held(wanted.version))} held",
                        str(exc),
                    )
                progress.fail(index, clock.now(), self.rng)
            except Exception:
                logger.exception("unexpected error while fetching a piece")
                progress.fail(index, clock.now(), self.rng)
            request = self.plan.next_request(clock.now())
            if request is None:
                return
            progress, index, wanted = request

    def fetch(self, progress: FetchProgress, index: int, wanted: WantedWeights) -> None:
        """Fetch the manifest or one piece, or raise ``SourceError``."""
        if progress.manifest is None or index == MANIFEST:
            manifest = self.reader.read_manifest(wanted)
            self.area.read_found(manifest.model)
            self.check_current(progress)
            self.area.adopt_found(manifest)
            progress.set_manifest(manifest)
            progress.start_measurement(self.plan.held(wanted.version), clock.now())
            return

        def record_slice(size: int, host: str, took_s: float | None) -> None:
            now = clock.now()
            progress.record_bytes(index, now)
            self.plan.rate.record(size, now)
            if took_s is not None:
                self.record_link_delay(took_s, host, now)
            self.byte_counter.add(size)

        data = self.reader.read_piece(
            progress.manifest,
            wanted,
            index,
            lambda: self.plan.pace.slice_bytes,
            record_slice,
        )
        self.check_current(progress)
        self.keep(wanted, index, data)
        progress.finish(index, len(data), clock.now())

    def record_link_delay(self, took_s: float, host: str, now: float) -> None:
        """Record how long a slice took; log when the link becomes congested or free."""
        delay = self.board.link_delay
        delay.record(took_s, host, now)
        delay_s = delay.delay_s(now)
        congested = delay_s > CONGESTED_S
        if congested != self.congested and now >= self.congestion_logged_at:
            self.congested = congested
            self.congestion_logged_at = now + CONGESTION_LOG_INTERVAL_S
            log_decision(
                "link delay",
                self.board.identity.vm_id,
                "congested" if congested else "free",
                "time that slices of two entries took beyond the fastest one",
                delay_ms=round(delay_s * 1000),
                max_slices=delay.max_slices(now),
                pace=self.plan.pace.name,
            )

    def check_current(self, progress: FetchProgress) -> None:
        """
        Raise ``SourceError`` if the plan no longer fetches for this progress.

        Memory is indexed by version only. A late answer for an earlier model must not
        take the place of a piece of the new model's version with the same number.
        """
        if self.plan.progress.get(progress.version) is not progress:
            raise SourceError("the version is no longer wanted")

    def keep(self, wanted: WantedWeights, index: int, data: bytes) -> None:
        """
        Keep a piece in memory.

        Of a version that does not fit, pieces are staged directly if it is the chosen
        one. Raise ``SourceError`` if the piece can be kept nowhere.
        """
        if self.plan.cache.put(wanted.version, index, data):
            return
        staging = self.board.staging
        if (
            staging is None
            or not wanted.same_version(self.plan.chosen)
            or staging.wanted.version != wanted.version
        ):
            raise SourceError(f"piece {index}: no memory is left for it")
        self.area.stage(staging, index, data)
