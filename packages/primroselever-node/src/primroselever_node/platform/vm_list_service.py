"""Reading the platform's lagging list of VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3

from primroselever_core.membership.vm_list import parse_vm_list

from ..control.traffic import HTTP_OVERHEAD_BYTES, traffic
from ..exceptions import PlatformError
from .http_client import new_http_pool, timeout

if TYPE_CHECKING:
    from primroselever_core.membership.vm import Vm

READ_TIMEOUT_S = 2.0


class VmListService:
    """A client of the VM list."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool()

    def read(self) -> list[Vm]:
        """Return the VMs; raise ``PlatformError`` when the list is not to be had."""
        url = f"{self.url}/v1/vms"
        try:
            reply = self.http.request("GET", url, timeout=timeout(READ_TIMEOUT_S))
        except urllib3.exceptions.HTTPError as exc:
            raise PlatformError(f"{url} does not answer: {exc}") from exc
        traffic.add(len(reply.data), HTTP_OVERHEAD_BYTES)
        if reply.status != 200:
            raise PlatformError(f"{url} answered {reply.status}")
        return parse_vm_list(reply.data.decode("utf-8", "replace"))
