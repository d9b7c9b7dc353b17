"""Reading the platform's list of VMs, which lags behind their actual state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3

from primroselever_core.membership.vm_list import parse_vm_list

from ..exceptions import PlatformError
from ..traffic import HTTP_OVERHEAD_BYTES, platform_traffic
from .http_client import new_http_pool, new_timeout, read_body

if TYPE_CHECKING:
    from primroselever_core.membership.vm import Vm

READ_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 10.0  # for up to MAX_LIST_BYTES
MAX_LIST_BYTES = 16 << 20  # 100,000 VMs


class VmListService:
    """A client of the platform's VM list service."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool()
        self.etag = ""
        self.last_vms: list[Vm] = []

    def read_vms(self) -> list[Vm]:
        """
        Return the VMs, or raise ``PlatformError`` if the list cannot be read.

        A list that has not changed since the last call is not transferred again.
        """
        url = f"{self.url}/v1/vms"
        headers = {"If-None-Match": self.etag} if self.etag else {}
        try:
            reply = self.http.request(
                "GET",
                url,
                headers=headers,
                timeout=new_timeout(READ_TIMEOUT_S, CALL_TIMEOUT_S),
                preload_content=False,
            )
            body = read_body(reply, MAX_LIST_BYTES)
        except urllib3.exceptions.HTTPError as exc:
            raise PlatformError(f"{url} did not respond: {exc}") from exc
        platform_traffic.add(len(body), HTTP_OVERHEAD_BYTES)
        if reply.status == 304:
            return self.last_vms
        if reply.status != 200:
            raise PlatformError(f"{url} returned status {reply.status}")
        self.last_vms = parse_vm_list(body.decode("utf-8", "replace"))
        self.etag = reply.headers.get("ETag", "")
        return self.last_vms
