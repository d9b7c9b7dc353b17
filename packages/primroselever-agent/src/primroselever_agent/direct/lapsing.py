"""Closing the engine when its weights lapse."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.filling.loads import LoadOrder
from primroselever_core.filling.pieces import PieceDigests
from primroselever_node import clock
from primroselever_node.process import run_controller, spawn_task

if TYPE_CHECKING:
    from primroselever_core.filling.loads import LayerRange, Load
    from primroselever_core.filling.section import FillingBoard
    from primroselever_node.direct.sources import EngineState

    from .orders import OrderSender
    from .reporting import ReportController

CHECK_INTERVAL_S = 0.05
# An order that was not carried out is repeated, also before its call has timed out: the
# engine accepts only one of several with the same number.
REPEAT_ORDER_S = 0.1
# An engine may not know orders for single layers, or not answer for long. Entries alone
# keep its bound then.
QUICK_ORDERS = 3
SLOW_REPEAT_ORDER_S = 1.5
MAX_ORDERS_IN_FLIGHT = 3


class LapseController:
    """
    Orders the engine to close when its weights lapse, whatever else the agent does.

    The order waits for running requests to end. It goes to the engine by the VM itself,
    so that no link delays it. ``ordered`` is the load that the latest orders were for,
    and ``order_count`` their number.
    """

    def __init__(
        self, board: FillingBoard, orders: OrderSender, reports: ReportController
    ) -> None:
        self.board = board
        self.orders = orders
        self.reports = reports
        self.next_order_at = 0.0
        self.in_flight = 0
        self.ordered: Load | None = None
        self.order_count = 0

    def start(self) -> None:
        """Start checking in a separate greenlet."""
        run_controller(self.check, CHECK_INTERVAL_S)

    def check(self) -> None:
        """
        Close the engine if its weights have lapsed and it is not closed yet.

        An engine that does not answer may be paused, and reads the order before the
        requests that come after it.
        """
        state, now = self.reports.state or self.reports.last_state, clock.now()
        if state is None or state.loading:
            return
        if state.load != self.ordered:
            self.ordered, self.order_count, self.next_order_at = state.load, 0, 0.0
        if now < self.next_order_at or self.in_flight >= MAX_ORDERS_IN_FLIGHT:
            return
        kept = self.board.lapses.layers_to_keep(
            state.model, state.version, state.layers, now
        )
        if kept is None:
            return
        self.order_count += 1
        is_quick = self.order_count < QUICK_ORDERS
        self.next_order_at = now + (REPEAT_ORDER_S if is_quick else SLOW_REPEAT_ORDER_S)
        self.in_flight += 1
        spawn_task(self.close_engine, state, kept)

    def close_engine(self, state: EngineState, kept: LayerRange) -> None:
        """Order the engine to keep some layers, and report what it does then."""
        lapses_at = self.board.lapses.lapses_at(state.model, state.version)
        try:
            self.orders.send(
                LoadOrder(
                    PieceDigests(state.model, state.version, ()),
                    state.load,
                    layers=kept,
                    aborts_requests=self.board.loads.must_abort(state.load),
                ),
                "engine closed",
                "its weights lapse",
                drops_only=True,
                left_s=round(lapses_at - clock.now(), 3),
                running=state.running,
                waiting=state.waiting,
            )
        finally:
            self.in_flight -= 1
        self.reports.read_and_report()
