"""Client of the configuration service, which this system only reads."""

from __future__ import annotations

from dataclasses import dataclass

import urllib3

from ..exceptions import PlatformError
from ..traffic import HTTP_OVERHEAD_BYTES, platform_traffic
from .http_client import new_http_pool, new_timeout, read_body

READ_TIMEOUT_S = 2.0
# A call beyond the time it waits; a value has up to MAX_VALUE_BYTES.
CALL_TIMEOUT_S = 10.0
MAX_VALUE_BYTES = 16 << 20
REVISION_HEADER = "X-Revision"


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """A value from the service and the revision that the service assigned to it."""

    revision: int
    text: str


class ConfigurationService:
    """A client of the configuration service."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool()

    def read(self, name: str) -> PublishedValue:
        """Return the current value, or raise ``PlatformError`` if it cannot be read."""
        value = self.get_value(f"{self.url}/v1/values/{name}", 0.0)
        if value is None:
            raise PlatformError(f"{name} is not published; publish it first")
        return value

    def watch(self, name: str, after: int, wait_s: float) -> PublishedValue | None:
        """
        Wait up to ``wait_s`` seconds for a value newer than revision ``after``.

        Return None if there is none. The service counts this as one call, however
        long it waits.
        """
        url = f"{self.url}/v1/values/{name}?after={after}&wait_s={wait_s:g}"
        return self.get_value(url, wait_s)

    def get_value(self, url: str, wait_s: float) -> PublishedValue | None:
        """
        Return the value at a URL, or None if it is absent or not newer.

        The service may wait for ``wait_s`` seconds before it answers.
        """
        timeout = new_timeout(wait_s + READ_TIMEOUT_S, wait_s + CALL_TIMEOUT_S)
        try:
            reply = self.http.request(
                "GET", url, timeout=timeout, preload_content=False
            )
            body = read_body(reply, MAX_VALUE_BYTES)
        except urllib3.exceptions.HTTPError as exc:
            raise PlatformError(f"{url} did not respond: {exc}") from exc
        platform_traffic.add(len(body), HTTP_OVERHEAD_BYTES)
        if reply.status in (204, 404):
            return None
        if reply.status != 200:
            raise PlatformError(f"{url} returned status {reply.status}")
        try:
            revision = int(reply.headers[REVISION_HEADER])
            return PublishedValue(revision, body.decode())
        except (KeyError, ValueError) as exc:
            raise PlatformError(f"{url} returned an unreadable value") from exc
