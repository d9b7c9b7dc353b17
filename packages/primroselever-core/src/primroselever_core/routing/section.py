"""The blackboard's section on backend servers, as an entry sees them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..identifiers import Incarnation, VmId

if TYPE_CHECKING:
    from ..membership.vm import Vm

UNKNOWN_INCARNATION = Incarnation(0)


@dataclass(slots=True)
class Server:
    """
    One backend server.

    ``in_flight`` counts this process's own runs there, ``reported`` is the load
    that the server last said, and ``avoid_until`` the time before which nothing
    new is sent there.
    """

    vm: Vm
    incarnation: Incarnation = UNKNOWN_INCARNATION
    in_flight: int = 0
    reported: int = 0
    leaving: bool = False
    avoid_until: float = 0.0
    epoch: int = 0
    epoch_until: float = 0.0

    def usable(self, now: float) -> bool:
        """Return whether new work may be sent to the server."""
        return not self.leaving and not self.vm.leaving and self.avoid_until <= now


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
