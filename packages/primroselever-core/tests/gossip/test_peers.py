"""Entries discover each other from seeds, with a limited number of messages."""

from __future__ import annotations

from primroselever_core.gossip.peers import (
    MAX_OTHER_DOMAIN_RECIPIENTS,
    MAX_OWN_DOMAIN_RECIPIENTS,
    PEER_EXPIRY_S,
    PEER_TIMEOUT_S,
    Peers,
)


def test_seeds_receive_heartbeats_before_any_entry_is_known():
    peers = Peers("me", "a", ("me", "seed"))
    assert peers.heartbeat_recipients() == ["seed"]


def test_a_reported_entry_is_live_only_after_its_first_heartbeat():
    peers = Peers("me", "a")
    peers.add_reported_peers({"other": "a", "me": "a"}, 10.0)
    assert peers.heartbeat_recipients() == ["other"]
    assert peers.live_domain_hosts("a", 10.0) == ["me"]
    assert peers.live_domain_hosts("a", 10.1) == ["me"]
    peers.record_heartbeat("other", "a", 10.2)
    assert sorted(peers.live_domain_hosts("a", 10.3)) == ["me", "other"]


def test_a_silent_entry_is_not_live_and_is_later_dropped():
    peers = Peers("me", "a")
    peers.record_heartbeat("other", "b", 1.0)
    assert peers.live(1.0 + PEER_TIMEOUT_S)
    assert not peers.live(1.1 + PEER_TIMEOUT_S)
    assert peers.expire_silent(1.1 + PEER_EXPIRY_S) == ["other"]


def test_the_number_of_recipients_does_not_grow_with_the_fleet():
    peers = Peers("me", "a")
    for index in range(1500):
        peers.record_heartbeat(f"h{index}", "abcdef"[index % 6], 1.0)
    max_recipients = MAX_OWN_DOMAIN_RECIPIENTS + 5 * MAX_OTHER_DOMAIN_RECIPIENTS
    assert len(peers.heartbeat_recipients()) == max_recipients
