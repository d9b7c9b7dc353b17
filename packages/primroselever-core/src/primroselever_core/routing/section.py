"""The blackboard's section on backend servers, as an entry sees them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..identifiers import Incarnation, VmId

if TYPE_CHECKING:
    from collections.abc import Container

    from ..membership.vm import Vm

UNKNOWN_INCARNATION = Incarnation(0)

# A server that says that it is leaving is gone by then, or was replaced.
LEAVING_KEPT_S = 60.0
REPORT_USABLE_S = 5.0
SMOOTHING_S = 4.0


@dataclass(slots=True)
class Server:
    """
    One backend server.

    ``in_flight`` counts this process's own runs there; ``reported`` is the load
    that the server last said, and ``others`` the part of the last seconds' load
    that this process did not cause. ``avoid_until`` and ``ejected_until`` are times
    before which nothing new is sent there: because it could not be reached or said
    so, and because its answers failed.
    """

    vm: Vm
    incarnation: Incarnation = UNKNOWN_INCARNATION
    in_flight: int = 0
    reported: int = 0
    others: float = 0.0
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
        """Return the runs there, by own count and the reports on others."""
        return self.in_flight + self.others

    def take_report(self, in_flight: int, leaving: bool, now: float) -> None:
        """
        Take in what a reply of the server says.

        Reports lag: all who followed the last one would run to the same server and
        away from it again. What others do is therefore smoothed over more time than
        reports lag, and own runs are counted as they are.
        """
        self.reported = in_flight
        others = max(0, in_flight - self.in_flight)
        passed_s = max(0.0, now - self.reported_at)
        self.others += (1 - math.exp(-passed_s / SMOOTHING_S)) * (others - self.others)
        self.reported_at = now
        self.leaving = leaving
        if leaving:
            self.leaving_until = now + LEAVING_KEPT_S

    def forget_stale_report(self, now: float) -> None:
        """Count on nobody else's runs there once the last report is old."""
        if now - self.reported_at > REPORT_USABLE_S:
            self.others = 0.0


@dataclass(slots=True)
class ServersSection:
    """All backend servers by VM; written by the routing controller."""

    servers: dict[VmId, Server] = field(default_factory=dict)

    def of(self, vm: Vm) -> Server:
        """Return the record of a VM's server, made on first use."""
        server = self.servers.get(vm.vm_id)
        if server is None or server.vm.address != vm.address:
            server = self.servers[vm.vm_id] = Server(vm)
        server.vm = vm
        return server

    def forget_gone(self, vms: Container[VmId], now: float) -> None:
        """Forget the servers of VMs that are gone, unless runs or an ejection last."""
        for vm_id, server in list(self.servers.items()):
            idle = not server.in_flight and server.ejected_until <= now
            if idle and vm_id not in vms:
                del self.servers[vm_id]
