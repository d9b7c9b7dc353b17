"""
Selection of the entries of a failure domain that read the platform's store.

If every entry of a large fleet read the store, each change would cross the links
between regions once per entry, and in a burst of changes an update that must be in
force within seconds would queue behind copies of itself. Therefore a few entries of
each failure domain read the store and the others fetch the catalogue from them. An
entry that knows too few higher-ranked readers with a recent answer of the store reads
it itself, so that no entry depends on a reader that is cut off, and no list of all
members is needed in large domains.

A reader learns late that the store no longer answers it: its watch may wait. So an
entry also reads the store if no other one proved for some time that nothing later is
published. The store answers the readers of a domain at different times, so that in
quiet times the latest proof is never old.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..catalogue.catalogue import OUTAGE_S
from ..rendezvous import hash64

if TYPE_CHECKING:
    from .peers import Peer, Peers

# Faults rarely hit this many entries at once; each reader costs a copy of each change.
READERS_PER_DOMAIN = 3
# Of the time in which a configuration must be in force. The rest is for the read.
PROOF_SHARE = 0.6
PROOF_SPREAD_SHARE = 0.1  # keeps the entries of a domain from reading at once


def reads_store(peers: Peers, now: float, store_era: int = 0) -> bool:
    """
    Return whether this process should read the store itself.

    ``store_era`` is the era of its list of back ends. Once the store was restored, an
    entry of an earlier release, which sends no era, does not replace this reader.
    """
    return count_higher_ranked(peers, now, store_era) < READERS_PER_DOMAIN


def count_higher_ranked(peers: Peers, now: float, store_era: int = 0) -> int:
    """Return how many readers of the failure domain are ranked above this process."""
    own_rank = reader_rank(peers, peers.own_host)
    return sum(
        1
        for peer in peers.live(now)
        if is_reader(peer, peers.own_domain)
        and (peer.sends_era or store_era == 0)
        and reader_rank(peers, peer.host) > own_rank
    )


def first_watch_share(peers: Peers, now: float) -> float:
    """
    Return the share of the usual wait for the first watch after a change.

    A change ends the watches of all readers at the same time. With different first
    waits, the store's next answers to them are spread over the usual wait.
    """
    position = count_higher_ranked(peers, now) % READERS_PER_DOMAIN
    return (position + 1) / READERS_PER_DOMAIN


def lacks_proof(
    peers: Peers, answer_at: float | None, within_s: float, now: float
) -> bool:
    """
    Return whether the last answer that nothing later is published is too old.

    ``answer_at`` is when this process or a peer read it. The time of which it tells for
    certain would not do: a change ends the watches of all readers, and their answers
    tell of the times of the calls, so that other entries would read the store as well.
    ``within_s`` is the time in seconds in which a configuration must be in force.
    """
    if answer_at is None:
        return False
    spread = hash64(f"{peers.own_domain}/proof", peers.own_host) / 2**64
    return now - answer_at > within_s * (PROOF_SHARE + PROOF_SPREAD_SHARE * spread)


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
