from __future__ import annotations

from dataclasses import replace

import pytest

from primroselever_core.transfer.chunk_store import ChunkStore
from primroselever_core.transfer.manifest import Manifest, chunk_digest


@pytest.mark.parametrize("damaged", [b"weightz", b"weight", b"weights+", b""])
def test_a_damaged_chunk_is_rejected(damaged: bytes) -> None:
    store = ChunkStore(limit_bytes=100)
    assert not store.put(chunk_digest(b"weights"), damaged)
    assert store.held_bytes == 0


def test_a_chunk_beyond_the_limit_is_rejected() -> None:
    store = ChunkStore(limit_bytes=10)
    assert store.put(chunk_digest(b"12345678"), b"12345678")
    assert not store.put(chunk_digest(b"abc"), b"abc")
    store.discard(chunk_digest(b"12345678"))
    assert store.put(chunk_digest(b"abc"), b"abc")
    assert store.held_bytes == 3


def test_unneeded_chunks_are_dropped_for_space_or_at_their_deadline(
    manifest: Manifest, bodies: list[bytes]
) -> None:
    store = ChunkStore(limit_bytes=125)
    old_bodies = [b"old-1", b"old-2"]
    for body in [*old_bodies, *bodies[:2]]:
        store.put(chunk_digest(body), body)
    store.expire_unneeded(manifest, deadline=60.0)
    store.expire(now=59.0)
    assert store.get(chunk_digest(b"old-1")) is not None
    for body in bodies:
        assert store.put(chunk_digest(body), body)
    assert store.held_bytes <= 125
    store.expire(now=60.0)
    assert set(store.chunks) == set(manifest.chunks)


def test_a_partial_version_is_not_complete(
    manifest: Manifest, bodies: list[bytes]
) -> None:
    store = ChunkStore(limit_bytes=1000)
    for body in bodies[:-1]:
        store.put(chunk_digest(body), body)
        assert not store.is_complete(manifest)
    store.put(chunk_digest(bodies[-1]), bodies[-1])
    assert store.is_complete(manifest)


def test_a_version_of_another_length_is_not_complete(
    manifest: Manifest, bodies: list[bytes]
) -> None:
    store = ChunkStore(limit_bytes=1000)
    for body in bodies:
        store.put(chunk_digest(body), body)
    longer_manifest = replace(manifest, length=manifest.length + 1)
    assert not store.is_complete(longer_manifest)


def test_a_chunk_that_cannot_fit_drops_no_unneeded_chunk(manifest: Manifest) -> None:
    store = ChunkStore(limit_bytes=10)
    store.put(chunk_digest(b"old"), b"old")
    store.expire_unneeded(manifest, deadline=60.0)
    large_body = b"eleven byte"
    assert not store.put(chunk_digest(large_body), large_body)
    assert store.get(chunk_digest(b"old")) == b"old"
