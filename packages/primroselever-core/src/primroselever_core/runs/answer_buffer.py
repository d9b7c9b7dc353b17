"""Buffer of a growing answer that is read by offset, so that reads are repeatable."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash


@dataclass(slots=True)
class AnswerBuffer:
    """
    The bytes of one answer, appended at the end and read from any offset.

    ``limit_bytes`` bounds the length of the answer. A run whose answer exceeds it
    fails; the answer is never truncated.
    """

    limit_bytes: int
    data: bytearray = field(default_factory=bytearray)

    def append(self, new_bytes: bytes) -> bool:
        """Append bytes if the limit allows it; return whether they were appended."""
        if len(self.data) + len(new_bytes) > self.limit_bytes:
            return False
        self.data += new_bytes
        return True

    def read(self, offset: int, max_bytes: int) -> bytes:
        """Return at most ``max_bytes`` bytes, starting at ``offset``."""
        return bytes(self.data[offset : offset + max_bytes])

    def digest(self) -> str:
        """Return the digest of all bytes appended so far."""
        return xxhash.xxh3_128_hexdigest(bytes(self.data))
