"""Pieces are read once, verified, and read from the origin when peers fail."""

from __future__ import annotations

import hashlib
from types import SimpleNamespace

import eventlet
import pytest

from primroselever_core.board import Identity
from primroselever_core.catalogue.model import (
    CallerLimits,
    Configuration,
    Service,
    WeightOrigin,
)
from primroselever_core.direct_board import DirectBoard
from primroselever_core.filling.pieces import PieceDigests
from primroselever_core.gossip.peers import Peers
from primroselever_node import clock
from primroselever_node.direct import pieces as module
from primroselever_node.direct.pieces import PieceKeeper
from primroselever_node.direct.sources import SourceError

PIECES = [bytes([index]) * 8 for index in range(4)]
DIGESTS = PieceDigests(
    "m", 2, tuple(hashlib.sha256(piece).hexdigest() for piece in PIECES)
)
ORIGIN = WeightOrigin(("10.0.0.9", 1), "lag-a", 8)


class FakeOrigin:
    def __init__(self) -> None:
        self.manifests = [DIGESTS]
        self.spoilt: list[int] = []
        self.reads: list[int] = []
        self.down = False

    def digests(self, origin, model, version):
        if self.down:
            raise SourceError("down")
        found = self.manifests.pop(0) if len(self.manifests) > 1 else self.manifests[0]
        return found

    def piece(self, origin, model, version, index):
        self.reads.append(index)
        eventlet.sleep(0)
        if self.down:
            raise SourceError("down")
        if index in self.spoilt:
            self.spoilt.remove(index)
            return b"spoilt"
        return PIECES[index]


@pytest.fixture
def keeper(monkeypatch):
    monkeypatch.setattr(module, "ORIGIN_RETRY_S", 0.001)

    def make(domain: str = "lag-a") -> PieceKeeper:
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


def test_a_piece_is_read_once_for_all_who_want_it(keeper):
    kept = keeper()
    pool = eventlet.GreenPool()
    found = list(pool.imap(lambda _: kept.piece("m", 2, 1, False), range(5)))
    assert found == [PIECES[1]] * 5
    assert kept.source.reads == [1]


def test_a_spoilt_piece_is_read_again(keeper):
    kept = keeper()
    kept.source.spoilt = [2]
    assert kept.piece("m", 2, 2, False) == PIECES[2]
    assert kept.source.reads == [2, 2]


def test_a_spoilt_manifest_is_outvoted(keeper):
    kept = keeper()
    wrong = PieceDigests("m", 2, ("00",))
    kept.source.manifests = [DIGESTS, wrong, DIGESTS]
    assert kept.digests("m", 2, False) == DIGESTS


def test_without_an_origin_the_failure_is_told_to_all(keeper):
    kept = keeper()
    kept.source.down = True
    with pytest.raises(SourceError):
        kept.piece("m", 2, 0, False)
    kept.source.down = False
    assert kept.piece("m", 2, 0, False) == PIECES[0]


def test_another_domain_reads_from_the_owner_beside_the_origin(keeper):
    kept = keeper("abj-a")
    kept.board.peers.hear("10.0.0.2", "lag-a", clock.now())
    asked = []

    def ask(host, method, *args):
        asked.append((host, method))
        if method == "fetch_digests":
            return list(DIGESTS.digests)
        if len(asked) == 2:
            return SimpleNamespace(state="reading", data=b"")
        return SimpleNamespace(state="held", data=PIECES[3])

    kept.ask = ask
    assert kept.piece("m", 2, 3, False) == PIECES[3]
    assert kept.source.reads == []
    assert [method for _host, method in asked] == [
        "fetch_digests",
        "fetch_piece",
        "fetch_piece",
    ]


def test_a_relayed_piece_is_read_from_the_origin(keeper):
    kept = keeper("abj-a")
    kept.board.peers.hear("10.0.0.2", "lag-a", clock.now())
    assert kept.piece("m", 2, 3, True) == PIECES[3]
    assert kept.source.reads == [3]


def test_only_the_newest_versions_are_kept(keeper):
    kept = keeper()
    for version in (1, 2, 3):
        kept.source.manifests = [PieceDigests("m", version, DIGESTS.digests)]
        kept.piece("m", version, 0, False)
    assert {version for _model, version, _index in kept.pieces} == {2, 3}


@pytest.fixture
def settled(keeper, monkeypatch):
    monkeypatch.setattr(module, "SETTLE_S", 0.03)
    return keeper()


def read_ahead(kept) -> list[int]:
    kept.board.catalogue.name_weights("m", 2, clock.now())
    kept.prefetch("m", 2)
    eventlet.sleep(0.1)
    return sorted(kept.source.reads)


def owned(kept, hosts) -> list[int]:
    return [
        index
        for index in range(len(PIECES))
        if module.piece_owners("m", 2, index, hosts)[0] == kept.board.peers.own_host
    ]


def test_who_is_cut_off_does_not_read_the_pieces_of_all_others(settled):
    hosts = [f"10.0.0.{n}" for n in range(1, 6)]
    for host in hosts[1:]:
        settled.board.peers.hear(host, "lag-a", clock.now() - 5.0)
    assert read_ahead(settled) == owned(settled, hosts) != list(range(4))


def test_after_a_start_the_others_are_heard_before_pieces_are_read(settled):
    hosts = [f"10.0.0.{n}" for n in range(1, 6)]

    def hear() -> None:
        for host in hosts[1:]:
            settled.board.peers.hear(host, "lag-a", clock.now())

    eventlet.spawn_after(0.01, hear)
    assert read_ahead(settled) == owned(settled, hosts) != list(range(4))


def test_who_is_alone_reads_all(settled):
    assert read_ahead(settled) == [0, 1, 2, 3]
