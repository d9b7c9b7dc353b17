"""
Which entries of a failure domain read the platform's store, and which ask them.

Answers the pattern of a burst of changes on a large fleet: with every entry reading
for itself, each change crosses the links between regions once for each of them, and
what must be in force within seconds waits behind its own copies. A few entries of each
failure domain read; the others take over what these have. Who does not hear of enough
better ranked readers with a fresh answer of the store reads for itself, so that nobody
depends on a reader that is cut off, and large domains need no list of all members.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..catalogue.catalogue import OUTAGE_S
from ..rendezvous import weight

if TYPE_CHECKING:
    from .peers import Peer, Peers

READERS = 3  # faults seldom hit so many at once, and each costs a copy of each change


def reads_store(peers: Peers, now: float) -> bool:
    """Return whether this process should read the store itself."""
    own = rank(peers, peers.own_host)
    better = sum(
        1
        for peer in peers.live(now)
        if is_reader(peer, peers.own_domain) and rank(peers, peer.host) > own
    )
    return better < READERS


def is_reader(peer: Peer, failure_domain: str) -> bool:
    """Return whether a peer lately had an answer of the store itself."""
    return (
        peer.failure_domain == failure_domain
        and not peer.leaving
        and peer.store_age_s <= OUTAGE_S
    )


def rank(peers: Peers, host: str) -> tuple[int, str]:
    """Return the order of an entry among those of its failure domain."""
    return weight(f"{peers.own_domain}/store", host), host
