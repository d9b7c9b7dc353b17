"""Reading manifests and chunks from the weight store or the origin."""

from __future__ import annotations

from urllib.parse import quote

import urllib3
from pydantic import ValidationError

from primroselever_core.transfer.manifest import Manifest, PublishedManifest

from ..exceptions import WeightSourceError, WeightSourceStatusError
from .http_client import CallTimeout, new_http_pool, new_timeout, read_body

NO_ADAPTER = "none"
READ_TIMEOUT_S = 5.0
CHUNK_TIMEOUT_S = 20.0
MANIFEST_CALL_TIMEOUT_S = 60.0  # for up to MAX_MANIFEST_BYTES
CHUNK_CALL_TIMEOUT_S = 300.0  # for chunks over slow links
CONNECTIONS = 32
MAX_MANIFEST_BYTES = 64 << 20  # a million digests


class WeightSource:
    """A client of the weight store or of the origin, which share one protocol."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool(CONNECTIONS)

    def version_url(self, model: str, adapter: str | None, version: str) -> str:
        """Return the base URL of a version's manifest and chunks."""
        parts = [model, adapter or NO_ADAPTER, version]
        path = "/".join(quote(part, safe="") for part in parts)
        return f"{self.url}/v1/weights/{path}"

    def fetch_manifest(self, model: str, adapter: str | None, version: str) -> Manifest:
        """Return the current manifest of a version."""
        url = f"{self.version_url(model, adapter, version)}/manifest"
        timeout = new_timeout(READ_TIMEOUT_S, MANIFEST_CALL_TIMEOUT_S)
        data = self.get_body(url, timeout, MAX_MANIFEST_BYTES)
        try:
            return Manifest.from_published(PublishedManifest.model_validate_json(data))
        except (ValidationError, ValueError) as exc:
            raise WeightSourceError(f"manifest of {model} {version}: {exc}") from exc

    def fetch_chunk(self, manifest: Manifest, index: int) -> bytes:
        """Return the bytes of a chunk without verifying its digest."""
        version = self.version_url(manifest.model, manifest.adapter, manifest.version)
        url = f"{version}/chunks/{index}"
        timeout = new_timeout(CHUNK_TIMEOUT_S, CHUNK_CALL_TIMEOUT_S)
        return self.get_body(url, timeout, manifest.chunk_bytes)

    def get_body(self, url: str, timeout: CallTimeout, max_bytes: int) -> bytes:
        """Return the body at a URL, or raise ``WeightSourceError``."""
        try:
            reply = self.http.request(
                "GET", url, timeout=timeout, preload_content=False
            )
            body = read_body(reply, max_bytes)
        except urllib3.exceptions.HTTPError as exc:
            raise WeightSourceError(f"{url} did not respond: {exc}") from exc
        if reply.status != 200:
            raise WeightSourceStatusError(f"{url} returned status {reply.status}")
        return body
