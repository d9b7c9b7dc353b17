"""The layout of a fleet on the loopback address: its processes and their ports."""

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
PORTS_PER_BLOCK = 1000
PORTS_PER_VM = 3
BLOCK_START_RANGE = (10000, 32000)
TICKET_KEY_VARIABLE = "PRIMROSELEVER_TICKET_KEY"
TURN_AWAY_S = 0.5


class PortBlock:
    """
    A block of ports that belongs to this process until it exits.

    A process claims a block by listening on its first port, so that concurrent runs
    never use the same ports. All blocks lie below the range from which the operating
    system assigns the ports of outgoing connections.
    """

    def __init__(self) -> None:
        starts = list(range(*BLOCK_START_RANGE, PORTS_PER_BLOCK))
        SystemRandom().shuffle(starts)
        for start in starts:
            try:
                self.claim_socket = open_listener(start)
            except OSError:
                continue
            self.ports = cycle(range(start + 1, start + PORTS_PER_BLOCK))
            return
        raise OSError(
            "no free block of ports: other runs of the bench hold all of them"
        )

    def take_port(self) -> int:
        """Return the next free port of the block; raise OSError if there is none."""
        for _ in range(PORTS_PER_BLOCK):
            port = next(self.ports)
            try:
                open_listener(port).close()
            except OSError:
                continue
            return port
        raise OSError("no free port is left in the block of this process")


def open_listener(port: int) -> socket.socket:
    """Return a socket that listens on a port; raise OSError if it is in use."""
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
        sock.listen(1)
    except OSError:
        sock.close()
        raise
    return sock


@cache
def process_port_block() -> PortBlock:
    """Return the port block of this process, which is claimed on first use."""
    return PortBlock()


def allocate_ports(count: int) -> list[int]:
    """Return free ports of this process's block."""
    return [process_port_block().take_port() for _ in range(count)]


@dataclass(slots=True)
class VmPlan:
    """One VM to launch; agents have no ``http_port``, entries no ``backend_*``."""

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

    def build_list_entry(self) -> dict[str, Any]:
        """Return the VM's entry in the VM list."""
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
    """The VMs of a fleet and the ports of its platform."""

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

    def build_settings(self, vm: VmPlan) -> dict[str, Any]:
        """Return the settings for a VM's process."""
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
    Return a layout with newly allocated ports.

    ``domains`` maps failure domains to regions. ``groups`` maps each group to the
    kind of its back ends (``engine`` or ``plain``) and their number per domain.
    """
    vms_per_domain = entries_per_domain + sum(count for _, count in groups.values())
    ports = iter(allocate_ports(4 + vms_per_domain * PORTS_PER_VM * len(domains)))
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
    """Return the plan of one entry of a failure domain."""
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
    """Return the plan of one agent of a group in a failure domain."""
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
