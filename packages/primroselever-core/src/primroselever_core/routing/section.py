"""The blackboard's section on backend servers, as known to an entry."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..identifiers import Incarnation, VmId

if TYPE_CHECKING:
    from collections.abc import Container

    from ..membership.vm import Vm

UNKNOWN_INCARNATION = Incarnation(0)

# A server that reported leaving has stopped or been replaced after this time.
LEAVING_VALID_S = 60.0
REPORT_VALID_S = 5.0
OTHERS_LOAD_SMOOTHING_S = 4.0


@dataclass(slots=True)
class Server:
    """
    One backend server.

    ``in_flight`` counts this process's own runs on the server. ``reported`` is the
    number of runs in the server's last report, and ``others_load`` the smoothed number
    of runs of other processes. No new work is sent before ``avoid_until``, set when the
    server was unreachable or refused work, or before ``ejected_until``, set when its
    answers failed. ``epoch`` is the start epoch that the server announced, valid until
    ``epoch_until``.
    """

    vm: Vm
    incarnation: Incarnation = UNKNOWN_INCARNATION
    in_flight: int = 0
    reported: int = 0
    others_load: float = 0.0
    reported_at: float = 0.0
    leaving: bool = False
    leaving_until: float = 0.0
    avoid_until: float = 0.0
    epoch: int = 0
    epoch_until: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    def usable(self, now: float) -> bool:
        """Return whether new work may be sent to the server."""
        if self.leaving and now < self.leaving_until:
            return False
        return (
            not self.vm.leaving
            and self.avoid_until <= now
            and self.ejected_until <= now
        )

    def load(self) -> float:
        """Return the own runs on the server plus the estimated runs of others."""
        return self.in_flight + self.others_load

    def apply_report(self, in_flight: int, leaving: bool, now: float) -> None:
        """
        Update the load and the leaving state from a reply of the server.

        Reports lag. If all entries followed the latest one, they would all send to the
        same server and then all avoid it. The load of other processes is therefore
        smoothed over more time than reports lag, while own runs are counted exactly.
        """
        self.reported = in_flight
        others_load = max(0, in_flight - self.in_flight)
        elapsed_s = max(0.0, now - self.reported_at)
        self.others_load += (1 - math.exp(-elapsed_s / OTHERS_LOAD_SMOOTHING_S)) * (
            others_load - self.others_load
        )
        self.reported_at = now
        self.leaving = leaving
        if leaving:
            self.leaving_until = now + LEAVING_VALID_S

    def discard_stale_report(self, now: float) -> None:
        """Set the load of other processes to zero once the last report is stale."""
        if now - self.reported_at > REPORT_VALID_S:
            self.others_load = 0.0


@dataclass(slots=True)
class ServersSection:
    """All backend servers by VM id; written by the routing controller."""

    servers: dict[VmId, Server] = field(default_factory=dict)

    def get_server(self, vm: Vm) -> Server:
        """Return the server of a VM, created if it is new or its address changed."""
        server = self.servers.get(vm.vm_id)
        if server is None or server.vm.address != vm.address:
            server = self.servers[vm.vm_id] = Server(vm)
        server.vm = vm
        return server

    def remove_gone(self, vms: Container[VmId], now: float) -> None:
        """Remove servers that are not in ``vms`` and have no runs and no ejection."""
        for vm_id, server in list(self.servers.items()):
            idle = not server.in_flight and server.ejected_until <= now
            if idle and vm_id not in vms:
                del self.servers[vm_id]
