"""Entries that rely on readers of the store which the store no longer answers."""

from __future__ import annotations

from random import Random

import pytest

from primroselever_core.catalogue.freshness import Freshness
from primroselever_core.gossip.peers import Peers
from primroselever_core.gossip.readers import (
    first_watch_share,
    lacks_proof,
    reads_store,
)

HEARTBEAT_S = 0.5
WATCH_S = 2.5
CHECK_S = 0.2
READ_S = 0.1
STEP_S = 0.05
DOMAIN_SIZE = 11
WITHIN_S = 3.0


class SimulatedEntry:
    """An entry with watches of the store, whose answers prove what is published."""

    def __init__(self, host: str, random: Random) -> None:
        self.peers = Peers(host, "a")
        self.freshness = Freshness()
        self.next_heartbeat_at = random.uniform(0.0, HEARTBEAT_S)
        self.next_check_at = random.uniform(0.0, CHECK_S)
        self.watch_began_at = 0.0
        self.watch_ends_at: float | None = None
        self.served = True
        self.calls = 0

    def reads(self, now: float) -> bool:
        return reads_store(self.peers, now) or lacks_proof(
            self.peers, self.freshness.answer_at, WITHIN_S, now
        )

    def run(self, now: float) -> None:
        """Start a read, or end a watch, if it is time; the store may be silent."""
        if self.watch_ends_at is not None and now < self.watch_ends_at:
            return
        if self.watch_ends_at is not None and self.served:
            self.freshness.record_own_answer(now)
            self.freshness.record_own_proof(now)
        self.watch_ends_at = None
        if now < self.next_check_at:
            return
        self.next_check_at = now + CHECK_S
        if self.reads(now):
            self.calls += 1
            is_first = self.freshness.own_answer_at is None
            if is_first:
                self.freshness.record_own_answer(now)
                self.freshness.record_own_proof(now)
            share = first_watch_share(self.peers, now) if is_first else 1.0
            self.watch_began_at = now
            self.watch_ends_at = now + WATCH_S * share

    def change(self, now: float) -> None:
        """End the watch with a change, and start the first one after it."""
        if self.watch_ends_at is not None:
            self.freshness.record_own_answer(now)
            self.freshness.record_own_proof(self.watch_began_at)
            self.watch_began_at = now
            self.watch_ends_at = now + WATCH_S * first_watch_share(self.peers, now)


class SimulatedDomain:
    """The entries of one failure domain, cut off from the other domains."""

    def __init__(self, seed: int) -> None:
        random = Random(seed)
        self.now = 0.0
        hosts = [f"10.0.0.{index}" for index in range(DOMAIN_SIZE)]
        self.entries = [SimulatedEntry(host, random) for host in hosts]

    def run_until(self, end: float) -> None:
        while self.now < end:
            self.now += STEP_S
            for entry in self.entries:
                entry.run(self.now)
                if self.now >= entry.next_heartbeat_at:
                    entry.next_heartbeat_at += HEARTBEAT_S
                    self.send_heartbeat(entry)

    def send_heartbeat(self, sender: SimulatedEntry) -> None:
        answer_at = sender.freshness.own_answer_at
        for entry in self.entries:
            peer = entry.peers.record_heartbeat(sender.peers.own_host, "a", self.now)
            if peer is None or answer_at is None:
                continue
            peer.store_age_s = self.now - answer_at
            entry.freshness.record_answer(answer_at)
            entry.freshness.record_proof(sender.freshness.own_proof_at)

    def readers(self) -> list[SimulatedEntry]:
        return [entry for entry in self.entries if reads_store(entry.peers, self.now)]

    def is_watched(self) -> bool:
        """Return whether an entry that the store serves watches it."""
        return any(
            entry.served and entry.watch_ends_at is not None for entry in self.entries
        )


# Guards against an old configuration that stays in force because an entry relied on
# readers for 3.5 s after the store had last answered them.
@pytest.mark.parametrize("seed", range(40))
def test_an_entry_reads_the_store_in_time_when_its_readers_get_no_answers(seed):
    domain = SimulatedDomain(seed)
    domain.run_until(12.0)
    readers = domain.readers()
    for reader in readers:
        reader.change(domain.now)
    domain.run_until(12.0 + Random(seed).uniform(0.5, 4.0))
    for reader in readers:
        reader.served = False
    silent_at = domain.now
    while not domain.is_watched() and domain.now < silent_at + 10.0:
        domain.run_until(domain.now + STEP_S)
    # The other entries get what it reads by its heartbeat and a pull, within 0.5 s.
    assert domain.now + READ_S - silent_at <= WITHIN_S - 0.5


# Pattern: no change for a while. The readers answer in turn, so no other entry reads.
@pytest.mark.parametrize("seed", range(10))
def test_in_quiet_times_only_the_readers_call_the_store(seed):
    domain = SimulatedDomain(seed)
    domain.run_until(12.0)
    for reader in domain.readers():
        reader.change(domain.now)
    readers = domain.readers()
    calls = [entry.calls for entry in domain.entries if entry not in readers]
    domain.run_until(42.0)
    assert len(readers) == 3
    assert [e.calls for e in domain.entries if e not in readers] == calls


# Guards against weights that lapse seconds too early, as their bound counts from the
# last proof: the store must answer the readers in turn, and heartbeats tell of it.
@pytest.mark.parametrize("seed", range(10))
def test_in_quiet_times_the_last_proof_is_recent(seed):
    domain = SimulatedDomain(seed)
    domain.run_until(12.0)
    for reader in domain.readers():
        reader.change(domain.now)
    domain.run_until(12.0 + WATCH_S)
    while domain.now < 42.0:
        domain.run_until(domain.now + STEP_S)
        oldest_at = min(entry.freshness.proof_at for entry in domain.entries)
        assert domain.now - oldest_at <= WATCH_S / 3 + HEARTBEAT_S + 2 * STEP_S
