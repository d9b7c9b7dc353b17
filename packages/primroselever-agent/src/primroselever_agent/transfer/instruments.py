"""The transfer's metrics, and its decision lines at a bounded rate."""

from __future__ import annotations

from opentelemetry import metrics

from primroselever_core.budgets import TokenBucket
from primroselever_node import clock
from primroselever_node.logs import log_decision

LINES_PER_S = 5.0
LINES_AT_ONCE = 50.0


class TransferInstruments:
    """Counts bytes and reads; make it after the meter provider is installed."""

    def __init__(self) -> None:
        meter = metrics.get_meter("primroselever.transfer")
        self.received = meter.create_counter(
            "primroselever.transfer.received", unit="By", description="verified chunks"
        )
        self.sent = meter.create_counter(
            "primroselever.transfer.sent", unit="By", description="chunks sent to peers"
        )
        self.reads = meter.create_counter(
            "primroselever.transfer.reads", unit="{read}", description="by outcome"
        )
        self.switches = meter.create_counter(
            "primroselever.transfer.switches", unit="{switch}", description="by outcome"
        )
        self.switch_time = meter.create_histogram(
            "primroselever.transfer.switch.duration",
            unit="s",
            description="admission stopped for a switch",
        )
        self.bucket = TokenBucket.full(LINES_PER_S, LINES_AT_ONCE, clock.now())
        self.left_out = 0

    def log_placement(self, subject: str, choice: str, reason: str) -> None:
        """Log a decision on a chunk; past the bounded rate only count it."""
        if not self.bucket.take_units(1.0, clock.now()):
            self.left_out += 1
            return
        log_decision("chunk", subject, choice, reason, left_out=self.left_out)
        self.left_out = 0
