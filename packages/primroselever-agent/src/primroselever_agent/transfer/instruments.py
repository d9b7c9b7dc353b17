"""Metrics of the transfer, and decision logs at a limited rate."""

from __future__ import annotations

from opentelemetry import metrics

from primroselever_core.budgets import TokenBucket
from primroselever_node import clock
from primroselever_node.logs import log_decision

LOG_LINES_PER_S = 5.0
LOG_LINES_BURST = 50.0


class TransferInstruments:
    """Counts bytes, reads and switches; create it after installing a meter provider."""

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
        self.switch_duration = meter.create_histogram(
            "primroselever.transfer.switch.duration",
            unit="s",
            description="admission stopped for a switch",
        )
        self.log_bucket = TokenBucket.full(
            LOG_LINES_PER_S, LOG_LINES_BURST, clock.now()
        )
        self.left_out = 0

    def log_chunk_decision(self, subject: str, choice: str, reason: str) -> None:
        """Log a decision on a chunk; above the rate limit, only count it."""
        if not self.log_bucket.take_units(1.0, clock.now()):
            self.left_out += 1
            return
        log_decision("chunk", subject, choice, reason, left_out=self.left_out)
        self.left_out = 0
