"""Reading manifests and chunks from the weight store or the origin."""

from __future__ import annotations

from urllib.parse import quote

import urllib3
from pydantic import ValidationError

from primroselever_core.transfer.manifest import Manifest, PublishedManifest

from ..exceptions import WeightSourceError, WeightSourceStatusError
from .http_client import new_http_pool, new_timeout, read_body

NO_ADAPTER = "none"
READ_TIMEOUT_S = 5.0
CHUNK_TIMEOUT_S = 20.0
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
        data = self.get_body(f"{self.version_url(model, adapter, version)}/manifest")
        try:
            return Manifest.from_published(PublishedManifest.model_validate_json(data))
        except (ValidationError, ValueError) as exc:
            raise WeightSourceError(f"manifest of {model} {version}: {exc}") from exc

    def fetch_chunk(self, manifest: Manifest, index: int) -> bytes:
        """Return the bytes of a chunk without verifying its digest."""
        version = self.version_url(manifest.model, manifest.adapter, manifest.version)
        url = f"{version}/chunks/{index}"
        return self.get_body(url, CHUNK_TIMEOUT_S, manifest.chunk_bytes)

    def get_body(
        self,
        url: str,
        read_timeout_s: float = READ_TIMEOUT_S,
        max_bytes: int = MAX_MANIFEST_BYTES,
    ) -> bytes:
        """Return the body at a URL, or raise ``WeightSourceError``."""
        try:
            reply = self.http.request(
                "GET", url, timeout=new_timeout(read_timeout_s), preload_content=False
            )
            body = read_body(reply, max_bytes)
        except urllib3.exceptions.HTTPError as exc:
            raise WeightSourceError(f"{url} did not respond: {exc}") from exc
        if reply.status != 200:
            raise WeightSourceStatusError(f"{url} returned status {reply.status}")
        return body
