"""Reading and watching the configuration service, which can only be read."""

from __future__ import annotations

from dataclasses import dataclass

import urllib3

from ..exceptions import PlatformError
from ..traffic import HTTP_OVERHEAD_BYTES, platform_traffic
from .http_client import new_http_pool, timeout

READ_TIMEOUT_S = 2.0
REVISION_HEADER = "X-Revision"


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """A value as the service gave it, with the service's own revision of it."""

    revision: int
    text: str


class ConfigurationService:
    """A client of the configuration service."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool()

    def read(self, name: str) -> PublishedValue:
        """Return a value now; raise ``PlatformError`` when it cannot be read."""
        value = self.get(f"{self.url}/v1/values/{name}", READ_TIMEOUT_S)
        if value is None:
            raise PlatformError(f"{name} is not published; publish it first")
        return value

    def watch(self, name: str, after: int, wait_s: float) -> PublishedValue | None:
        """
        Wait up to ``wait_s`` seconds for a value newer than revision ``after``.

        Return None when there was none. It counts as one call, however long.
        """
        url = f"{self.url}/v1/values/{name}?after={after}&wait_s={wait_s:g}"
        return self.get(url, wait_s + READ_TIMEOUT_S)

    def get(self, url: str, read_s: float) -> PublishedValue | None:
        """Return the value behind a URL, or None when there is nothing newer."""
        try:
            reply = self.http.request("GET", url, timeout=timeout(read_s))
        except urllib3.exceptions.HTTPError as exc:
            raise PlatformError(f"{url} does not answer: {exc}") from exc
        platform_traffic.add(len(reply.data), HTTP_OVERHEAD_BYTES)
        if reply.status in (204, 404):
            return None
        if reply.status != 200:
            raise PlatformError(f"{url} answered {reply.status}")
        try:
            revision = int(reply.headers[REVISION_HEADER])
            return PublishedValue(revision, reply.data.decode())
        except (KeyError, ValueError) as exc:
            raise PlatformError(f"{url} gave no readable value") from exc
