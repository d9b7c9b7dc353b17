"""
The manifest of a version: its chunks in order, their digests and sizes.

The digest of a manifest identifies the weights. Chunks of two manifests are never
mixed, but a chunk that has the same digest in both is reused.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash
from pydantic import BaseModel, ConfigDict, Field

from ..identifiers import ChunkDigest, WeightsDigest


class PublishedManifest(BaseModel):
    """The manifest as the weight store and the origin serve it, sizes in bytes."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    model: str
    adapter: str | None = None
    version: str
    length: int = Field(ge=0)
    chunk_bytes: int = Field(ge=1)
    chunks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VersionName:
    """The name that operators use for a version; its content may change."""

    model: str
    adapter: str | None
    version: str


@dataclass(frozen=True, slots=True)
class Manifest:
    """
    A verified manifest; ``length`` and ``chunk_bytes`` are in bytes.

    ``text`` is the canonical form; peers compute the same digest from it.
    """

    model: str
    adapter: str | None
    version: str
    length: int
    chunk_bytes: int
    chunks: tuple[ChunkDigest, ...]
    digest: WeightsDigest
    text: bytes = b""

    @classmethod
    def from_published(cls, published: PublishedManifest) -> Manifest:
        """
        Return the manifest with its digest.

        Raise ``ValueError`` if the number of chunks does not match the length.
        """
        expected = -(-published.length // published.chunk_bytes)
        if len(published.chunks) != expected:
            raise ValueError(
                f"manifest of {published.model} {published.version} lists "
                f"{len(published.chunks)} chunks, but its length requires {expected}; "
                "publish the version again"
            )
        canonical = published.model_dump_json().encode()
        return cls(
            model=published.model,
            adapter=published.adapter,
            version=published.version,
            length=published.length,
            chunk_bytes=published.chunk_bytes,
            chunks=tuple(ChunkDigest(digest) for digest in published.chunks),
            digest=WeightsDigest(xxhash.xxh3_128_hexdigest(canonical)),
            text=canonical,
        )

    @classmethod
    def parse(cls, text: bytes) -> Manifest:
        """Return the manifest parsed from JSON; raise ``ValueError`` if invalid."""
        return cls.from_published(PublishedManifest.model_validate_json(text))

    @property
    def name(self) -> VersionName:
        """Return the name of the version that the manifest describes."""
        return VersionName(self.model, self.adapter, self.version)

    def size_of(self, index: int) -> int:
        """Return the size in bytes of the chunk at ``index``."""
        start = index * self.chunk_bytes
        return min(self.chunk_bytes, self.length - start)


def chunk_digest(data: bytes) -> ChunkDigest:
    """Return the digest of a chunk's bytes."""
    return ChunkDigest(xxhash.xxh3_128_hexdigest(data))
