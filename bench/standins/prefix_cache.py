"""The prompt prefixes that an engine stand-in holds, limited in number."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

PREFIX_BYTES = 256


@dataclass(slots=True)
class PrefixCache:
    """
    The ``size`` most recently used prefixes.

    A prefix is a workspace and the first ``PREFIX_BYTES`` bytes of a body.
    """

    size: int
    held: OrderedDict[int, None] = field(default_factory=OrderedDict)
    hits: int = 0
    misses: int = 0

    def record_use(self, workspace: str, body: str) -> bool:
        """Record the use of a prefix and return whether it was held."""
        key = xxhash.xxh3_64_intdigest(f"{workspace}\x00{body[:PREFIX_BYTES]}".encode())
        hit = key in self.held
        self.held[key] = None
        self.held.move_to_end(key)
        while len(self.held) > self.size:
            self.held.popitem(last=False)
        self.hits += hit
        self.misses += not hit
        return hit
