"""Pieces that are held, missing or corrupt."""

from __future__ import annotations

import hashlib

from primroselever_core.filling.pieces import PieceDigests, Staging, piece_owners


def digests(*pieces: bytes) -> PieceDigests:
    return PieceDigests(
        "m", 2, tuple(hashlib.sha256(piece).hexdigest() for piece in pieces)
    )


def test_a_piece_matches_only_its_own_digest():
    wanted = digests(b"a", b"b")
    assert wanted.matches(0, b"a")
    assert not wanted.matches(1, b"a")


def test_pieces_are_requested_in_order_and_once():
    staging = Staging(digests(b"a", b"b", b"c"), held={1})
    first_index = staging.next_piece()
    staging.requested.add(first_index)
    assert (first_index, staging.next_piece()) == (0, 2)
    staging.held.update((0, 2))
    assert staging.complete


def test_all_processes_determine_the_same_owner():
    assert piece_owners("m", 2, 5, ["a", "b", "c"]) == piece_owners(
        "m", 2, 5, ["c", "b", "a"]
    )
