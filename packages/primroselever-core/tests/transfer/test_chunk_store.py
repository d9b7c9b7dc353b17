from __future__ import annotations

from dataclasses import replace

import pytest

from primroselever_core.transfer.chunk_store import ChunkStore
from primroselever_core.transfer.manifest import Manifest, chunk_digest


@pytest.mark.parametrize("damaged", [b"weightz", b"weight", b"weights+", b""])
def test_a_chunk_that_is_not_whole_is_not_taken_in(damaged: bytes) -> None:
    store = ChunkStore(limit_bytes=100)
    assert not store.put(chunk_digest(b"weights"), damaged)
    assert store.held_bytes == 0


def test_the_limit_holds() -> None:
    store = ChunkStore(limit_bytes=10)
    assert store.put(chunk_digest(b"12345678"), b"12345678")
    assert not store.put(chunk_digest(b"abc"), b"abc")
    store.discard(chunk_digest(b"12345678"))
    assert store.put(chunk_digest(b"abc"), b"abc")
    assert store.held_bytes == 3


def test_unwanted_chunks_make_room_and_end_at_their_deadline(
    manifest: Manifest, bodies: list[bytes]
) -> None:
    store = ChunkStore(limit_bytes=125)
    old = [b"old-1", b"old-2"]
    for body in [*old, *bodies[:2]]:
        store.put(chunk_digest(body), body)
    store.want_only(manifest, deadline=60.0)
    store.expire(now=59.0)
    assert store.get(chunk_digest(b"old-1")) is not None
    for body in bodies:
        assert store.put(chunk_digest(body), body)
    assert store.held_bytes <= 125
    store.expire(now=60.0)
    assert set(store.chunks) == set(manifest.chunks)


def test_a_partial_version_is_not_whole(
    manifest: Manifest, bodies: list[bytes]
) -> None:
    store = ChunkStore(limit_bytes=1000)
    for body in bodies[:-1]:
        store.put(chunk_digest(body), body)
        assert not store.whole(manifest)
    store.put(chunk_digest(bodies[-1]), bodies[-1])
    assert store.whole(manifest)


def test_a_version_of_another_length_is_not_whole(
    manifest: Manifest, bodies: list[bytes]
) -> None:
    store = ChunkStore(limit_bytes=1000)
    for body in bodies:
        store.put(chunk_digest(body), body)
    longer = replace(manifest, length=manifest.length + 1)
    assert not store.whole(longer)


def test_a_chunk_that_never_fits_drops_no_unwanted_one(manifest: Manifest) -> None:
    store = ChunkStore(limit_bytes=10)
    store.put(chunk_digest(b"old"), b"old")
    store.want_only(manifest, deadline=60.0)
    large = b"eleven byte"
    assert not store.put(chunk_digest(large), large)
    assert store.get(chunk_digest(b"old")) == b"old"
