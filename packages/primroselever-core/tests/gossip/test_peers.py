"""Entries find each other from seeds and stay few in messages."""

from __future__ import annotations

from primroselever_core.gossip.peers import (
    FORGET_S,
    OTHER_DOMAIN_GREETED,
    OWN_DOMAIN_GREETED,
    SILENT_S,
    Peers,
)


def test_seeds_are_greeted_before_anybody_is_known():
    peers = Peers("me", "a", ("me", "seed"))
    assert peers.greeted() == ["seed"]


def test_who_was_only_named_counts_once_heard():
    peers = Peers("me", "a")
    peers.learn({"other": "a", "me": "a"}, 10.0)
    assert peers.greeted() == ["other"]
    assert peers.domain_hosts("a", 10.1) == ["me"]
    peers.hear("other", "a", 10.2)
    assert sorted(peers.domain_hosts("a", 10.3)) == ["me", "other"]


def test_who_falls_silent_is_not_counted_on_and_later_forgotten():
    peers = Peers("me", "a")
    peers.hear("other", "b", 1.0)
    assert peers.live(1.0 + SILENT_S)
    assert not peers.live(1.1 + SILENT_S)
    assert peers.forget_silent(1.1 + FORGET_S) == ["other"]


def test_messages_do_not_grow_with_the_fleet():
    peers = Peers("me", "a")
    for index in range(1500):
        peers.hear(f"h{index}", "abcdef"[index % 6], 1.0)
    most = OWN_DOMAIN_GREETED + 5 * OTHER_DOMAIN_GREETED
    assert len(peers.greeted()) == most
