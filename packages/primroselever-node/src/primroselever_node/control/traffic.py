"""Counting the bytes that control costs this process."""

from __future__ import annotations

from dataclasses import dataclass

from opentelemetry.metrics import get_meter

# An HTTP call costs its request, the reply's headers and the segments' headers.
HTTP_OVERHEAD_BYTES = 500
# A thrift call and its reply are two segments and their acknowledgements.
RPC_OVERHEAD_BYTES = 220

counter = get_meter(__name__).create_counter(
    "primroselever.control.bytes",
    unit="By",
    description="Bytes sent and received for control, with headers.",
)


@dataclass(slots=True)
class Traffic:
    """The bytes and calls so far, sent and received."""

    bytes: int = 0
    calls: int = 0

    def add(self, payload_bytes: int, overhead_bytes: int) -> None:
        """Count one call."""
        self.bytes += payload_bytes + overhead_bytes
        self.calls += 1
        counter.add(payload_bytes + overhead_bytes)


traffic = Traffic()
