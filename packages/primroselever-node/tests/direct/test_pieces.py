"""Pieces are read once and verified, from a peer or else from the origin."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from types import SimpleNamespace

import eventlet
import pytest

from primroselever_core.catalogue.model import (
    CallerLimits,
    Configuration,
    Service,
    WeightOrigin,
)
from primroselever_core.direct_board import DirectBoard
from primroselever_core.filling import origin_reads
from primroselever_core.filling.origin_reads import rank_readers
from primroselever_core.filling.pieces import PieceDigests
from primroselever_core.gossip.peers import Peers
from primroselever_core.identity import Identity
from primroselever_node import clock
from primroselever_node.direct import origin_reader, prefetch
from primroselever_node.direct.peer_handler import DirectPeerHandler
from primroselever_node.direct.pieces import PieceKeeper
from primroselever_node.direct.schema import schema
from primroselever_node.direct.sources import SourceError
from primroselever_node.rpc.server import RpcServer

PIECES = [bytes([index]) * 8 for index in range(4)]
MANIFEST = PieceDigests(
    "m", 2, tuple(hashlib.sha256(piece).hexdigest() for piece in PIECES)
)
ORIGIN = WeightOrigin(("10.0.0.9", 1), "a", 64)


def answer_no_call(*_args, **_keywords):
    raise SourceError("no answer")


class FakeOrigin:
    def __init__(self) -> None:
        self.manifests = [MANIFEST]
        self.corrupt_indexes: list[int] = []
        self.reads: list[int] = []
        self.read_versions: list[int] = []
        self.down = False
        self.failing_indexes: set[int] = set()

    def read_manifest(self, origin, model, version):
        if self.down:
            raise SourceError("down")
        manifest = (
            self.manifests.pop(0) if len(self.manifests) > 1 else self.manifests[0]
        )
        return replace(manifest, version=version)

    def read_piece(self, origin, model, version, index):
        self.reads.append(index)
        eventlet.sleep(0)
        if self.down or index in self.failing_indexes:
            raise SourceError("down")
        self.read_versions.append(version)
        if index in self.corrupt_indexes:
            self.corrupt_indexes.remove(index)
            return b"spoilt"
        return PIECES[index]


@pytest.fixture
def make_keeper(monkeypatch):
    monkeypatch.setattr(prefetch, "RETRY_S", 0.001)
    monkeypatch.setattr(origin_reads, "FIRST_RETRY_S", 0.001)
    monkeypatch.setattr(origin_reads, "MAX_RETRY_S", 0.002)
    monkeypatch.setattr(origin_reader, "START_DELAY_S", 0.0)
    monkeypatch.setattr(origin_reader, "REPEATED_MANIFEST_WAIT_S", 0.002)

    def make(domain: str = "a") -> PieceKeeper:
        board = DirectBoard(Identity("e", domain, "r", 1), Peers("10.0.0.1", domain))
        board.catalogue.configure(
            Configuration(
                1,
                (),
                (Service("w", 8, origin=ORIGIN),),
                CallerLimits(1, 1, 1, 1),
            ),
            1.0,
        )
        keeper = PieceKeeper(board, FakeOrigin(), 1)
        keeper.call_entry = answer_no_call
        return keeper

    return make


def test_a_piece_is_read_once_for_concurrent_callers(make_keeper):
    keeper = make_keeper()
    pool = eventlet.GreenPool()
    pieces = list(pool.imap(lambda _: keeper.get_piece("m", 2, 1, 0), range(5)))
    assert pieces == [PIECES[1]] * 5
    wait_for_pieces(keeper, {0, 1, 2, 3})
    assert sorted(keeper.reader.source.reads) == [0, 1, 2, 3]


def test_a_corrupt_piece_is_read_again(make_keeper):
    keeper = make_keeper()
    keeper.reader.source.corrupt_indexes = [2]
    assert keeper.get_piece("m", 2, 2, 0) == PIECES[2]
    wait_for_pieces(keeper, {0, 1, 2, 3})
    assert sorted(keeper.reader.source.reads) == [0, 1, 2, 2, 3]


def test_a_corrupt_manifest_is_outvoted(make_keeper):
    keeper = make_keeper()
    wrong = PieceDigests("m", 2, ("00",))
    keeper.reader.source.manifests = [MANIFEST, wrong, MANIFEST]
    assert keeper.get_manifest("m", 2, 0) == MANIFEST


# Guards against weights of the version before that are kept, sent and loaded as the
# new one: each hop compares pieces with the manifest only.
def test_a_manifest_of_the_version_before_is_not_kept_for_the_next(
    make_keeper, monkeypatch
):
    keeper = make_keeper()
    keeper.prefetcher.start = lambda *_: None
    keeper.manifests["m", 2] = MANIFEST
    newer = PieceDigests("m", 3, tuple(reversed(MANIFEST.digests)))
    published = eventlet.event.Event()
    sleep = eventlet.sleep

    def publish_after(seconds):
        if seconds == origin_reader.REPEATED_MANIFEST_WAIT_S:
            published.send()
        sleep(seconds)

    monkeypatch.setattr(origin_reader.eventlet, "sleep", publish_after)
    keeper.reader.source.read_manifest = lambda _origin, _model, version: replace(
        newer if published.ready() else MANIFEST, version=version
    )
    assert keeper.get_manifest("m", 3, 0) == newer


def test_a_version_that_repeats_another_one_is_read_after_the_wait(make_keeper):
    """A version is published again under a higher number to undo a newer one."""
    keeper = make_keeper()
    keeper.manifests["m", 2] = MANIFEST
    assert keeper.get_manifest("m", 3, 0) == replace(MANIFEST, version=3)
    assert keeper.get_piece("m", 3, 1, 0) == PIECES[1]


# Guards against reads of the origin whose bytes are dropped: a caller whose manifest
# differs requests a piece that this entry's manifest does not name, again and again.
@pytest.mark.parametrize("index", [len(PIECES), 100, -1])
def test_a_piece_that_the_manifest_does_not_name_is_not_read(make_keeper, index):
    keeper = make_keeper()
    keeper.prefetcher.start = lambda *_: None
    handler = DirectPeerHandler(keeper.board, keeper)
    assert handler.fetch_piece("m", 2, index, False, 0, 0, 0).state == "pending"
    assert keeper.reader.source.reads == []


def test_a_failed_read_raises_and_a_later_one_succeeds(make_keeper):
    keeper = make_keeper()
    keeper.reader.source.down = True
    with pytest.raises(SourceError):
        keeper.get_piece("m", 2, 0, 0)
    keeper.reader.source.down = False
    eventlet.sleep(origin_reads.MAX_RETRY_S)
    assert keeper.get_piece("m", 2, 0, 0) == PIECES[0]


def test_another_domain_reads_from_an_owner_in_the_origins_domain(make_keeper):
    keeper = make_keeper("b")
    keeper.board.peers.record_heartbeat("10.0.0.2", "a", clock.now())
    calls = []

    def call_entry(host, method, *args):
        calls.append((host, method))
        if method == "fetch_digests":
            return list(MANIFEST.digests)
        if len(calls) == 2:
            return SimpleNamespace(state="reading", data=b"")
        return SimpleNamespace(state="held", data=PIECES[3])

    keeper.call_entry = call_entry
    assert keeper.get_piece("m", 2, 3, 0) == PIECES[3]
    assert keeper.reader.source.reads == []
    assert [method for _host, method in calls] == [
        "fetch_digests",
        "fetch_piece",
        "fetch_piece",
    ]


def add_entries_beside_the_origin(keeper, count: int = 5) -> list[str]:
    hosts = [f"10.0.0.{index}" for index in range(2, 2 + count)]
    for host in hosts:
        keeper.board.peers.record_heartbeat(host, "a", clock.now())
    return hosts


def test_a_piece_is_read_from_its_owner_in_the_origins_domain(make_keeper):
    # Entries of other domains know some of the entries here only, and call others than
    # the owner. Each of these would read a copy from the origin.
    keeper = make_keeper()
    hosts = add_entries_beside_the_origin(keeper)
    keeper.manifests["m", 2] = MANIFEST
    calls = []

    def call_entry(host, method, *args, timeout_s=0.0):
        if args[-1] is not None:
            return SimpleNamespace(state="absent", holder=None)
        calls.append((host, *args[2:-1]))
        return SimpleNamespace(state="held", data=PIECES[args[2]])

    keeper.call_entry = call_entry
    for index in range(len(PIECES)):
        assert keeper.get_piece("m", 2, index, 1) == PIECES[index]
    owned = find_owned_indexes(keeper, [*hosts, "10.0.0.1"])
    assert sorted(keeper.reader.source.reads) == owned
    assert {index for _, index, *_ in calls} == set(range(4)) - set(owned)
    assert {hops for *_, hops in calls} == {2}


def test_a_call_that_was_relayed_twice_is_not_relayed_again(make_keeper):
    keeper = make_keeper()
    add_entries_beside_the_origin(keeper)
    keeper.manifests["m", 2] = MANIFEST
    for index in range(len(PIECES)):
        keeper.get_piece("m", 2, index, 2)
    assert sorted(keeper.reader.source.reads) == [0, 1, 2, 3]


def test_a_call_relayed_in_another_domain_goes_to_the_origins_domain(make_keeper):
    """Two entries that each take the other for the reader relayed it in a circle."""
    keeper = make_keeper("b")
    for host in ("10.0.0.3", "10.0.0.4", "10.0.0.5"):
        keeper.board.peers.record_heartbeat(host, "b", clock.now())
    keeper.board.peers.record_heartbeat("10.0.0.2", "a", clock.now())
    keeper.manifests["m", 2] = MANIFEST
    calls = []

    def call_entry(host, method, *args):
        calls.append((host, args[-2]))
        return SimpleNamespace(state="held", data=PIECES[args[2]])

    keeper.call_entry = call_entry
    for index in range(len(PIECES)):
        assert keeper.get_piece("m", 2, index, 1) == PIECES[index]
    assert calls == [("10.0.0.2", 1)] * len(PIECES)
    assert keeper.reader.source.reads == []


@pytest.mark.parametrize("state", ["pending", "reading"])
def test_the_origin_is_not_read_if_a_relay_answers(make_keeper, monkeypatch, state):
    """A slow origin got more readers, because entries gave up waiting for a relay."""
    monkeypatch.setattr("primroselever_node.direct.pieces.RELAY_WAIT_S", 0.0)
    keeper = make_keeper("b")
    keeper.board.peers.record_heartbeat("10.0.0.2", "a", clock.now())
    keeper.manifests["m", 2] = MANIFEST
    reply = SimpleNamespace(state=state, data=b"")
    keeper.call_entry = lambda *_: reply
    with pytest.raises(SourceError):
        keeper.get_piece("m", 2, 3, 0)
    assert keeper.reader.source.reads == []


def test_a_requested_piece_is_read_until_the_origin_is_back(make_keeper):
    """Without a second request, no entry would read it after the failure."""
    keeper = make_keeper("b")
    keeper.board.peers.record_heartbeat("10.0.0.2", "a", clock.now())
    keeper.manifests["m", 2] = MANIFEST
    keeper.reader.source.down = True
    handler = DirectPeerHandler(keeper.board, keeper)
    assert handler.fetch_piece("m", 2, 3, False, 0, 0, 0).state == "pending"
    with eventlet.Timeout(2):
        while keeper.reader.source.reads.count(3) < 2:
            eventlet.sleep(0.005)
    keeper.reader.source.down = False
    wait_for_pieces(keeper, {0, 1, 2, 3})


def test_only_the_newest_versions_are_kept(make_keeper):
    keeper = make_keeper()
    for version in (1, 2, 3):
        keeper.reader.source.manifests = [PieceDigests("m", version, MANIFEST.digests)]
        keeper.get_piece("m", version, 0, 0)
    assert {version for _model, version, _index in keeper.pieces} == {2, 3}


@pytest.fixture
def prefetching_keeper(make_keeper, monkeypatch):
    monkeypatch.setattr(origin_reader, "START_DELAY_S", 0.03)
    return make_keeper()


def run_prefetch(keeper) -> list[int]:
    keeper.board.catalogue.publish_weights("m", 2, clock.now())
    with eventlet.Timeout(2):
        keeper.prefetcher.run("m", 2)
    return sorted(keeper.reader.source.reads)


def wait_for_pieces(keeper, indexes: set[int]) -> None:
    with eventlet.Timeout(2):
        while {index for _, _, index in keeper.pieces} != indexes:
            eventlet.sleep(0.005)


# Guards against an entry that uses all of its processor time: with the digests of
# another version, prefetching looked for pieces that are never read, without a pause.
def test_prefetching_ends_if_the_manifest_names_another_version(make_keeper):
    keeper = make_keeper()
    keeper.manifests["m", 1] = MANIFEST
    with eventlet.Timeout(2):
        keeper.prefetcher.run("m", 1)
    assert sorted(keeper.reader.source.reads) == [0, 1, 2, 3]


def find_owned_indexes(keeper, hosts) -> list[int]:
    return [
        index
        for index in range(len(PIECES))
        if rank_readers(("m", 2, index), hosts, 24)[0] == keeper.board.peers.own_host
    ]


def test_an_entry_that_is_cut_off_prefetches_its_own_pieces_only(prefetching_keeper):
    hosts = [f"10.0.0.{n}" for n in range(1, 6)]
    for host in hosts[1:]:
        prefetching_keeper.board.peers.record_heartbeat(host, "a", clock.now() - 5.0)
    assert (
        run_prefetch(prefetching_keeper)
        == find_owned_indexes(prefetching_keeper, hosts)
        != list(range(4))
    )


# Guards against engines that stay empty longer after a loss of power of all VMs: all
# pieces are staged, and only the digests are missing.
def test_after_a_start_the_manifest_does_not_wait_for_heartbeats(make_keeper):
    keeper = make_keeper()
    keeper.reader.start_at = clock.now() + 60.0
    with eventlet.Timeout(1.0):
        assert keeper.get_manifest("m", 1, 0).digests
    with pytest.raises(eventlet.Timeout), eventlet.Timeout(0.02):
        keeper.get_piece("m", 1, 0, 0)


def test_after_a_start_prefetching_waits_for_heartbeats(prefetching_keeper):
    hosts = [f"10.0.0.{n}" for n in range(1, 6)]

    def receive_heartbeats() -> None:
        for host in hosts[1:]:
            prefetching_keeper.board.peers.record_heartbeat(host, "a", clock.now())

    eventlet.spawn_after(0.01, receive_heartbeats)
    assert (
        run_prefetch(prefetching_keeper)
        == find_owned_indexes(prefetching_keeper, hosts)
        != list(range(4))
    )


def test_a_lone_entry_prefetches_all_pieces(prefetching_keeper):
    assert run_prefetch(prefetching_keeper) == [0, 1, 2, 3]


def test_a_piece_is_read_again_while_another_read_hangs(
    prefetching_keeper, monkeypatch
):
    # The origin fails during a read and comes back. The missing pieces are read again
    # at once, although a read from the time of the failure has not ended yet.
    origin = prefetching_keeper.reader.source
    origin.failing_indexes = {1}
    read_piece = origin.read_piece

    def read_or_hang(address, model, version, index):
        if index == 2:
            eventlet.event.Event().wait()
        return read_piece(address, model, version, index)

    monkeypatch.setattr(origin, "read_piece", read_or_hang)
    prefetching_keeper.board.catalogue.publish_weights("m", 2, clock.now())
    prefetching_keeper.prefetch("m", 2)
    wait_for_pieces(prefetching_keeper, {0, 3})
    origin.failing_indexes = set()
    wait_for_pieces(prefetching_keeper, {0, 1, 3})


def test_a_version_that_is_nearly_read_is_completed_before_the_next(
    make_keeper, monkeypatch
):
    # Versions named in quick succession share the origin's link. The last pieces of
    # the first one would arrive late, and engines with old weights stop before that.
    keeper = make_keeper()
    newer = PieceDigests("m", 3, MANIFEST.digests)
    keeper.prefetcher.start = lambda *_: None
    keeper.manifests = {("m", 2): MANIFEST, ("m", 3): newer}
    for index in (0, 1):
        keeper.get_piece("m", 2, index, 0)
    release = eventlet.event.Event()
    read_piece = keeper.reader.source.read_piece

    def slow_read(origin, model, version, index):
        if version == 2:
            release.wait()
        return read_piece(origin, model, version, index)

    monkeypatch.setattr(keeper.reader.source, "read_piece", slow_read)
    eventlet.spawn(keeper.get_piece, "m", 2, 2, 0)
    eventlet.sleep(0)
    newer_read = eventlet.spawn(keeper.get_piece, "m", 3, 0, 0)
    eventlet.sleep(0.05)
    assert keeper.reader.source.read_versions == [2, 2]
    release.send()
    newer_read.wait()
    assert keeper.reader.source.read_versions == [2, 2, 2, 3]


def test_the_wait_for_an_older_version_is_bounded(make_keeper, monkeypatch):
    monkeypatch.setattr(origin_reads, "STALLED_AFTER_S", 0.02)
    keeper = make_keeper()
    newer = PieceDigests("m", 3, MANIFEST.digests)
    keeper.prefetcher.start = lambda *_: None
    keeper.manifests = {("m", 2): MANIFEST, ("m", 3): newer}
    for index in (0, 1):
        keeper.get_piece("m", 2, index, 0)
    keeper.reader.source.failing_indexes = {2}
    eventlet.spawn(keeper.get_piece, "m", 2, 2, 0)
    eventlet.sleep(0)
    assert keeper.get_piece("m", 3, 0, 0) == PIECES[0]


def test_prefetching_goes_on_after_unexpected_errors(prefetching_keeper, caplog):
    """An error other than SourceError ended it for good, without a log line."""
    keeper = prefetching_keeper
    errors = [ValueError("no such manifest"), ValueError("no such piece")]
    read_manifest, read_piece = (
        keeper.reader.source.read_manifest,
        keeper.reader.source.read_piece,
    )

    def fail_or_read_manifest(*args):
        if len(errors) == 2:
            raise errors.pop(0)
        return read_manifest(*args)

    def fail_or_read_piece(*args):
        if errors:
            raise errors.pop()
        return read_piece(*args)

    keeper.reader.source.read_manifest = fail_or_read_manifest
    keeper.reader.source.read_piece = fail_or_read_piece
    keeper.prefetch("m", 2)
    with eventlet.Timeout(5):
        while len(keeper.pieces) < len(PIECES):
            eventlet.sleep(0.001)

    assert "no such manifest" in caplog.text
    assert "no such piece" in caplog.text


def test_a_failed_read_is_logged_although_nothing_waits_for_it(make_keeper, caplog):
    """A caller waits for a short time only; the read goes on without it."""
    keeper = make_keeper()
    keeper.manifests["m", 2] = MANIFEST

    def fail_late(*_args):
        eventlet.sleep(0.02)
        raise SourceError("the origin is down")

    keeper.reader.source.read_piece = fail_late
    with eventlet.Timeout(0.005, False):
        keeper.get_piece("m", 2, 1, 0)
    with eventlet.Timeout(5):
        while not any(
            record.message == "failed to read weights"
            and "the origin is down" in str(vars(record))
            for record in caplog.records
        ):
            eventlet.sleep(0.001)


def test_an_added_entry_gets_a_piece_from_the_entry_that_reads_it(make_keeper):
    """Ownership moves to an added entry, and both owners read the piece."""
    keeper = make_keeper()
    add_entries_beside_the_origin(keeper)
    keeper.manifests["m", 2] = MANIFEST
    asked = []

    def call_entry(host, method, *args, timeout_s=0.0):
        claimed_by = args[-1]
        if claimed_by is None:
            return SimpleNamespace(state="held", data=PIECES[args[2]])
        asked.append(claimed_by)
        return SimpleNamespace(state="reading", holder=host)

    keeper.call_entry = call_entry
    assert keeper.get_piece("m", 2, 1, 2) == PIECES[1]
    assert keeper.reader.source.reads == []
    assert set(asked) == {"10.0.0.1"}


def test_a_claim_of_a_dead_entry_does_not_keep_a_piece_from_being_read(make_keeper):
    """A third entry remembers the claim of an entry that was killed before it read."""
    keeper = make_keeper()
    add_entries_beside_the_origin(keeper)
    keeper.manifests["m", 2] = MANIFEST

    def call_entry(host, method, *args, timeout_s=0.0):
        if host == "10.0.0.77":
            raise SourceError("killed")
        return SimpleNamespace(state="reading", holder="10.0.0.77")

    keeper.call_entry = call_entry
    assert keeper.get_piece("m", 2, 1, 2) == PIECES[1]
    assert keeper.reader.source.reads == [1]


def test_a_claim_is_answered_without_a_read(make_keeper):
    """An entry that is asked for what it holds would itself read the origin."""
    keeper = make_keeper()
    handler = DirectPeerHandler(keeper.board, keeper)
    first = handler.fetch_piece("m", 2, 1, True, 0, 1, 2, "10.0.0.5")
    second = handler.fetch_piece("m", 2, 1, True, 0, 1, 2, "10.0.0.6")
    assert (first.state, second.state, second.holder) == (
        "absent",
        "reading",
        "10.0.0.5",
    )
    keeper.pieces["m", 2, 1] = PIECES[1]
    held = handler.fetch_piece("m", 2, 1, True, 0, 1, 2, "10.0.0.6")
    assert (held.state, held.data, held.size) == ("held", PIECES[1][:1], 8)
    assert keeper.reader.source.reads == []


def test_a_piece_comes_from_a_holder_of_the_own_domain(make_keeper):
    """While the origin is down, an agent's entry must get what any entry holds."""
    keeper = make_keeper("b")
    keeper.board.peers.record_heartbeat("10.0.0.7", "b", clock.now())
    keeper.board.holdings.record("10.0.0.7", {"m": {2: b"\x08"}})
    keeper.manifests["m", 2] = MANIFEST
    keeper.reader.source.down = True

    def call_entry(host, method, *args):
        assert (host, args[-1]) == ("10.0.0.7", "")
        return SimpleNamespace(state="held", data=PIECES[3])

    keeper.call_entry = call_entry
    assert keeper.get_piece("m", 2, 3, 0) == PIECES[3]


def test_reads_in_progress_stay_within_the_share_of_the_connections(make_keeper):
    """36 entries with 4 reads each exceeded the 48 connections of the origin."""
    keeper = make_keeper()
    add_entries_beside_the_origin(keeper, 15)
    keeper.manifests["m", 2] = MANIFEST
    active = []
    read_piece = keeper.reader.source.read_piece

    def slow_read(*args):
        active.append(len(keeper.reads.started_at))
        eventlet.sleep(0.002)
        return read_piece(*args)

    keeper.reader.source.read_piece = slow_read
    pool = eventlet.GreenPool()
    for index in range(len(PIECES)):
        pool.spawn(keeper.get_piece, "m", 2, index, 2)
    pool.waitall()
    assert len(active) == len(PIECES)
    assert max(active) == keeper.view().read_limit == 1


# Guards against bytes of another version, or of another piece, that pass through an
# entry: whatever a relay holds is compared with this entry's own manifest.
@pytest.mark.parametrize("domain", ["a", "b"])
@pytest.mark.parametrize("sent", [PIECES[2], PIECES[3] + b"x", PIECES[3][:4], b""])
def test_a_relayed_piece_of_other_bytes_is_not_kept(make_keeper, domain, sent):
    keeper = make_keeper(domain)
    keeper.prefetcher.start = lambda *_: None
    keeper.board.peers.record_heartbeat("10.0.0.7", "a", clock.now())
    keeper.board.holdings.record("10.0.0.7", {"m": {2: b"\x08"}})
    keeper.manifests["m", 2] = MANIFEST
    keeper.reader.source.down = True
    keeper.call_entry = lambda *_, **__: SimpleNamespace(
        state="held", data=sent, holder=None
    )
    with pytest.raises(SourceError):
        keeper.get_piece("m", 2, 3, 0)
    assert keeper.pieces == {}


# Guards against pieces of a dropped version that are kept for good, and against a
# second manifest of it: an answer arrives after the version was dropped.
def test_an_answer_after_the_drop_of_its_version_is_not_kept(make_keeper):
    keeper = make_keeper()
    keeper.prefetcher.start = lambda *_: None
    keeper.manifests["m", 2] = MANIFEST
    started, release = eventlet.event.Event(), eventlet.event.Event()
    read_piece = keeper.reader.source.read_piece

    def read_late(*args):
        started.send()
        release.wait()
        return read_piece(*args)

    keeper.reader.source.read_piece = read_late
    late = eventlet.spawn(keeper.get_piece, "m", 2, 1, 0)
    started.wait()
    keeper.drop_version("m", 2)
    release.send()
    assert late.wait() == PIECES[1]
    assert (keeper.pieces, keeper.board.holdings.own) == ({}, {})
    with pytest.raises(SourceError):
        keeper.get_manifest("m", 2, 0)


def test_pieces_claims_and_manifests_pass_over_connections(make_keeper):
    """A field that is missing in the schema shows only in a real call."""
    reader, asking = make_keeper(), make_keeper()
    server = RpcServer(
        schema.DirectPeer, DirectPeerHandler(reader.board, reader), "127.0.0.1", 0
    )
    server.start()
    try:
        del asking.call_entry
        asking.control_port = server.port
        asking.board.peers.own_host = asking.reads.own_host = "10.0.0.3"
        asking.board.peers.record_heartbeat("127.0.0.1", "a", clock.now())
        asking.board.holdings.record("127.0.0.1", {"m": {2: b"\x0f"}})
        reader.manifests["m", 2] = MANIFEST
        reader.reads.answer_claim(("m", 2, 3), "10.0.0.7", clock.now())
        reply = asking.reader.ask(("m", 2, 3), "127.0.0.1")
        assert (reply.state, reply.holder) == ("reading", "10.0.0.7")
        reader.pieces["m", 2, 1] = PIECES[1]
        assert asking.get_piece("m", 2, 1, 2) == PIECES[1]
        assert asking.manifests["m", 2] == MANIFEST
    finally:
        server.stop()
    assert asking.reader.source.reads == reader.reader.source.reads == []
