"""Fingerprints by which identical requests are recognised."""

from __future__ import annotations

import xxhash

from ..identifiers import Fingerprint


def fingerprint_of(service: str, workspace: str, body: bytes) -> Fingerprint:
    """Return the digest of a request's service, workspace and body."""
    state = xxhash.xxh3_128(f"{service}\x00{workspace}\x00".encode())
    state.update(body)
    return Fingerprint(state.hexdigest())
