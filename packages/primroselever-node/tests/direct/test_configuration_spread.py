"""How soon a configuration that a peer names is in force, beside peers that fail."""

from __future__ import annotations

import eventlet
import pytest

from primroselever_node import clock

from .test_gossip import LoopbackEntries, configuration, wait_until

# Half of the shortest time in which a configuration must be in force.
IN_FORCE_S = 1.0


@pytest.fixture
def entries():
    return LoopbackEntries()


# Guards against a configuration that comes into force late because the first peer that
# named it lost power or froze: the pull from it blocked those from all other peers.
@pytest.mark.parametrize("silent_count", [1, 3])
def test_a_silent_peer_does_not_delay_a_configuration_that_others_have(
    entries, silent_count
):
    sound = entries.add("127.0.0.1")
    behind = entries.add("127.0.0.2")
    wait_until(lambda: sound.board.peers.live(clock.now()))
    wait_until(lambda: behind.board.peers.live(clock.now()))
    for index in range(silent_count):
        host = f"127.0.0.{index + 3}"
        # The connection is accepted, and nothing is ever read or answered.
        entries.listen_silently(host)
        heartbeat = sound.build_heartbeat(clock.now())
        heartbeat.host, heartbeat.configuration_revision = host, 7
        behind.receive_heartbeat(heartbeat)
        eventlet.sleep(0)
    sound.board.catalogue.configure(configuration(7), clock.now())
    sound.publish_catalogue_change()
    published_at = clock.now()
    wait_until(lambda: behind.board.catalogue.configuration is not None)
    assert clock.now() - published_at <= IN_FORCE_S


def test_peers_that_refuse_connections_are_asked_at_a_bounded_rate(entries):
    behind = entries.add("127.0.0.2")
    attempts = []
    behind.puller.pull = lambda peer: (
        attempts.append(peer.host),
        behind.puller.pulls.pop(peer.host),
    )
    peers = [
        behind.board.peers.record_heartbeat(f"127.0.0.{index}", "a", clock.now())
        for index in range(3, 9)
    ]
    for peer in peers:
        peer.configuration_revision = 7
    for _heartbeat in range(50):
        behind.puller.pull_if_behind()
        eventlet.sleep(0.02)
    assert len(attempts) <= 4


# Pattern: a congested link between failure domains, over which all copies are slow.
def test_at_most_two_copies_are_pulled_from_other_failure_domains(entries):
    behind = entries.add("127.0.0.2")
    behind.puller.pull = lambda peer: eventlet.sleep(3600)
    for index in range(3, 9):
        domain = "a" if index == 8 else "b"
        host = f"127.0.0.{index}"
        peer = behind.board.peers.record_heartbeat(host, domain, clock.now())
        peer.configuration_revision = 7
    for _pull in range(4):
        behind.puller.next_pull_at = 0.0
        behind.puller.pull_if_behind()
    assert sorted(behind.puller.pulls.values()) == ["a", "b", "b"]
