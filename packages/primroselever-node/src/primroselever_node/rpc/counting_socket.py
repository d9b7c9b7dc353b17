"""A thrift socket that counts the bytes it sends and receives."""

from __future__ import annotations

from typing import Any

from thriftpy2.transport import TSocket

from ..traffic import SEGMENT_OVERHEAD_BYTES, rpc_traffic


class CountingSocket(TSocket):
    """Counts received and sent bytes, and one segment's headers per read or write."""

    def read(self, size: int) -> Any:
        """Receive up to ``size`` bytes."""
        data = super().read(size)
        rpc_traffic.add(len(data), SEGMENT_OVERHEAD_BYTES)
        return data

    def write(self, data: bytes) -> None:
        """Send all bytes."""
        super().write(data)
        rpc_traffic.add(len(data), SEGMENT_OVERHEAD_BYTES)
