"""Counting the bytes that a process sends and receives, by what they are for."""

from __future__ import annotations

from dataclasses import dataclass

from opentelemetry.metrics import get_meter

# An HTTP call costs its request, the reply's headers and the segments' headers.
HTTP_OVERHEAD_BYTES = 500
# The headers of Ethernet, IP and TCP with timestamps.
SEGMENT_OVERHEAD_BYTES = 66

counter = get_meter(__name__).create_counter(
    "primroselever.traffic",
    unit="By",
    description="Bytes sent and received, with headers, by what they are for.",
)


@dataclass(slots=True)
class Traffic:
    """The bytes and calls so far, sent and received."""

    purpose: str
    bytes: int = 0
    calls: int = 0

    def add(self, payload_bytes: int, overhead_bytes: int) -> None:
        """Count one call or segment."""
        self.bytes += payload_bytes + overhead_bytes
        self.calls += 1
        counter.add(payload_bytes + overhead_bytes, {"purpose": self.purpose})


platform_traffic = Traffic("platform")
rpc_traffic = Traffic("rpc")
