"""
Which other entries an entry asks for a piece before it reads the origin.

A call that is relayed carries how often that happened, so that entries with different
lists of members do not send a call in a circle.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..rendezvous import ranked
from .origin_reads import (
    MAX_HANGING_READS,
    connection_budget,
    rank_readers,
    reads_per_entry,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..catalogue.model import WeightOrigin
    from .holdings import Holdings
    from .origin_reads import Key

MAX_RELAYS = 3  # of one failure domain; with fewer, two killed entries end the search
MAX_CLAIM_HOSTS = 2  # of the own domain: the previous and the next reader
MAX_HOLDERS = 2
# How often a call is relayed: from any entry to the reader of its own domain, from
# there to the origin's domain, and to the reader there.
IN_DOMAIN_HOPS = 1
LAST_HOP = 2


@dataclass(frozen=True, slots=True)
class Relay:
    """
    An entry to ask for a piece, and the hops that the call carries.

    With ``only_held`` the entry is asked for what it holds and reads nothing.
    """

    host: str
    hops: int
    only_held: bool = False


@dataclass(frozen=True, slots=True)
class FleetView:
    """
    The entries that an entry knows when it needs a piece.

    ``members`` are the entries of its own domain that are not leaving, including itself
    and those that were silent for a moment. ``live`` holds the failure domains of all
    other live entries by host, ``leaving`` those that get no relayed calls.
    """

    own_host: str
    own_domain: str
    origin: WeightOrigin
    members: tuple[str, ...]
    live: Mapping[str, str]
    leaving: frozenset[str]
    holdings: Holdings

    @property
    def in_origin_domain(self) -> bool:
        """Return whether this entry is in the origin's failure domain."""
        return self.own_domain == self.origin.failure_domain

    @property
    def reaches_origin_domain(self) -> bool:
        """Return whether this entry or another live one is in the origin's domain."""
        return self.in_origin_domain or any(
            domain == self.origin.failure_domain and host not in self.leaving
            for host, domain in self.live.items()
        )

    @property
    def budget(self) -> int:
        """Return how many origin connections this entry's domain may open."""
        others = set(self.live.values()) | {self.origin.failure_domain}
        return connection_budget(
            self.origin.max_connections,
            self.in_origin_domain,
            len(others - {self.own_domain, self.origin.failure_domain}),
        )

    @property
    def read_limit(self) -> int:
        """Return how many reads from the origin this entry may have in progress."""
        return reads_per_entry(self.budget, len(self.members))

    @property
    def spare_reads(self) -> int:
        """Return how many more reads may hang while the origin fails."""
        share = self.budget * MAX_HANGING_READS // max(1, len(self.members))
        return min(MAX_HANGING_READS, share) if self.in_origin_domain else 0

    def rank(self, key: Key) -> list[str]:
        """Return the entries of the own domain in the order in which they read."""
        return rank_readers(key, self.members, self.budget)

    def hosts_ahead(self, key: Key) -> list[str]:
        """Return the entries of the own domain that read a piece before this one."""
        order = self.rank(key)
        return order[: order.index(self.own_host)]

    def rank_domain(self, key: Key, domain: str) -> list[str]:
        """Return the live entries of another domain, the preferred one first."""
        hosts = [
            host
            for host, host_domain in self.live.items()
            if host_domain == domain and host not in self.leaving
        ]
        return ranked("/".join(map(str, key)), hosts)

    def holders(self, key: Key, *, own_domain: bool) -> list[str]:
        """Return live entries that hold a piece, in the own domain or in the others."""
        hosts = [
            host
            for host, domain in self.live.items()
            if (domain == self.own_domain) is own_domain
        ]
        found = self.holdings.find_holders(*key, hosts)
        return ranked(f"{self.own_host}/{key}", found)[:MAX_HOLDERS]

    def relays(self, key: Key, hops: int) -> list[Relay]:
        """
        Return the entries to ask before the origin, in this order.

        An entry that only relays asks its own domain's reader, which asks the origin's
        domain: one copy crosses the link between two regions.
        """
        held = [
            Relay(host, LAST_HOP, True) for host in self.holders(key, own_domain=True)
        ]
        limit = LAST_HOP if self.in_origin_domain else IN_DOMAIN_HOPS
        if hops < limit:
            ahead = [host for host in self.hosts_ahead(key) if host in self.live]
            held += [Relay(host, limit) for host in ahead[:MAX_RELAYS]]
        return held

    def origin_relays(self, key: Key) -> list[Relay]:
        """Return the entries of other domains to ask, none in the origin's domain."""
        if self.in_origin_domain:
            return []
        held = [
            Relay(host, LAST_HOP, True) for host in self.holders(key, own_domain=False)
        ]
        ranked_hosts = self.rank_domain(key, self.origin.failure_domain)
        return held + [
            Relay(host, IN_DOMAIN_HOPS) for host in ranked_hosts[:MAX_RELAYS]
        ]

    def claim_hosts(self, key: Key, cautious: bool) -> list[str]:
        """
        Return the entries to ask before this one reads a piece from the origin.

        These are the entry that would read it without this one, the next one, and the
        known holders. ``cautious`` adds an entry that was silent for a moment and the
        preferred entry of each other domain: this entry takes over, has started after
        the version was published, or failed to read.
        """
        order = [host for host in self.rank(key) if host != self.own_host]
        hosts = [host for host in order if host in self.live][:MAX_CLAIM_HOSTS]
        if cautious:
            silent = [host for host in self.hosts_ahead(key) if host not in self.live]
            hosts += silent[:1]
            for domain in sorted(set(self.live.values()) - {self.own_domain}):
                hosts += self.rank_domain(key, domain)[:1]
        hosts += self.holders(key, own_domain=True)
        hosts += self.holders(key, own_domain=False)
        return list(dict.fromkeys(hosts))
