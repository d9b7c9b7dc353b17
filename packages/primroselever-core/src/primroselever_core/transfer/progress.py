"""The progress of a transfer, for operators."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .chunk_store import ChunkStore
    from .manifest import Manifest

RATE_WINDOW_S = 5.0


@dataclass(slots=True)
class Progress:
    """
    The bytes received recently, and the total per source since the process started.

    ``arrivals`` holds the time and the size of each chunk received in the window.
    """

    arrivals: deque[tuple[float, int]] = field(default_factory=deque)
    bytes_by_source: dict[str, int] = field(default_factory=dict)

    def record_arrival(self, source: str, size: int, now: float) -> None:
        """Count a verified chunk from a source."""
        self.bytes_by_source[source] = self.bytes_by_source.get(source, 0) + size
        self.arrivals.append((now, size))
        self.drop_old_arrivals(now)

    def drop_old_arrivals(self, now: float) -> None:
        """Drop arrivals that are older than the window."""
        while self.arrivals and self.arrivals[0][0] < now - RATE_WINDOW_S:
            self.arrivals.popleft()

    def bytes_per_s(self, now: float) -> float:
        """Return the mean rate of verified bytes over the window."""
        self.drop_old_arrivals(now)
        return sum(size for _, size in self.arrivals) / RATE_WINDOW_S

    def status_fields(
        self, manifest: Manifest, store: ChunkStore, now: float
    ) -> dict[str, Any]:
        """Return the fields that ``status`` shows for the transfer of a version."""
        missing = store.missing_indexes(manifest)
        missing_bytes = sum(manifest.size_of(index) for index in missing)
        rate = self.bytes_per_s(now)
        total = sum(self.bytes_by_source.values())
        return {
            "digest": manifest.digest,
            "version": manifest.version,
            "chunks": len(manifest.chunks),
            "chunks_held": len(manifest.chunks) - len(missing),
            "bytes_missing": missing_bytes,
            "bytes_per_s": round(rate),
            "estimated_s_left": round(missing_bytes / rate, 1) if rate else None,
            "source_shares": {
                name: round(count / total, 4)
                for name, count in self.bytes_by_source.items()
            },
        }
