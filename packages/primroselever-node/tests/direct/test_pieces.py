"""Pieces are read once and verified, from a peer or else from the origin."""

from __future__ import annotations

import hashlib
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
from primroselever_core.filling.pieces import PieceDigests
from primroselever_core.gossip.peers import Peers
from primroselever_core.identity import Identity
from primroselever_node import clock
from primroselever_node.direct import pieces as pieces_module
from primroselever_node.direct.pieces import PieceKeeper
from primroselever_node.direct.sources import SourceError

PIECES = [bytes([index]) * 8 for index in range(4)]
MANIFEST = PieceDigests(
    "m", 2, tuple(hashlib.sha256(piece).hexdigest() for piece in PIECES)
)
ORIGIN = WeightOrigin(("10.0.0.9", 1), "a", 8)


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
        return manifest

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
    monkeypatch.setattr(pieces_module, "ORIGIN_RETRY_S", 0.001)

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
        return PieceKeeper(board, FakeOrigin(), 1)

    return make


def test_a_piece_is_read_once_for_concurrent_callers(make_keeper):
    keeper = make_keeper()
    pool = eventlet.GreenPool()
    pieces = list(pool.imap(lambda _: keeper.get_piece("m", 2, 1, 0), range(5)))
    assert pieces == [PIECES[1]] * 5
    assert keeper.source.reads == [1]


def test_a_corrupt_piece_is_read_again(make_keeper):
    keeper = make_keeper()
    keeper.source.corrupt_indexes = [2]
    assert keeper.get_piece("m", 2, 2, 0) == PIECES[2]
    assert keeper.source.reads == [2, 2]


def test_a_corrupt_manifest_is_outvoted(make_keeper):
    keeper = make_keeper()
    wrong = PieceDigests("m", 2, ("00",))
    keeper.source.manifests = [MANIFEST, wrong, MANIFEST]
    assert keeper.get_manifest("m", 2, 0) == MANIFEST


def test_a_failed_read_raises_and_a_later_one_succeeds(make_keeper):
    keeper = make_keeper()
    keeper.source.down = True
    with pytest.raises(SourceError):
        keeper.get_piece("m", 2, 0, 0)
    keeper.source.down = False
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
    assert keeper.source.reads == []
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

    def call_entry(host, method, *args):
        calls.append((host, *args[2:]))
        return SimpleNamespace(state="held", data=PIECES[args[2]])

    keeper.call_entry = call_entry
    for index in range(len(PIECES)):
        assert keeper.get_piece("m", 2, index, 1) == PIECES[index]
    owned = find_owned_indexes(keeper, [*hosts, "10.0.0.1"])
    assert sorted(keeper.source.reads) == owned
    assert {index for _, index, *_ in calls} == set(range(4)) - set(owned)
    assert {hops for *_, hops in calls} == {2}


def test_a_call_that_was_relayed_twice_is_not_relayed_again(make_keeper):
    keeper = make_keeper()
    add_entries_beside_the_origin(keeper)
    keeper.manifests["m", 2] = MANIFEST
    for index in range(len(PIECES)):
        keeper.get_piece("m", 2, index, 2)
    assert sorted(keeper.source.reads) == [0, 1, 2, 3]


def test_a_relayed_piece_is_read_from_the_origin(make_keeper):
    keeper = make_keeper("b")
    keeper.board.peers.record_heartbeat("10.0.0.2", "a", clock.now())
    assert keeper.get_piece("m", 2, 3, 1) == PIECES[3]
    assert keeper.source.reads == [3]


def test_the_origin_is_tried_once_if_a_relay_cannot_read_it(make_keeper):
    # Each further attempt would delay the next request to the relay, which has the
    # piece as soon as the origin is back.
    keeper = make_keeper("b")
    keeper.board.peers.record_heartbeat("10.0.0.2", "a", clock.now())
    keeper.manifests["m", 2] = MANIFEST
    keeper.source.down = True
    reply = SimpleNamespace(state="pending", data=b"")
    keeper.call_entry = lambda *_: reply
    with pytest.raises(SourceError):
        keeper.get_piece("m", 2, 3, 0)
    assert keeper.source.reads == [3]


def test_the_origin_is_tried_repeatedly_if_no_relay_answers(make_keeper):
    keeper = make_keeper("b")
    keeper.board.peers.record_heartbeat("10.0.0.2", "a", clock.now())
    keeper.manifests["m", 2] = MANIFEST
    keeper.source.down = True

    def call_entry(*_):
        raise SourceError("no answer")

    keeper.call_entry = call_entry
    with pytest.raises(SourceError):
        keeper.get_piece("m", 2, 3, 0)
    assert keeper.source.reads == [3] * pieces_module.ORIGIN_ATTEMPTS


def test_only_the_newest_versions_are_kept(make_keeper):
    keeper = make_keeper()
    for version in (1, 2, 3):
        keeper.source.manifests = [PieceDigests("m", version, MANIFEST.digests)]
        keeper.get_piece("m", version, 0, 0)
    assert {version for _model, version, _index in keeper.pieces} == {2, 3}


@pytest.fixture
def prefetching_keeper(make_keeper, monkeypatch):
    monkeypatch.setattr(pieces_module, "PREFETCH_START_DELAY_S", 0.03)
    return make_keeper()


def run_prefetch(keeper) -> list[int]:
    keeper.board.catalogue.publish_weights("m", 2, clock.now())
    keeper.prefetch("m", 2)
    eventlet.sleep(0.1)
    return sorted(keeper.source.reads)


def find_owned_indexes(keeper, hosts) -> list[int]:
    return [
        index
        for index in range(len(PIECES))
        if pieces_module.piece_owners("m", 2, index, hosts)[0]
        == keeper.board.peers.own_host
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
    origin = prefetching_keeper.source
    origin.failing_indexes = {1}
    read_piece = origin.read_piece

    def read_or_hang(address, model, version, index):
        if index == 2:
            eventlet.event.Event().wait()
        return read_piece(address, model, version, index)

    monkeypatch.setattr(origin, "read_piece", read_or_hang)
    run_prefetch(prefetching_keeper)
    assert {index for _, _, index in prefetching_keeper.pieces} == {0, 3}
    origin.failing_indexes = set()
    eventlet.sleep(0.05)
    assert {index for _, _, index in prefetching_keeper.pieces} == {0, 1, 3}


def test_a_version_that_is_nearly_read_is_completed_before_the_next(
    make_keeper, monkeypatch
):
    # Versions named in quick succession share the origin's link. The last pieces of
    # the first one would arrive late, and engines with old weights stop before that.
    keeper = make_keeper()
    newer = PieceDigests("m", 3, MANIFEST.digests)
    keeper.manifests = {("m", 2): MANIFEST, ("m", 3): newer}
    for index in (0, 1):
        keeper.get_piece("m", 2, index, 0)
    release = eventlet.event.Event()
    read_piece = keeper.source.read_piece

    def slow_read(origin, model, version, index):
        if version == 2:
            release.wait()
        return read_piece(origin, model, version, index)

    monkeypatch.setattr(keeper.source, "read_piece", slow_read)
    eventlet.spawn(keeper.get_piece, "m", 2, 2, 0)
    eventlet.sleep(0)
    newer_read = eventlet.spawn(keeper.get_piece, "m", 3, 0, 0)
    eventlet.sleep(0.05)
    assert keeper.source.read_versions == [2, 2]
    release.send()
    newer_read.wait()
    assert keeper.source.read_versions == [2, 2, 2, 3]


def test_the_wait_for_an_older_version_is_bounded(make_keeper, monkeypatch):
    monkeypatch.setattr(pieces_module, "OLDER_VERSION_WAIT_S", 0.02)
    keeper = make_keeper()
    newer = PieceDigests("m", 3, MANIFEST.digests)
    keeper.manifests = {("m", 2): MANIFEST, ("m", 3): newer}
    for index in (0, 1):
        keeper.get_piece("m", 2, index, 0)
    keeper.source.failing_indexes = {2}
    monkeypatch.setattr(pieces_module, "ORIGIN_RETRY_S", 60.0)
    eventlet.spawn(keeper.get_piece, "m", 2, 2, 0)
    eventlet.sleep(0)
    assert keeper.get_piece("m", 3, 0, 0) == PIECES[0]


def test_prefetching_goes_on_after_unexpected_errors(prefetching_keeper, caplog):
    """An error other than SourceError ended it for good, without a log line."""
    keeper = prefetching_keeper
    errors = [ValueError("no such manifest"), ValueError("no such piece")]
    read_manifest, read_piece = keeper.source.read_manifest, keeper.source.read_piece

    def fail_or_read_manifest(*args):
        if len(errors) == 2:
            raise errors.pop(0)
        return read_manifest(*args)

    def fail_or_read_piece(*args):
        if errors:
            raise errors.pop()
        return read_piece(*args)

    keeper.source.read_manifest = fail_or_read_manifest
    keeper.source.read_piece = fail_or_read_piece
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

    keeper.source.read_piece = fail_late
    with eventlet.Timeout(0.005, False):
        keeper.get_piece("m", 2, 1, 0)
    with eventlet.Timeout(5):
        while keeper.pending_reads:
            eventlet.sleep(0.001)

    assert any("the origin is down" in str(vars(record)) for record in caplog.records)
