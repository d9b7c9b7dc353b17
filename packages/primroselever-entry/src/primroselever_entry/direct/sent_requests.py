"""The servers to which requests were sent that they may have refused."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# An entry that sends 50 requests a second, all of which are refused, remembers them for
# 5 minutes.
MAX_SENT_REQUESTS = 16384


class SentRequests:
    """
    Counts how often the latest requests were sent to each server.

    A request that the server answered other than with a refusal does not count. All
    others may have been refused, and their callers may use the same identifier again.
    The server may then write the earlier refusal once more, on any of its connections,
    and nothing in it shows that it is a copy. ``counts`` is by the server and the hash
    of the identifier, since identifiers may be long.
    """

    def __init__(self) -> None:
        self.counts: OrderedDict[tuple[str, int], int] = OrderedDict()

    def record_sent(self, server_id: str, request_id: bytes) -> None:
        """Record that a request is sent, and drop the oldest record over the limit."""
        key = server_id, hash(request_id)
        self.counts[key] = self.counts.pop(key, 0) + 1
        if len(self.counts) > MAX_SENT_REQUESTS:
            self.counts.popitem(last=False)

    def record_answered(self, server_id: str, request_id: bytes) -> None:
        """Record that a server answered a request other than with a refusal."""
        key = server_id, hash(request_id)
        count = self.counts.pop(key, 0)
        if count > 1:
            self.counts[key] = count - 1

    def was_sent_twice(self, server_id: str, request_id: bytes) -> bool:
        """Return whether a request that is sent to a server was sent there before."""
        return self.counts.get((server_id, hash(request_id)), 0) > 1

    def servers_of(self, request_id: bytes, server_ids: Iterable[str]) -> set[str]:
        """Return those of the servers that the request was sent to."""
        key = hash(request_id)
        return {each for each in server_ids if (each, key) in self.counts}
