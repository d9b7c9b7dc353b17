"""
The entries that this process knows, by direct word or from others.

Who was not heard for ``SILENT_S`` is not counted on; who was not heard for
``FORGET_S`` is dropped. An address that another entry names is greeted, and counts
only once it answers. Each process greets all entries of its own failure domain up to
``OWN_DOMAIN_GREETED`` and a few of each other domain, drawn by rendezvous hash, so
that messages do not grow with the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..rendezvous import best

if TYPE_CHECKING:
    from collections.abc import Mapping

SILENT_S = 1.5  # three heartbeats of 0.5 s
FORGET_S = 20.0  # the platform's restarts and cuts end within this
OWN_DOMAIN_GREETED = 16
OTHER_DOMAIN_GREETED = 4
PEERS_NAMED = 16  # addresses in one datagram, which stays below 1,400 bytes


@dataclass(slots=True)
class Peer:
    """Another entry: who it is, what it holds and when it was last heard."""

    host: str
    failure_domain: str
    incarnation: int = 0
    heard_at: float = float("-inf")
    leaving: bool = False
    configuration_revision: int = 0
    store_revision: int = 0
    store_age_s: float = float("inf")
    weights: dict[str, int] = field(default_factory=dict)

    def live(self, now: float) -> bool:
        """Return whether the peer was heard lately."""
        return now - self.heard_at <= SILENT_S


@dataclass(slots=True)
class Peers:
    """The other entries; ``own_host`` is never among them."""

    own_host: str
    own_domain: str
    seeds: tuple[str, ...] = ()
    known: dict[str, Peer] = field(default_factory=dict)

    def hear(self, host: str, failure_domain: str, now: float) -> Peer | None:
        """Return the record of an entry that was just heard."""
        if host == self.own_host:
            return None
        peer = self.known.get(host)
        if peer is None:
            peer = self.known[host] = Peer(host, failure_domain)
        peer.failure_domain = failure_domain
        peer.heard_at = now
        return peer

    def learn(self, named: Mapping[str, str], now: float) -> None:
        """Take in hosts and their failure domains that another entry named."""
        for host, failure_domain in named.items():
            if host != self.own_host and host not in self.known:
                self.known[host] = Peer(host, failure_domain, heard_at=now - SILENT_S)

    def forget_silent(self, now: float) -> list[str]:
        """Drop the entries that were not heard for long; return their hosts."""
        gone = [
            host for host, peer in self.known.items() if now - peer.heard_at > FORGET_S
        ]
        for host in gone:
            del self.known[host]
        return gone

    def live(self, now: float) -> list[Peer]:
        """Return the entries that were heard lately."""
        return [peer for peer in self.known.values() if peer.live(now)]

    def named(self, now: float) -> dict[str, str]:
        """Return hosts and failure domains to name to others, within one datagram."""
        live = [peer.host for peer in self.live(now)]
        chosen = best(f"{self.own_host}/{int(now)}", live, PEERS_NAMED)
        return {host: self.known[host].failure_domain for host in chosen}

    def greeted(self) -> list[str]:
        """Return the hosts that get this entry's heartbeat, seeds always among them."""
        by_domain: dict[str, list[str]] = {}
        for peer in self.known.values():
            by_domain.setdefault(peer.failure_domain, []).append(peer.host)
        hosts = {seed for seed in self.seeds if seed != self.own_host}
        for domain, members in by_domain.items():
            own = domain == self.own_domain
            count = OWN_DOMAIN_GREETED if own else OTHER_DOMAIN_GREETED
            hosts.update(best(self.own_host, members, count))
        return sorted(hosts)

    def domain_members(self, failure_domain: str) -> list[str]:
        """Return the known entries of a failure domain, silent ones among them."""
        hosts = [
            peer.host
            for peer in self.known.values()
            if peer.failure_domain == failure_domain and not peer.leaving
        ]
        if failure_domain == self.own_domain:
            hosts.append(self.own_host)
        return hosts

    def domain_hosts(self, failure_domain: str, now: float) -> list[str]:
        """Return the live entries of a failure domain, this one included."""
        hosts = [
            peer.host
            for peer in self.live(now)
            if peer.failure_domain == failure_domain and not peer.leaving
        ]
        if failure_domain == self.own_domain:
            hosts.append(self.own_host)
        return hosts
