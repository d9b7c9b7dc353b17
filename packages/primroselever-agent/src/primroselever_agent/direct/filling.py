"""
Filling an engine with weights.

Pieces are staged from memory as they arrive, verified, repaired and loaded. They are
fetched by :mod:`.fetching`.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet
from opentelemetry.metrics import get_meter

from primroselever_core.filling.closing import plan_closing
from primroselever_core.filling.fetch_plan import FetchPlan
from primroselever_core.filling.link_rate import DEFAULT_BYTES_PER_S, LinkRate
from primroselever_core.filling.pieces import Staging
from primroselever_node import clock
from primroselever_node.direct.sources import SourceError
from primroselever_node.logs import log_decision

from .entry_reader import EntryReader
from .fetching import FetchController, log_made
from .staging_area import StagingArea

if TYPE_CHECKING:
    from primroselever_core.filling.pieces import PieceDigests
    from primroselever_core.filling.section import FillingBoard, WantedWeights
    from primroselever_node.direct.sources import EngineState, ModelServer

    from .news import ReportController

STEP_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.3  # entries also wait for missing pieces before they reply
VERIFICATION_VALID_S = 0.2  # staged data may become corrupt at any time
# A pass takes about 0.1 s. An area that is corrupt after each of these is reported as a
# failure and tried again.
MAX_REPAIR_PASSES = 5
# Time for the report of a switch to reach entries before the engine refuses requests.
ANNOUNCE_DELAY_S = 0.03
LOAD_TIMEOUT_S = 15.0  # the longest answers take several seconds, loading under 1 s
# An engine that is idle this long after it accepted an order does not carry it out. Its
# state is read every 0.1 s.
ORDER_EFFECT_S = 1.0

logger = logging.getLogger(__name__)


class WantedChangedError(Exception):
    """The wanted weights changed during a fill."""


class FillingController:
    """Writes the blackboard's staging section and orders the engine to load."""

    def __init__(
        self,
        board: FillingBoard,
        model_server: ModelServer,
        report_controller: ReportController,
        control_port: int,
        link_bytes_per_s: float = DEFAULT_BYTES_PER_S,
    ) -> None:
        self.board = board
        self.model_server = model_server
        self.report_controller = report_controller
        self.plan = FetchPlan(board, rate=LinkRate(link_bytes_per_s))
        self.area = StagingArea(model_server, self.plan.cache)
        self.reader = EntryReader(board, control_port)
        self.fetcher = FetchController(
            board, self.plan, self.reader, self.area, report_controller
        )
        meter = get_meter("primroselever.direct")
        self.fill_durations = meter.create_histogram(
            "primroselever.direct.fill.duration", "s", "From wanted to loaded"
        )

    def start(self) -> None:
        """Start fetching and filling in separate greenlets."""
        self.fetcher.start()
        eventlet.spawn(self.run)

    def status(self) -> dict[str, object]:
        """Return the versions to load, what is held of each, the rate and the pace."""
        plan = self.plan
        return {
            "order": [wanted.version for wanted in plan.order],
            "held": {
                version: f"{len(plan.held(version))} of "
                f"{len(progress.manifest.digests) if progress.manifest else '?'}"
                for version, progress in plan.progress.items()
            },
            "memory_bytes": self.area.cache.used_bytes,
            "bytes_per_s": round(plan.rate.estimate(clock.now())),
            "pace": plan.pace.name,
        }

    def run(self) -> None:
        """Fill and switch the engine until the process ends."""
        while True:
            try:
                self.fill_and_switch()
            except WantedChangedError:
                continue
            except SourceError as exc:
                logger.warning(
                    "filling the engine failed, it is retried",
                    extra={"error": str(exc)},
                )
                eventlet.sleep(RETRY_DELAY_S)
            except Exception:
                logger.exception("unexpected error while filling the engine")
                eventlet.sleep(RETRY_DELAY_S)
            finally:
                self.board.switching = False
                self.board.closes_at = None
            eventlet.sleep(STEP_INTERVAL_S)

    def fill_and_switch(self) -> None:
        """Fill the engine with the chosen weights, unless it serves them already."""
        wanted, state = self.plan.chosen, self.report_controller.state
        if wanted is None or state is None or state.loading:
            return
        if state.model == wanted.model and wanted.version <= state.version:
            return  # the plan is older than the engine's state
        progress = self.plan.progress.get(wanted.version)
        if progress is None or progress.manifest is None:
            return
        started_at = clock.now()
        staging = self.prepare_staging(progress.manifest)
        self.stage_all(wanted, staging)
        log_decision(
            "staging complete",
            f"{wanted.model}/{wanted.version}",
            "verified",
            "all digests match",
            took_s=round(clock.now() - started_at, 3),
        )
        self.wait_for_closing_time(wanted)
        self.switch_weights(wanted, staging)
        state = self.report_controller.state
        if state is not None and state.version == wanted.version:
            self.area.found = {}
            self.fill_durations.record(clock.now() - progress.wanted_at)

    def prepare_staging(self, manifest: PieceDigests) -> Staging:
        """Return the staging area with the valid pieces of a version."""
        staging = Staging(manifest)
        self.area.verify(staging)
        self.board.staging = staging
        return staging

    def stage_all(self, wanted: WantedWeights, staging: Staging) -> None:
        """Stage pieces as they arrive until all are staged."""
        while not staging.complete:
            self.check_still_wanted(wanted)
            self.plan_closing(wanted)
            if not self.area.stage_from_memory(staging):
                eventlet.sleep(STEP_INTERVAL_S)
        self.plan_closing(wanted)

    def wait_for_closing_time(self, wanted: WantedWeights) -> None:
        """Wait until the planned closing time, unless no requests may start anyway."""
        while (closes_at := self.board.closes_at) is not None and self.plan.may_serve(
            clock.now()
        ):
            remaining_s = closes_at - clock.now()
            if remaining_s <= 0:
                return
            self.check_still_wanted(wanted)
            eventlet.sleep(min(STEP_INTERVAL_S, remaining_s))

    def plan_closing(self, wanted: WantedWeights) -> None:
        """Plan when the engine closes, and report it as switching from that time on."""
        was_switching = self.board.switching
        log_made(plan_closing(self.board, self.plan, wanted, clock.now()))
        if self.board.switching != was_switching:
            self.report_controller.report_state()

    def check_still_wanted(self, wanted: WantedWeights) -> None:
        """Raise ``WantedChangedError`` if other weights are wanted now."""
        if not wanted.same_version(self.plan.chosen):
            raise WantedChangedError

    def repair_staging(self, wanted: WantedWeights, staging: Staging) -> None:
        """
        Read the area back and replace corrupt pieces until a whole pass finds none.

        Raise ``SourceError`` if it becomes corrupt during each of several passes.
        """
        for _ in range(MAX_REPAIR_PASSES):
            if clock.now() - self.area.verified_at <= VERIFICATION_VALID_S:
                return
            self.area.verify(staging)
            if staging.complete:
                return
            self.stage_all(wanted, staging)
        raise SourceError("the staging area becomes corrupt faster than it is repaired")

    def switch_weights(self, wanted: WantedWeights, staging: Staging) -> None:
        """Order the engine to load the staged weights and wait until it serves them."""
        self.repair_staging(wanted, staging)
        state = self.report_controller.state
        if state is None:
            return
        if state.version > 0:
            self.board.switching = True
            self.report_controller.report_state()
            eventlet.sleep(ANNOUNCE_DELAY_S)
        try:
            accepted = self.model_server.order_load(
                wanted.model, wanted.version, state.sequence
            )
        except SourceError as exc:
            log_decision(
                "engine ordered",
                f"{wanted.model}/{wanted.version}",
                "unanswered",
                str(exc),
                sequence=state.sequence,
                first_read_ms=round((clock.now() - self.area.first_read_at) * 1000),
            )
            raise
        log_decision(
            "engine ordered",
            f"{wanted.model}/{wanted.version}",
            "begun" if accepted else "refused",
            "staging verified",
            sequence=state.sequence,
            verified_ms=round((clock.now() - self.area.verified_at) * 1000),
            first_read_ms=round((clock.now() - self.area.first_read_at) * 1000),
        )
        if accepted:
            self.wait_until_loaded(wanted, state)

    def wait_until_loaded(
        self, wanted: WantedWeights, previous_state: EngineState
    ) -> None:
        """Wait until the engine reports the wanted weights, restarts or times out."""
        ordered_at = clock.now()
        while clock.now() < ordered_at + LOAD_TIMEOUT_S:
            eventlet.sleep(STEP_INTERVAL_S)
            state = self.report_controller.state
            if state is None or state.born_ms != previous_state.born_ms:
                return
            if state.version == wanted.version and not state.loading:
                self.board.switching = False
                self.report_controller.report_state()
                return
            if (
                state is not previous_state
                and not state.loading
                and not state.running
                and clock.now() > ordered_at + ORDER_EFFECT_S
            ):
                break
        logger.warning(
            "the engine did not load the weights, they are verified and ordered again",
            extra={
                "version": wanted.version,
                "waited_s": round(clock.now() - ordered_at, 2),
            },
        )
