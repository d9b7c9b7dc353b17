"""Only a few entries of a large failure domain read the store for all of them."""

from __future__ import annotations

from random import Random

from primroselever_core.catalogue.catalogue import OUTAGE_S
from primroselever_core.catalogue.store_position import StorePosition
from primroselever_core.gossip.peers import PEER_TIMEOUT_S, Peers
from primroselever_core.gossip.readers import READERS_PER_DOMAIN, reads_store

NOW = 100.0


class Domain:
    """Entries of one failure domain that each know all or ``known`` of the others."""

    def __init__(self, size: int, known: int = 0, domain: str = "a") -> None:
        random = Random(7)
        self.hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(size)]
        self.peers: dict[str, Peers] = {}
        self.cut_off: set[str] = set()
        for host in self.hosts:
            peers = self.peers[host] = Peers(host, domain)
            others = [other for other in self.hosts if other != host]
            for other in random.sample(others, known) if known else others:
                peers.record_heartbeat(other, domain, NOW)

    def settle(self) -> set[str]:
        """Return the readers after several rounds of heartbeats between the entries."""
        readers = set(self.hosts)
        for _round in range(20):
            for peers in self.peers.values():
                for peer in peers.by_host.values():
                    is_reading = peer.host in readers and peer.host not in self.cut_off
                    peer.store_age_s = 0.5 if is_reading else OUTAGE_S + 1
            readers = {
                host for host in self.hosts if reads_store(self.peers[host], NOW)
            }
        return readers


def test_only_a_few_entries_of_a_domain_read_the_store():
    assert len(Domain(11).settle()) == READERS_PER_DOMAIN


def test_in_a_small_domain_every_entry_reads():
    assert len(Domain(READERS_PER_DOMAIN).settle()) == READERS_PER_DOMAIN


def test_a_reader_without_answers_of_the_store_is_replaced():
    domain = Domain(11)
    domain.cut_off = set(list(domain.settle())[:2])
    readers = domain.settle()
    assert len(readers - domain.cut_off) == READERS_PER_DOMAIN


def test_a_reader_that_is_silent_or_leaving_is_replaced():
    domain = Domain(11)
    silent, leaving, _third = domain.settle()
    for peers in domain.peers.values():
        if silent in peers.by_host:
            peers.by_host[silent].last_heartbeat_at = NOW - PEER_TIMEOUT_S - 0.1
        if leaving in peers.by_host:
            peers.by_host[leaving].leaving = True
    assert len(domain.settle() - {silent, leaving}) == READERS_PER_DOMAIN


def test_an_entry_without_peers_reads():
    assert reads_store(Peers("10.0.0.1", "a"), NOW)


def test_entries_of_other_domains_do_not_count():
    peers = Peers("10.0.0.1", "b")
    for n in range(2, 12):
        peers.record_heartbeat(f"10.0.0.{n}", "a", NOW).store_age_s = 0.1
    assert reads_store(peers, NOW)


def test_in_a_large_domain_most_rely_on_readers_without_knowing_all_entries():
    domain = Domain(250, known=16)
    readers = domain.settle()
    assert len(readers) < len(domain.hosts) / 2
    for host in set(domain.hosts) - readers:
        known_hosts = {peer.host for peer in domain.peers[host].by_host.values()}
        assert len(known_hosts & readers) >= READERS_PER_DOMAIN


# Failure: the readers are entries of an earlier release, whose lists have no era, so
# that the list of this entry is never updated again.
def test_readers_that_send_no_era_do_not_replace_a_reader_after_a_restore():
    peers = Peers("10.0.0.1", "a")
    for n in range(2, 40):
        peers.record_heartbeat(f"10.0.0.{n}", "a", NOW).store_age_s = 0.1
        peers.by_host[f"10.0.0.{n}"].sends_era = False
    assert not reads_store(peers, NOW)
    assert reads_store(peers, NOW, store_era=1)


# Pattern: a restore. The first reader has its list of the new era while the others
# still have that of the era before. If those did not count as readers, all entries of
# the domain would read the store.
def test_during_a_restore_the_readers_of_the_era_before_count():
    peers = Peers("10.0.0.1", "a")
    for n in range(2, 40):
        peer = peers.record_heartbeat(f"10.0.0.{n}", "a", NOW)
        peer.store_age_s = 0.1
        peer.store_position = StorePosition(0, 200)
    assert not reads_store(peers, NOW, store_era=1)
