"""Counters of the bytes that a process sends and receives, by purpose."""

from __future__ import annotations

from dataclasses import dataclass

from opentelemetry.metrics import get_meter

# The size of the request, of the response headers and of the TCP segment headers.
HTTP_OVERHEAD_BYTES = 500
# The size of the Ethernet, IP and TCP headers, with TCP timestamps.
SEGMENT_OVERHEAD_BYTES = 66

counter = get_meter(__name__).create_counter(
    "primroselever.traffic",
    unit="By",
    description="Bytes sent and received, with headers, by what they are for.",
)


@dataclass(slots=True)
class Traffic:
    """
    The bytes of one purpose, sent and received since the start.

    ``calls`` counts the HTTP calls and the reads and writes of RPC sockets.
    """

    purpose: str
    bytes: int = 0
    calls: int = 0

    def add(self, payload_bytes: int, overhead_bytes: int) -> None:
        """Count the bytes of one HTTP call, or of one read or write of a socket."""
        self.bytes += payload_bytes + overhead_bytes
        self.calls += 1
        counter.add(payload_bytes + overhead_bytes, {"purpose": self.purpose})


platform_traffic = Traffic("platform")
rpc_traffic = Traffic("rpc")
