"""
The manifest of a version: its chunks in order, their digests and sizes.

A manifest's digest is the identity of the weights. Chunks of two manifests are
never mixed; a chunk with the same digest in both may be kept.
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
    """What operators call a version; its content may change at the source."""

    model: str
    adapter: str | None
    version: str


@dataclass(frozen=True, slots=True)
class Manifest:
    """
    A verified manifest; ``length`` and ``chunk_bytes`` are in bytes.

    ``text`` is the canonical form, from which peers get the same digest.
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

        Raise ``ValueError`` when the number of chunks does not fit the length.
        """
        expected = -(-published.length // published.chunk_bytes)
        if len(published.chunks) != expected:
            raise ValueError(
                f"manifest of {published.model} {published.version} names "
                f"{len(published.chunks)} chunks and needs {expected}; "
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
        """Return the manifest in a text; raise ``ValueError`` if there is none."""
        return cls.from_published(PublishedManifest.model_validate_json(text))

    @property
    def name(self) -> VersionName:
        """Return what the manifest is a version of."""
        return VersionName(self.model, self.adapter, self.version)

    def size_of(self, index: int) -> int:
        """Return the size in bytes of the chunk at ``index``."""
        start = index * self.chunk_bytes
        return min(self.chunk_bytes, self.length - start)


def chunk_digest(data: bytes) -> ChunkDigest:
    """Return the digest of a chunk's bytes."""
    return ChunkDigest(xxhash.xxh3_128_hexdigest(data))
