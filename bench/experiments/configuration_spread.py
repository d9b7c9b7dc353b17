"""
Measures how soon a configuration is in force in fleets of entries, in simulated time.

The entries run the core's decisions: who reads the store, who receives heartbeats and
which peer is ahead. Watches, heartbeats and pulls are events of a simulation with the
constants of the node package. A share of the entries gets no answer from the store;
these are drawn anew for each fleet. It runs in one process, without sockets.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

from primroselever_core.catalogue.freshness import Freshness
from primroselever_core.gossip.peers import Peers
from primroselever_core.gossip.readers import (
    first_watch_share,
    lacks_proof,
    reads_store,
)
from primroselever_node.direct.catalogue_pulls import (
    MAX_DISTANT_PULLS,
    MAX_PULLS,
    NEXT_PULL_S,
    PULL_DELAY_S,
)
from primroselever_node.direct.follower import READ_ROLE_CHECK_S, WATCH_WAIT_S
from primroselever_node.direct.gossip import CHANGE_HEARTBEAT_DELAY_S, HEARTBEAT_S

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

DOMAINS = 5
WITHIN_S = 3.0  # the time in which a configuration must be in force
IN_DOMAIN_S = 0.0002  # one way
BETWEEN_DOMAINS_S = 0.0055
STORE_ANSWER_S = 0.004
UNANSWERED_S = 3.1  # after which a watch that gets no answer is repeated
HEARTBEAT_BYTES = 400
COPY_BYTES = 6000  # a compressed catalogue
START_S = 8.0  # in which the readers settle before the first change


@dataclass(slots=True)
class Entry:
    """An entry of the simulation; ``watch`` numbers its calls of the store."""

    peers: Peers
    answered: bool
    freshness: Freshness = field(default_factory=Freshness)
    revision: int = 1
    watch: int = 0
    watching: bool = False
    pulls: set[str] = field(default_factory=set)
    next_pull_at: float = 0.0

    @property
    def host(self) -> str:
        """Return the entry's host."""
        return self.peers.own_host


class Simulation:
    """A fleet of entries, a store and the events among them, in order of their time."""

    def __init__(self, count: int, refused_share: float, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.published = 1
        self.published_at = 0.0
        self.store_calls = 0
        self.bytes_between = 0
        self.in_force_s: list[float] = []
        hosts = [f"10.{n % DOMAINS}.{n // 250}.{n % 250}" for n in range(count)]
        self.domains = {host: f"d{n % DOMAINS}" for n, host in enumerate(hosts)}
        refused = set(self.random.sample(hosts, round(refused_share * count)))
        self.entries = {
            host: Entry(
                Peers(host, self.domains[host], tuple(hosts[:3])), host not in refused
            )
            for host in hosts
        }
        for entry in self.entries.values():
            entry.peers.add_reported_peers(self.domains, self.now)
            self.after(self.random.uniform(0, HEARTBEAT_S), self.beating(entry))
            self.after(self.random.uniform(0, READ_ROLE_CHECK_S), self.following(entry))

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), event))

    def run_until(self, end: float) -> None:
        """Run the events until a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _order, event = heapq.heappop(self.events)
            event()
        self.now = end

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return the time that a message takes, in seconds."""
        if self.domains[sender] == self.domains[receiver]:
            return IN_DOMAIN_S
        return BETWEEN_DOMAINS_S

    def count_bytes(self, sender: str, receiver: str, size: int) -> None:
        """Count the bytes of a message between failure domains."""
        if self.domains[sender] != self.domains[receiver]:
            self.bytes_between += size

    def publish(self) -> None:
        """Publish a configuration, which ends the watches that the store answers."""
        self.published += 1
        self.published_at = self.now
        for entry in self.entries.values():
            if entry.watching and entry.answered:
                self.after(STORE_ANSWER_S, self.answering(entry))

    def answering(self, entry: Entry) -> Callable[[], None]:
        """Return the event of the store's answer to the present call of an entry."""
        watch = entry.watch
        return lambda: self.learn(entry, watch)

    def learn(self, entry: Entry, watch: int) -> None:
        """Let an entry receive the answer to a call, unless it had one already."""
        if not entry.watching or entry.watch != watch:
            return
        entry.watching = False
        entry.freshness.record_own_answer(self.now)
        changed = entry.revision < self.published
        self.put_in_force(entry, self.published)
        self.follow(entry, changed)

    def put_in_force(self, entry: Entry, revision: int) -> None:
        """Put a revision in force at an entry, and publish it to its domain soon."""
        if revision <= entry.revision:
            return
        entry.revision = revision
        if revision == self.published:
            self.in_force_s.append(self.now - self.published_at)
        self.after(
            CHANGE_HEARTBEAT_DELAY_S, lambda: self.beat(entry, own_domain_only=True)
        )

    def following(self, entry: Entry) -> Callable[[], None]:
        """Return the event of an entry's check whether to read the store."""
        return lambda: self.follow(entry, changed=True)

    def follow(self, entry: Entry, changed: bool) -> None:
        """Watch the store, or check again later whether to read it."""
        peers, answer_at = entry.peers, entry.freshness.answer_at
        if not reads_store(peers, self.now) and not lacks_proof(
            peers, answer_at, WITHIN_S, self.now
        ):
            self.after(READ_ROLE_CHECK_S, self.following(entry))
            return
        self.store_calls += 1
        entry.watching = True
        entry.watch += 1
        if not entry.answered:
            self.after(UNANSWERED_S, lambda: self.end_unanswered(entry))
        elif entry.revision < self.published or entry.freshness.own_answer_at is None:
            self.after(STORE_ANSWER_S, self.answering(entry))
        else:
            share = first_watch_share(peers, self.now) if changed else 1.0
            self.after(WATCH_WAIT_S * share, self.answering(entry))

    def end_unanswered(self, entry: Entry) -> None:
        """End a watch that the store did not answer."""
        entry.watching = False
        self.follow(entry, changed=False)

    def beating(self, entry: Entry) -> Callable[[], None]:
        """Return the event of an entry's regular heartbeat."""

        def event() -> None:
            self.beat(entry)
            self.after(HEARTBEAT_S, event)

        return event

    def beat(self, entry: Entry, own_domain_only: bool = False) -> None:
        """Send a heartbeat."""
        answer_at = entry.freshness.own_answer_at
        for host in entry.peers.heartbeat_recipients():
            if own_domain_only and self.domains[host] != self.domains[entry.host]:
                continue
            self.count_bytes(entry.host, host, HEARTBEAT_BYTES)
            arrival = self.receiving(
                self.entries[host], entry.host, entry.revision, answer_at
            )
            self.after(self.delay_s(entry.host, host), arrival)

    def receiving(
        self, entry: Entry, sender: str, revision: int, answer_at: float | None
    ) -> Callable[[], None]:
        """Return the event of a heartbeat's arrival at an entry."""

        def event() -> None:
            peer = entry.peers.record_heartbeat(sender, self.domains[sender], self.now)
            if peer is None:
                return
            peer.configuration_revision = revision
            if answer_at is not None:
                peer.store_age_s = self.now - answer_at
                if revision <= entry.revision:
                    entry.freshness.record_answer(answer_at)
            self.pull_if_behind(entry)

        return event

    def pull_if_behind(self, entry: Entry) -> None:
        """Pull from a peer that is ahead, as ``CataloguePuller`` does."""
        if len(entry.pulls) >= MAX_PULLS or self.now < entry.next_pull_at:
            return
        own_domain = entry.peers.own_domain
        distant = sum(self.domains[host] != own_domain for host in entry.pulls)
        ahead = [
            peer
            for peer in entry.peers.live(self.now)
            if peer.host not in entry.pulls
            and peer.configuration_revision > entry.revision
            and (peer.failure_domain == own_domain or distant < MAX_DISTANT_PULLS)
        ]
        if not ahead:
            return
        peer = min(
            ahead,
            key=lambda each: (
                each.failure_domain != own_domain,
                -each.last_heartbeat_at,
            ),
        )
        entry.pulls.add(peer.host)
        entry.next_pull_at = self.now + NEXT_PULL_S
        delayed = peer.failure_domain != own_domain or reads_store(
            entry.peers, self.now
        )
        way_s = 2 * self.delay_s(peer.host, entry.host)
        wait_s = (PULL_DELAY_S if delayed else 0.0) + way_s
        self.after(wait_s, lambda: self.end_pull(entry, peer.host))
        self.after(NEXT_PULL_S, lambda: self.pull_if_behind(entry))

    def end_pull(self, entry: Entry, host: str) -> None:
        """Merge the copy of a peer."""
        entry.pulls.discard(host)
        entry.next_pull_at = 0.0
        revision = self.entries[host].revision
        if revision > entry.revision:
            self.count_bytes(host, entry.host, COPY_BYTES)
            self.put_in_force(entry, revision)


def quantile(values: list[float], share: float) -> float | None:
    """Return the value below which a share of the values lies, None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def measure(
    count: int, refused_share: float, changes: int, seed: int
) -> dict[str, Any]:
    """Return the figures of one fleet."""
    simulation = Simulation(count, refused_share, seed)
    simulation.run_until(START_S)
    calls, size = simulation.store_calls, simulation.bytes_between
    lacking: Counter[int] = Counter()
    for _change in range(changes):
        # Longer than it takes to come into force, and no multiple of any interval.
        simulation.publish()
        simulation.run_until(simulation.now + simulation.random.uniform(3.0, 4.5))
        lacking[simulation.published] = sum(
            entry.revision < simulation.published
            for entry in simulation.entries.values()
        )
    return {
        "entries": count,
        "refused": refused_share,
        "in_force_p50_s": quantile(simulation.in_force_s, 0.5),
        "in_force_p99_s": quantile(simulation.in_force_s, 0.99),
        "in_force_most_s": quantile(simulation.in_force_s, 1.0),
        "lacking": sum(lacking.values()),
        "store_calls_a_change": round((simulation.store_calls - calls) / changes, 1),
        "bytes_between_domains_a_change": round(
            (simulation.bytes_between - size) / changes
        ),
    }


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--entries", type=int, nargs="+", default=[8, 32, 100, 300])
    parser.add_argument("--refused", type=float, nargs="+", default=[0.0, 0.35, 1.0])
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--seeds", type=int, default=3)


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run the experiment and return its results."""
    fleets = [
        measure(count, refused, arguments.changes, seed)
        for count in arguments.entries
        for refused in arguments.refused
        for seed in range(arguments.seeds)
    ]
    return {"within_s": WITHIN_S, "fleets": fleets}
