"""What heartbeats prove about when a version was not published yet."""

from __future__ import annotations

import pytest

from primroselever_core.direct_board import DirectBoard
from primroselever_core.gossip.peers import Peers
from primroselever_core.identity import Identity
from primroselever_node import clock
from primroselever_node.direct.gossip import GossipController

CONTACT_S = 3.0
FAST_S = 0.004
TOLERANCE_S = 0.006  # the fastest transit, and the rounding to milliseconds


class Fleet:
    """Entries on machines whose clocks differ, and the true time."""

    def __init__(self) -> None:
        self.time = 100.0
        self.clock_behind_s: dict[str, float] = {}
        self.running_host = ""

    def add(self, host: str, clock_behind_s: float) -> GossipController:
        board = DirectBoard(Identity(host, "a", "r", 1), Peers(host, "a"))
        board.catalogue.unproven_s = CONTACT_S
        entry = GossipController(board, host, 0, 1, lambda _part: None)
        entry.datagram_port.send = lambda *_args, **_options: None
        entry.puller.pull_if_behind = lambda: None
        self.clock_behind_s[host] = clock_behind_s
        return entry

    def now(self, entry: GossipController) -> float:
        """Return the time of an entry's clock."""
        return self.time - self.clock_behind_s[entry.host]

    def running_now(self) -> float:
        """Return the time of the clock of the entry that runs."""
        return self.time - self.clock_behind_s.get(self.running_host, 0.0)

    def true_time(self, entry: GossipController, time: float) -> float:
        return time + self.clock_behind_s[entry.host]

    def suspend(self, entry: GossipController, suspended_s: float) -> None:
        """Suspend a machine: the true time passes, and its clock stands still."""
        self.time += suspended_s
        self.clock_behind_s[entry.host] += suspended_s

    def receive(self, entry: GossipController, heartbeat) -> None:
        self.running_host = entry.host
        entry.receive_heartbeat(heartbeat)

    def send(self, sender, receiver, took_s: float = FAST_S) -> None:
        heartbeat = sender.build_heartbeat(self.now(sender))
        self.time += took_s
        self.receive(receiver, heartbeat)

    def answer(self, reader: GossipController) -> None:
        """Let the store answer a reader that it has no changes."""
        freshness = reader.board.catalogue.freshness
        freshness.record_own_answer(self.now(reader))
        freshness.record_own_proof(self.now(reader))

    def beat(self, reader, entry, count: int) -> None:
        """Let the store answer a reader, which sends fast heartbeats."""
        for _ in range(count):
            self.time += 0.5
            self.answer(reader)
            self.send(reader, entry)

    def publish(self, entry: GossipController, version: int) -> None:
        """Let an entry learn of a version."""
        entry.board.catalogue.publish_weights("m", version, self.now(entry))

    def bound_from(self, entry: GossipController, version: int) -> float:
        """Return the true time from which the bound on a version counts."""
        weights = entry.board.catalogue.weights["m"]
        return self.true_time(entry, weights.outdated_since(version))


@pytest.fixture
def fleet(monkeypatch):
    fleet = Fleet()
    monkeypatch.setattr(clock, "now", fleet.running_now)
    return fleet


@pytest.fixture
def pair(fleet):
    """Return a reader of the store and an entry that relies on it, with version 2."""
    reader, entry = fleet.add("127.0.0.1", 50.0), fleet.add("127.0.0.2", 80.0)
    for each in (reader, entry):
        fleet.publish(each, 2)
    fleet.beat(reader, entry, 4)
    return reader, entry


# Guards against a bound that counts from the receipt of a version: the heartbeat that
# brought it waited in a link behind other data.
def test_a_version_that_a_late_heartbeat_names_lapses_in_time(fleet, pair):
    reader, entry = pair
    proven_at = fleet.time
    fleet.time += 0.3
    published_at = fleet.time
    fleet.publish(reader, 3)
    fleet.send(reader, entry, 0.4)
    fleet.publish(entry, 3)
    assert fleet.bound_from(entry, 2) <= published_at
    assert fleet.bound_from(entry, 2) == pytest.approx(proven_at, abs=TOLERANCE_S)


# Guards against a proof that seems younger by the time for which a heartbeat waited: a
# version was published meanwhile.
def test_the_delay_of_a_heartbeat_adds_to_the_age_of_its_proof(fleet, pair):
    reader, entry = pair
    fleet.time += 0.5
    fleet.answer(reader)
    proven_at = fleet.time
    fleet.send(reader, entry, 0.4)
    fleet.publish(entry, 3)
    assert fleet.bound_from(entry, 2) == pytest.approx(proven_at, abs=TOLERANCE_S)


# Guards against a bound that is seconds too early: the entry that learns of a version
# first had an older proof than a peer whose heartbeat comes after it.
def test_a_peer_that_lacks_a_version_proves_its_absence(fleet, pair):
    reader, entry = pair
    fleet.time += 1.2
    fleet.answer(reader)
    proven_at = fleet.time
    heartbeat = reader.build_heartbeat(fleet.now(reader))
    fleet.publish(entry, 3)
    assert fleet.bound_from(entry, 2) < proven_at - 1.0
    fleet.time += FAST_S
    fleet.receive(entry, heartbeat)
    assert fleet.bound_from(entry, 2) == pytest.approx(proven_at, abs=TOLERANCE_S)


# Guards against a bound after the receipt of a version: a peer read a store that
# was restored from a copy without it.
def test_a_proof_of_absence_after_the_receipt_does_not_count(fleet, pair):
    reader, entry = pair
    fleet.publish(entry, 3)
    learned_at = fleet.time
    fleet.beat(reader, entry, 3)
    assert fleet.bound_from(entry, 2) == pytest.approx(learned_at)


# Guards against a proof by a peer that has a later version: it was published before.
def test_a_peer_that_is_ahead_proves_nothing(fleet, pair):
    reader, entry = pair
    fleet.time += 0.2
    published_at = fleet.time
    fleet.publish(reader, 3)
    fleet.beat(reader, entry, 2)
    fleet.publish(entry, 3)
    assert fleet.bound_from(entry, 2) <= published_at


# Guards against a proof by a heartbeat whose delay is unknown, as of an entry of an
# earlier release, which sends no time of sending.
def test_heartbeats_without_a_known_delay_prove_nothing(fleet):
    reader, entry = fleet.add("127.0.0.1", 50.0), fleet.add("127.0.0.2", 80.0)
    freshness = entry.board.catalogue.freshness
    fleet.answer(reader)
    for _ in range(3):
        heartbeat = reader.build_heartbeat(fleet.now(reader))
        heartbeat.sent_ms = None
        fleet.receive(entry, heartbeat)
        assert freshness.proof_at is None
    fleet.send(reader, entry)
    assert freshness.proof_at is None
    assert freshness.answer_at is not None
    fleet.send(reader, entry)
    assert freshness.proof_at is not None


# Guards against a proof that seems younger by the time for which a peer was suspended.
def test_a_suspension_of_the_sender_adds_to_the_age_of_its_proof(fleet, pair):
    reader, entry = pair
    proven_at = fleet.time
    fleet.suspend(reader, 2.0)
    fleet.time += 0.4
    fleet.send(reader, entry)
    proof_at = entry.board.catalogue.freshness.proof_at
    assert fleet.true_time(entry, proof_at) == pytest.approx(proven_at, abs=TOLERANCE_S)


# Guards against a version that was published while this entry was suspended, and whose
# bound counts from the end of that: the clock of the entry stood still, so its proofs
# and the heartbeats that waited for it seem to be of that time.
def test_heartbeats_from_a_suspension_of_the_receiver_prove_nothing(fleet, pair):
    reader, entry = pair
    waiting = []
    for _ in range(6):
        fleet.suspend(entry, 0.5)
        fleet.answer(reader)
        waiting.append(reader.build_heartbeat(fleet.now(reader)))
    fleet.suspend(entry, 0.2)
    for heartbeat in waiting:
        fleet.receive(entry, heartbeat)
    assert entry.board.catalogue.freshness.proof_at is None
    fleet.publish(entry, 3)
    assert fleet.bound_from(entry, 2) == pytest.approx(fleet.time - CONTACT_S)
    fleet.beat(reader, entry, 3)
    proof_at = entry.board.catalogue.freshness.proof_at
    assert fleet.true_time(entry, proof_at) == pytest.approx(fleet.time, abs=0.01)


# Guards against a bound on a restarted entry that is later than is proven: it takes
# the time at which an entry of an earlier release received the version.
def test_a_started_entry_keeps_its_estimate_until_a_time_is_proven(fleet, pair):
    reader, _entry = pair
    proven_at = fleet.time
    fleet.time += 0.4
    fleet.publish(reader, 3)
    started = fleet.add("127.0.0.3", 95.0)
    fleet.publish(started, 3)
    assumed_at = fleet.now(started) - 6.0
    weights = started.board.catalogue.weights["m"]
    weights.assume_absent_at(assumed_at)
    heartbeat = reader.build_heartbeat(fleet.now(reader))
    heartbeat.sent_ms = None
    fleet.receive(started, heartbeat)
    assert weights.absent_at == assumed_at
    fleet.send(reader, started)
    assert weights.absent_at == assumed_at
    fleet.send(reader, started, 0.4)
    bound_from = fleet.true_time(started, weights.absent_at)
    assert bound_from == pytest.approx(proven_at, abs=TOLERANCE_S)


# Guards against a receipt that is passed on as the time of publication: an entry had
# found the version, or had no proof for long.
def test_only_proven_times_are_passed_on(fleet):
    entry = fleet.add("127.0.0.1", 50.0)
    fleet.publish(entry, 2)
    fleet.answer(entry)
    fleet.time += 10.0
    fleet.publish(entry, 3)
    assert entry.build_heartbeat(fleet.now(entry)).weights_age_ms == {"m": {}}
    fleet.answer(entry)
    fleet.time += 0.5
    fleet.publish(entry, 4)
    fleet.time += 0.25
    ages = entry.build_heartbeat(fleet.now(entry)).weights_age_ms["m"]
    assert list(ages) == [4]
    assert ages[4] in (750, 751)
