"""
Selection of the entries of a failure domain that read the platform's store.

If every entry of a large fleet read the store, each change would cross the links
between regions once per entry, and in a burst of changes an update that must be in
force within seconds would queue behind copies of itself. Therefore a few entries of
each failure domain read the store and the others fetch the catalogue from them. An
entry that knows too few higher-ranked readers with a recent answer of the store reads
it itself, so that no entry depends on a reader that is cut off, and no list of all
members is needed in large domains.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..catalogue.catalogue import OUTAGE_S
from ..rendezvous import hash64

if TYPE_CHECKING:
    from .peers import Peer, Peers

# Faults rarely hit this many entries at once; each reader costs a copy of each change.
READERS_PER_DOMAIN = 3


def reads_store(peers: Peers, now: float, store_era: int = 0) -> bool:
    """
    Return whether this process should read the store itself.

    ``store_era`` is the era of its list of back ends. Once the store was restored, an
    entry of an earlier release, which sends no era, does not replace this reader.
    """
    own_rank = reader_rank(peers, peers.own_host)
    higher_ranked = sum(
        1
        for peer in peers.live(now)
        if is_reader(peer, peers.own_domain)
        and (peer.sends_era or store_era == 0)
        and reader_rank(peers, peer.host) > own_rank
    )
    return higher_ranked < READERS_PER_DOMAIN


def is_reader(peer: Peer, failure_domain: str) -> bool:
    """Return whether a peer of a failure domain read the store itself recently."""
    return (
        peer.failure_domain == failure_domain
        and not peer.leaving
        and peer.store_age_s <= OUTAGE_S
    )


def reader_rank(peers: Peers, host: str) -> tuple[int, str]:
    """Return the sort key of an entry among those of the failure domain."""
    return hash64(f"{peers.own_domain}/store", host), host
