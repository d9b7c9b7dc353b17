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
from primroselever_core.filling.loads import LoadOrder, OrderAnswer, plan_reload
from primroselever_core.filling.pieces import Staging
from primroselever_node import clock
from primroselever_node.direct.sources import SourceError
from primroselever_node.logs import log_decision

from .entry_reader import EntryReader
from .fetching import FetchController, log_made
from .orders import OrderSender
from .staging_area import StagingArea

if TYPE_CHECKING:
    from primroselever_core.filling.loads import LayerRange, Load
    from primroselever_core.filling.pieces import PieceDigests
    from primroselever_core.filling.section import FillingBoard, WantedWeights
    from primroselever_node.direct.sources import EngineState, ModelServer

    from .reporting import ReportController

STEP_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.3  # entries also wait for missing pieces before they reply
# A pass takes about 0.1 s. An area that is corrupt after each of these is reported as a
# failure and tried again.
MAX_REPAIR_PASSES = 5
# Time for the report of a switch to reach entries before the engine refuses requests.
ANNOUNCE_DELAY_S = 0.03
INHERITED_CHECK_INTERVAL_S = 1.0
# An engine that holds a version and reports no layers does not load it again, and one
# may refuse orders for single layers. Repeated at once, these were 11 orders a second.
INEFFECTIVE_ORDER_DELAY_S = 1.0
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
        self.loads = board.loads
        self.orders = OrderSender(model_server, self.loads)
        self.area = StagingArea(model_server, self.plan.cache, self.loads)
        self.reader = EntryReader(board, control_port)
        self.fetcher = FetchController(
            board, self.plan, self.reader, self.area, report_controller
        )
        meter = get_meter("primroselever.direct")
        self.fill_durations = meter.create_histogram(
            "primroselever.direct.fill.duration", "s", "From wanted to loaded"
        )
        self.unverified_loads = meter.create_counter(
            "primroselever.direct.fill.unverified_loads",
            description="Loads whose staged pieces were not valid afterwards",
        )
        self.inherited_check_at = 0.0

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
        if state is None or state.loading:
            return
        trusted = self.loads.trusts(state.load)
        if trusted and self.loads.inherited == state.load:
            self.check_inherited_load(state)
        if wanted is None or self.waits_for_order(wanted):
            return
        if trusted and state.model == wanted.model and wanted.version <= state.version:
            return  # the plan is older than the engine's state
        progress = self.plan.progress.get(wanted.version)
        if progress is None or progress.manifest is None:
            return
        started_at = clock.now()
        staging = self.prepare_staging(progress.manifest)
        if (
            not trusted
            and (state.model, state.version) == (wanted.model, wanted.version)
            and not is_partial(state.layers)
        ):
            self.verify_load(state.load, staging)
            if self.loads.trusts(state.load):
                self.report_controller.report_state()
                return
        orders = self.plan_orders(wanted, staging)
        state, current = self.report_controller.state, None
        if state is not None and orders[0] is not None:
            current = self.loads.current
            if holds(state.layers, orders[0]):
                current = self.drop_layers(staging, current, orders.pop(0))
                if current is None:
                    return
        self.stage_all(wanted, staging)
        log_decision(
            "staging complete",
            f"{wanted.model}/{wanted.version}",
            "verified",
            "all digests match",
            took_s=round(clock.now() - started_at, 3),
        )
        self.wait_for_closing_time(wanted)
        self.switch_weights(wanted, staging, orders, current)
        state = self.report_controller.state
        if (
            state is not None
            and state.version == wanted.version
            and self.loads.trusts(state.load)
        ):
            self.area.found = {}
            self.fill_durations.record(clock.now() - progress.wanted_at)

    def check_inherited_load(self, state: EngineState) -> None:
        """
        Verify a load that an earlier process ordered, if it is the newest version.

        That process may have ended before it verified the load itself. What has become
        corrupt since then cannot be told apart, so the weights are loaded again once
        the pieces for that are in memory.
        """
        newest = self.board.targets.newest
        if (
            newest is None
            or (newest.model, newest.version) != (state.model, state.version)
            or clock.now() < self.inherited_check_at
        ):
            return
        self.inherited_check_at = clock.now() + INHERITED_CHECK_INTERVAL_S
        manifest = self.reader.read_manifest(newest)
        staging = Staging(manifest)
        self.area.verify(staging)
        invalid = set(range(len(manifest.digests))) - staging.held
        for index in sorted(invalid - set(self.area.cache.held(manifest.version))):
            data = self.reader.read_piece(
                manifest,
                newest,
                index,
                lambda: self.plan.pace.slice_bytes,
                lambda size, *_: self.plan.rate.record(size, clock.now()),
            )
            self.area.cache.put(manifest.version, index, data)
        self.verify_load(state.load, staging)
        if not self.loads.trusts(state.load):
            self.report_controller.report_state()

    def waits_for_order(self, wanted: WantedWeights) -> bool:
        """
        Return whether an order for another version may still be accepted.

        The engine would load what is staged for the wanted version under its number.
        """
        pending = self.loads.pending
        return (
            pending is not None
            and self.loads.waits_for_order(clock.now())
            and (pending.weights.model, pending.weights.version)
            != (wanted.model, wanted.version)
        )

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

    def verify_before_order(self, wanted: WantedWeights, staging: Staging) -> None:
        """
        Read the area back and replace corrupt pieces until a whole pass finds none.

        Raise ``SourceError`` if it becomes corrupt during each of several passes. After
        a pass that was too slow for its first read to count, the read after the order
        decides alone.
        """
        for _ in range(MAX_REPAIR_PASSES):
            if clock.now() <= self.area.order_by:
                return
            self.area.verify(staging)
            if self.area.order_by:
                return
            self.stage_all(wanted, staging)
        raise SourceError("the staging area becomes corrupt faster than it is repaired")

    def drop_layers(
        self, staging: Staging, current: Load | None, kept: LayerRange | None
    ) -> Load | None:
        """
        Have the engine drop the layers of its ``current`` load, except ``kept``.

        This precedes the repair of the staging area. If this process ends in between,
        the next one finds a valid area, which does not prove the earlier load, but an
        engine without all layers. Return the load, None if the order did not start.
        """
        self.board.switching = True
        self.report_controller.report_state()
        eventlet.sleep(ANNOUNCE_DELAY_S)
        state = self.report_controller.state
        if state is None or state.load != current:
            return None
        order = self.build_order(staging, state, kept)
        if not self.start_order(order):
            return None
        self.wait_until_loaded(order)
        return order.load

    def build_order(
        self, staging: Staging, state: EngineState, layers: LayerRange | None
    ) -> LoadOrder:
        """Return the next order to an engine with a state."""
        return LoadOrder(
            staging.wanted,
            state.load,
            layers,
            aborts_requests=self.loads.must_abort(state.load),
        )

    def start_order(self, order: LoadOrder) -> bool:
        """Send an order; return whether the engine carries it out."""
        answer = self.send_order(order)
        if answer is OrderAnswer.IN_EFFECT or (
            answer is OrderAnswer.REFUSED and order.layers is not None
        ):
            eventlet.sleep(INEFFECTIVE_ORDER_DELAY_S)
        return answer is OrderAnswer.STARTED

    def switch_weights(
        self,
        wanted: WantedWeights,
        staging: Staging,
        orders: list[LayerRange | None],
        current: Load | None,
    ) -> None:
        """
        Order the engine to load the staged weights and wait until it serves them.

        ``orders`` are the layers of the orders. They were planned for an engine that
        holds the ``current`` load, None for any.
        """
        for layers in orders:
            state = self.close_and_verify(wanted, staging)
            if state is None or current not in (None, state.load):
                return  # another order was accepted since these were planned
            order = self.build_order(staging, state, layers)
            if not self.start_order(order):
                return
            valid = self.prove_load(order, staging)
            self.wait_until_loaded(order)
            if not valid:
                return
            current = order.load

    def plan_orders(
        self, wanted: WantedWeights, staging: Staging
    ) -> list[LayerRange | None]:
        """Return the layers of the orders after which the engine holds all anew."""
        state = self.report_controller.state
        if (
            state is None
            or state.layers is None
            or state.model not in ("", wanted.model)
            or state.layers_version != wanted.version
        ):
            return [None]
        return plan_reload(
            state.layers, len(staging.wanted.digests), self.loads.invalid
        )

    def close_and_verify(
        self, wanted: WantedWeights, staging: Staging
    ) -> EngineState | None:
        """
        Close the engine and verify the staged pieces; return its state before an order.

        Return None if the engine cannot be read.
        """
        self.verify_before_order(wanted, staging)
        state = self.report_controller.state
        if state is None:
            return None
        # Entries keep an engine closed whose agent falls silent after this report.
        self.board.switching = True
        self.report_controller.report_state()
        if state.version > 0:
            eventlet.sleep(ANNOUNCE_DELAY_S)
            self.check_still_wanted(wanted)
            self.verify_before_order(wanted, staging)
        return self.report_controller.state

    def send_order(self, order: LoadOrder) -> OrderAnswer | None:
        """Send an order for verified pieces; return None without an answer."""
        return self.orders.send(
            order,
            "engine ordered",
            "staging verified",
            first_read_ms=round((clock.now() - self.area.first_read_at) * 1000),
        )

    def prove_load(self, order: LoadOrder, staging: Staging) -> bool:
        """Read the area after an order was accepted; return whether it was valid."""
        self.area.verify(staging)
        return self.verify_load(
            order.load, staging, is_partial=order.layers is not None
        )

    def verify_load(
        self, load: Load, staging: Staging, *, is_partial: bool = False
    ) -> bool:
        """
        Trust a load if the area was read after it and every piece was valid.

        Return whether it is valid.
        """
        weights = staging.wanted
        invalid = set(range(len(weights.digests))) - staging.held
        valid = self.loads.verify(load, invalid, is_partial=is_partial)
        if not valid:
            self.unverified_loads.add(1)
        choice = "other layers are loaded next" if is_partial else "may serve"
        log_decision(
            "load verified" if valid else "load not verified",
            f"{weights.model}/{weights.version}",
            choice if valid else "loaded again",
            "staged pieces read after the order",
            sequence=load.sequence,
            invalid=len(invalid),
            staged_since=self.loads.writes - self.loads.writes_before,
        )
        return valid

    def wait_until_loaded(self, order: LoadOrder) -> None:
        """Wait until the engine has carried out an order, restarts or times out."""
        ordered_at = clock.now()
        while clock.now() < ordered_at + LOAD_TIMEOUT_S:
            eventlet.sleep(STEP_INTERVAL_S)
            state = self.report_controller.state
            if state is None or state.born_ms != order.load.born_ms:
                return
            if state.sequence < order.load.sequence or state.loading:
                continue
            has_loaded = state.version == order.weights.version
            if order.layers is not None and state.layers is not None:
                has_loaded = state.layers == order.layers
            if has_loaded:
                if self.loads.trusts(order.load) and order.layers is None:
                    self.board.switching = False
                    self.report_controller.report_state()
                return
            if not state.running and clock.now() > ordered_at + ORDER_EFFECT_S:
                break
        logger.warning(
            "the engine did not load the weights, they are verified and ordered again",
            extra={
                "version": order.weights.version,
                "waited_s": round(clock.now() - ordered_at, 2),
            },
        )


def is_partial(layers: LayerRange | None) -> bool:
    """Return whether an engine holds only the layer of an order for one layer."""
    return layers is not None and layers.end - layers.start == 1


def holds(held: LayerRange | None, layers: LayerRange) -> bool:
    """Return whether an engine that holds some layers loads none for others."""
    return held is not None and held.start <= layers.start and layers.end <= held.end
