"""Orders to the engine, one at a time, and what is known of those without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from primroselever_node import clock
from primroselever_node.direct.sources import SourceError
from primroselever_node.logs import log_decision

if TYPE_CHECKING:
    from primroselever_core.filling.loads import LoadOrder, Loads, OrderAnswer
    from primroselever_node.direct.sources import ModelServer


class OrderSender:
    """
    Sends orders and records them in the blackboard's loads.

    The engine accepts one order only after each load, so that of two that are sent side
    by side it refuses the later one.
    """

    def __init__(self, model_server: ModelServer, loads: Loads) -> None:
        self.model_server = model_server
        self.loads = loads

    def send(
        self,
        order: LoadOrder,
        decision: str,
        reason: str,
        *,
        drops_only: bool = False,
        **inputs: Any,
    ) -> OrderAnswer | None:
        """
        Send an order once; return None if the engine did not answer.

        One that ``drops_only`` loads nothing, so that the next version may be staged
        although it may still be accepted.
        """
        weights, writes = order.weights, self.loads.writes
        answer: OrderAnswer | None = None
        choice = "unanswered"
        try:
            answer = self.model_server.order_load(order)
        except SourceError as exc:
            if not drops_only:
                self.loads.record_unanswered(order, clock.now())
            reason = str(exc)
        else:
            self.loads.record_order(order, answer, writes)
            choice = answer.value
        log_decision(
            decision,
            f"{weights.model}/{weights.version}",
            choice,
            reason,
            sequence=order.previous.sequence,
            layers=order.layers and list(order.layers),
            **inputs,
        )
        return answer
