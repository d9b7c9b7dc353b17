"""
The other entries that this process knows from their heartbeats or from peers.

An entry without a heartbeat for ``PEER_TIMEOUT_S`` does not count as live, and after
``PEER_EXPIRY_S`` it is dropped. An entry that a peer reported is sent heartbeats, and
counts as live only after its own first heartbeat. Each process sends its heartbeats to
up to ``MAX_OWN_DOMAIN_RECIPIENTS`` entries of its own failure domain and to a few of
each other domain, selected by rendezvous hashing, so that the number of messages does
not grow with the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..catalogue.store_position import START_POSITION, StorePosition
from ..rendezvous import top_ranked
from .transit import TransitDelay

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..catalogue.catalogue import Catalogue

PEER_TIMEOUT_S = 1.5  # three heartbeat intervals of 0.5 s
PEER_EXPIRY_S = 20.0  # the platform's restarts and network partitions end within this
MAX_OWN_DOMAIN_RECIPIENTS = 16
MAX_OTHER_DOMAIN_RECIPIENTS = 4
# As long as an entry that has just started depends on heartbeats of seeds (YOUNG_S of
# start_shares.py).
NEW_PEER_S = 20.0
MAX_PEERS_PER_DATAGRAM = 16  # keeps a datagram below 1,400 bytes
MAX_PEERS = 1024  # above the number of entries of a fleet


@dataclass(slots=True)
class Peer:
    """
    Another entry: its identity, its versions and the time of its last heartbeat.

    ``store_age_s`` is the age of the store's last answer to that entry itself.
    ``sends_era`` is not set for an entry of an earlier release, which knows no eras.
    ``last_heartbeat_at`` of an entry that was only reported is when that happened, and
    ``reported_only`` is set until its own first heartbeat. ``new_until`` is until when
    it counts as an entry that has just started. ``transit`` measures the delay of its
    heartbeats.
    """

    host: str
    failure_domain: str
    incarnation: int = 0
    new_until: float = float("-inf")
    last_heartbeat_at: float = float("-inf")
    leaving: bool = False
    configuration_revision: int = 0
    store_position: StorePosition = START_POSITION
    sends_era: bool = True
    store_age_s: float = float("inf")
    reported_only: bool = False
    weights: dict[str, int] = field(default_factory=dict)
    evacuations_position: StorePosition = START_POSITION
    transit: TransitDelay = field(default_factory=TransitDelay)

    def live(self, now: float) -> bool:
        """Return whether the peer's last heartbeat is within the timeout."""
        return not self.reported_only and now - self.last_heartbeat_at <= PEER_TIMEOUT_S

    def is_ahead_of(self, catalogue: Catalogue) -> bool:
        """
        Return whether the peer has something later than a catalogue in any part.

        Merging the peer's catalogue makes this false, whatever the eras of both, so
        that no two entries pull from each other in turn.
        """
        configuration = catalogue.configuration
        own_revision = configuration.revision if configuration else 0
        if self.configuration_revision > own_revision:
            return True
        if self.store_position > catalogue.store_position:
            return True
        if self.evacuations_position > catalogue.evacuations.position:
            return True
        return any(
            model not in catalogue.weights or version > catalogue.weights[model].version
            for model, version in self.weights.items()
        )


@dataclass(slots=True)
class Peers:
    """The other entries by host; ``own_host`` is never among them."""

    own_host: str
    own_domain: str
    seeds: tuple[str, ...] = ()
    by_host: dict[str, Peer] = field(default_factory=dict)

    def record_heartbeat(
        self, host: str, failure_domain: str, now: float, incarnation: int = 0
    ) -> Peer | None:
        """
        Record a heartbeat of an entry and return the entry's record.

        A first heartbeat, or one of another incarnation, is of an entry that started.

        Return None for a heartbeat of this entry itself, and for one of an unknown
        entry while ``MAX_PEERS`` are known.
        """
        if host == self.own_host:
            return None
        peer = self.by_host.get(host)
        if peer is None:
            if len(self.by_host) >= MAX_PEERS:
                return None
            peer = self.by_host[host] = Peer(host, failure_domain)
        is_first = peer.reported_only or peer.last_heartbeat_at == float("-inf")
        if is_first or peer.incarnation != incarnation:
            peer.new_until = now + NEW_PEER_S
        peer.incarnation = incarnation
        peer.failure_domain = failure_domain
        peer.last_heartbeat_at = now
        peer.reported_only = False
        return peer

    def add_reported_peers(
        self, failure_domains: Mapping[str, str], now: float
    ) -> None:
        """Add entries reported by another entry, as failure domains by host."""
        for host, failure_domain in failure_domains.items():
            if len(self.by_host) >= MAX_PEERS:
                return
            if host != self.own_host and host not in self.by_host:
                self.by_host[host] = Peer(
                    host, failure_domain, last_heartbeat_at=now, reported_only=True
                )

    def expire_silent(self, now: float) -> list[str]:
        """Drop the entries without a recent heartbeat; return their hosts."""
        expired = [
            host
            for host, peer in self.by_host.items()
            if now - peer.last_heartbeat_at > PEER_EXPIRY_S
        ]
        for host in expired:
            del self.by_host[host]
        return expired

    def live(self, now: float) -> list[Peer]:
        """Return the entries whose last heartbeat is within the timeout."""
        return [peer for peer in self.by_host.values() if peer.live(now)]

    def count_heard_since(self, time: float) -> int:
        """Return how many entries sent a heartbeat after a time."""
        return sum(
            not peer.reported_only and peer.last_heartbeat_at >= time
            for peer in self.by_host.values()
        )

    def peers_to_report(self, now: float) -> dict[str, str]:
        """
        Return the failure domains by host of live entries to report to others.

        The selection fits one datagram and changes every second.
        """
        live_hosts = [peer.host for peer in self.live(now)]
        selected = top_ranked(
            f"{self.own_host}/{int(now)}", live_hosts, MAX_PEERS_PER_DATAGRAM
        )
        return {host: self.by_host[host].failure_domain for host in selected}

    def heartbeat_recipients(self) -> list[str]:
        """Return the hosts that receive this entry's heartbeats, with all seeds."""
        hosts_by_domain: dict[str, list[str]] = {}
        for peer in self.by_host.values():
            hosts_by_domain.setdefault(peer.failure_domain, []).append(peer.host)
        hosts = {seed for seed in self.seeds if seed != self.own_host}
        for domain, members in hosts_by_domain.items():
            is_own = domain == self.own_domain
            count = MAX_OWN_DOMAIN_RECIPIENTS if is_own else MAX_OTHER_DOMAIN_RECIPIENTS
            hosts.update(top_ranked(self.own_host, members, count))
        return sorted(hosts)

    def new_entries(self, now: float) -> list[str]:
        """
        Return the hosts of entries that have just started, if this entry is a seed.

        They need the heartbeats of all seeds to use their rank at cold servers, and
        ``heartbeat_recipients`` may leave them out.
        """
        if self.own_host not in self.seeds:
            return []
        return [peer.host for peer in self.by_host.values() if now < peer.new_until]

    def domain_members(self, failure_domain: str) -> list[str]:
        """
        Return the hosts of a failure domain's known entries, including silent ones.

        Leaving entries are excluded; this entry is included in its own domain.
        """
        hosts = [
            peer.host
            for peer in self.by_host.values()
            if peer.failure_domain == failure_domain and not peer.leaving
        ]
        if failure_domain == self.own_domain:
            hosts.append(self.own_host)
        return hosts

    def live_domain_hosts(self, failure_domain: str, now: float) -> list[str]:
        """
        Return the hosts of a failure domain's live entries.

        Leaving entries are excluded; this entry is included in its own domain.
        """
        hosts = [
            peer.host
            for peer in self.live(now)
            if peer.failure_domain == failure_domain and not peer.leaving
        ]
        if failure_domain == self.own_domain:
            hosts.append(self.own_host)
        return hosts
