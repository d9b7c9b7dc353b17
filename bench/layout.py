"""A fleet on loopback addresses: which processes there are, and where."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from functools import cache
from itertools import cycle
from random import SystemRandom
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST = "127.0.0.1"
BLOCK_PORTS = 1000
PORTS_PER_VM = 3
BLOCK_STARTS = (10000, 32000)
TICKET_KEY_VARIABLE = "PRIMROSELEVER_TICKET_KEY"
TURN_AWAY_S = 0.5


class PortBlock:
    """
    A block of ports that belongs to this process for as long as it lives.

    Whoever listens on the block's first port has claimed it, so that two runs at a
    time never take the same ports. All blocks lie below the range from which the
    system takes the ports of outgoing connections.
    """

    def __init__(self) -> None:
        starts = list(range(*BLOCK_STARTS, BLOCK_PORTS))
        SystemRandom().shuffle(starts)
        for start in starts:
            try:
                self.guard = bound(start)
            except OSError:
                continue
            self.ports = cycle(range(start + 1, start + BLOCK_PORTS))
            return
        raise OSError("every block of ports is taken by a run of the bench")

    def take(self) -> int:
        """Return the next free port of the block."""
        for _ in range(BLOCK_PORTS):
            port = next(self.ports)
            try:
                bound(port).close()
            except OSError:
                continue
            return port
        raise OSError("all ports of the block are taken")


def bound(port: int) -> socket.socket:
    """Return a socket that listens on a port which nobody else listens on."""
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
        sock.listen(1)
    except OSError:
        sock.close()
        raise
    return sock


@cache
def own_block() -> PortBlock:
    """Return the block of this process, claimed on first use."""
    return PortBlock()


def free_ports(count: int) -> list[int]:
    """Return ports that nobody else takes."""
    return [own_block().take() for _ in range(count)]


@dataclass(slots=True)
class VmPlan:
    """One VM to launch; ``http_port`` is 0 for agents, ``backend`` for entries."""

    vm_id: str
    role: str
    failure_domain: str
    region: str
    group: str
    rpc_port: int
    admin_port: int
    http_port: int = 0
    backend_port: int = 0
    backend_kind: str = ""
    settings: dict[str, Any] = field(default_factory=dict)

    def listed(self) -> dict[str, Any]:
        """Return the VM as the VM list shows it."""
        return {
            "id": self.vm_id,
            "role": self.role,
            "address": HOST,
            "rpc_port": self.rpc_port,
            "failure_domain": self.failure_domain,
            "region": self.region,
            "group": self.group,
            "state": "live",
        }


@dataclass(slots=True)
class Layout:
    """A whole fleet and the ports of its platform."""

    vms: list[VmPlan]
    configuration_port: int
    vm_list_port: int
    store_port: int
    origin_port: int

    def entries(self) -> list[VmPlan]:
        """Return the entry VMs."""
        return [vm for vm in self.vms if vm.role == "entry"]

    def agents(self) -> list[VmPlan]:
        """Return the backend server VMs."""
        return [vm for vm in self.vms if vm.role == "agent"]

    def settings_of(self, vm: VmPlan) -> dict[str, Any]:
        """Return the settings of a VM's process."""
        settings: dict[str, Any] = {
            "vm_id": vm.vm_id,
            "failure_domain": vm.failure_domain,
            "region": vm.region,
            "rpc": {"host": HOST, "port": vm.rpc_port},
            "admin": {"host": HOST, "port": vm.admin_port},
            "platform": {
                "configuration_service": url(self.configuration_port),
                "vm_list": url(self.vm_list_port),
                "weight_store": url(self.store_port),
                "origin": url(self.origin_port),
            },
            "secrets": {"ticket_key_variable": TICKET_KEY_VARIABLE},
        }
        if vm.role == "entry":
            settings["http"] = {"host": HOST, "port": vm.http_port}
            settings["turn_away_s"] = TURN_AWAY_S
        else:
            settings["group"] = vm.group
            settings["backend"] = {
                "kind": vm.backend_kind,
                "url": url(vm.backend_port),
            }
        return {**settings, **vm.settings}


def url(port: int) -> str:
    """Return the URL of a port on the loopback address."""
    return f"http://{HOST}:{port}"


def build_layout(
    domains: dict[str, str],
    entries_per_domain: int,
    groups: dict[str, tuple[str, int]],
) -> Layout:
    """
    Return a layout.

    ``domains`` maps failure domains to regions; ``groups`` maps a group to the
    kind of its back ends (``engine`` or ``plain``) and their count in each
    domain.
    """
    vms_per_domain = entries_per_domain + sum(count for _, count in groups.values())
    ports = iter(free_ports(4 + vms_per_domain * PORTS_PER_VM * len(domains)))
    layout = Layout([], next(ports), next(ports), next(ports), next(ports))
    for domain, region in domains.items():
        for number in range(entries_per_domain):
            layout.vms.append(plan_entry(domain, region, number, ports))
        for group, (kind, count) in groups.items():
            for number in range(count):
                layout.vms.append(
                    plan_agent(domain, region, group, kind, number, ports)
                )
    return layout


def plan_entry(domain: str, region: str, number: int, ports: Iterator[int]) -> VmPlan:
    """Return one entry of a failure domain."""
    return VmPlan(
        vm_id=f"{domain}-entry-{number}",
        role="entry",
        failure_domain=domain,
        region=region,
        group="",
        rpc_port=next(ports),
        admin_port=next(ports),
        http_port=next(ports),
    )


def plan_agent(
    domain: str, region: str, group: str, kind: str, number: int, ports: Iterator[int]
) -> VmPlan:
    """Return one agent of a group in a failure domain."""
    return VmPlan(
        vm_id=f"{domain}-{group}-{number}",
        role="agent",
        failure_domain=domain,
        region=region,
        group=group,
        rpc_port=next(ports),
        admin_port=next(ports),
        backend_port=next(ports),
        backend_kind=kind,
    )
