"""
A fleet whose failure domains reach each other and the platform over emulated links.

Each failure domain has its own VM list, in which the VMs of other domains have the
ports of links. So a domain can be cut off from any other domain and the platform.
"""

from __future__ import annotations

import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .launcher import Launcher
from .layout import HOST, allocate_ports, url

if TYPE_CHECKING:
    from .layout import Layout, VmPlan

PLATFORM = "platform"
ONE_WAY_DELAY_S = 0.0045
CROSS_DOMAIN_BYTES_PER_S = 11_000_000 / 8


def build_path_name(source: str, destination: str) -> str:
    """Return the name of the path from a failure domain to another or the platform."""
    return f"{source}>{destination}"


@dataclass(slots=True)
class LinkPlan:
    """All links; ``ports`` maps a source domain and a target port to a link's port."""

    domains: list[str]
    control_port: int
    vm_list_ports: dict[str, int]
    links: list[dict[str, Any]] = field(default_factory=list)
    ports: dict[tuple[str, int], int] = field(default_factory=dict)

    def add_link(
        self, source: str, destination: str, target_port: int, port: int
    ) -> None:
        """Add the link on which a domain reaches a target port."""
        self.ports[source, target_port] = port
        self.links.append(
            {
                "path": build_path_name(source, destination),
                "host": HOST,
                "port": port,
                "target": [HOST, target_port],
                "delay_s": ONE_WAY_DELAY_S,
                "rate": CROSS_DOMAIN_BYTES_PER_S if destination != PLATFORM else 0,
            }
        )


def plan_links(layout: Layout) -> LinkPlan:
    """Return a plan with all links of a layout."""
    domains = sorted({vm.failure_domain for vm in layout.vms})
    platform_ports = (layout.configuration_port, layout.store_port, layout.origin_port)
    ports_per_domain = len(layout.vms) + len(platform_ports) + 2
    ports = iter(allocate_ports(1 + ports_per_domain * len(domains)))
    plan = LinkPlan(domains, next(ports), {domain: next(ports) for domain in domains})
    for source in domains:
        for target_port in (*platform_ports, plan.vm_list_ports[source]):
            plan.add_link(source, PLATFORM, target_port, next(ports))
        for vm in layout.vms:
            if vm.failure_domain != source:
                plan.add_link(source, vm.failure_domain, vm.rpc_port, next(ports))
    return plan


class LinkedLauncher(Launcher):
    """A running fleet on links, with methods that cause and undo faults."""

    def __init__(
        self, layout: Layout, faults: dict[str, dict[str, Any]] | None = None
    ) -> None:
        super().__init__(layout, faults)
        self.link_plan = plan_links(layout)
        for vm in layout.vms:
            vm.settings["platform"] = self.build_platform_urls(vm)

    def build_platform_urls(self, vm: VmPlan) -> dict[str, str]:
        """Return the URLs under which a VM reaches the platform."""
        source, layout = vm.failure_domain, self.layout
        target_ports = {
            "configuration_service": layout.configuration_port,
            "vm_list": self.link_plan.vm_list_ports[source],
            "weight_store": layout.store_port,
            "origin": layout.origin_port,
        }
        return {
            name: url(self.link_plan.ports[source, target_port])
            for name, target_port in target_ports.items()
        }

    def start_standins(self) -> None:
        """Start the links and VM lists, then all other stand-ins."""
        vm_lists = [
            self.plan_standin(
                "vm_list",
                self.link_plan.vm_list_ports[domain],
                vms=self.build_vm_list(domain),
            )
            for domain in self.link_plan.domains
        ]
        links = self.plan_standin(
            "links", self.link_plan.control_port, links=self.link_plan.links
        )
        self.start_standins_process("links", [*vm_lists, links])
        super().start_standins()
        self.wait_for(lambda: self.control_links() is not None, 15.0, "links")

    def build_vm_list(self, source: str) -> list[dict[str, Any]]:
        """Return the VM list for one failure domain, with the ports of its links."""
        entries = []
        for vm in self.layout.vms:
            port = self.link_plan.ports.get((source, vm.rpc_port), vm.rpc_port)
            entries.append({**vm.build_list_entry(), "rpc_port": port})
        return entries

    def control_links(self, **fields: list[str]) -> Any:
        """Post a control request to the links and return their state."""
        return self.post_control(self.link_plan.control_port, **fields)

    def cut_paths(self, first: str, second: str) -> None:
        """Cut all paths between two failure domains, or one and the platform."""
        self.control_links(cut=self.paths_between(first, second))

    def heal_paths(self, first: str, second: str) -> None:
        """Undo a cut; connections that were used during it stay silent."""
        self.control_links(heal=self.paths_between(first, second))

    def silence_connections(self, first: str, second: str) -> None:
        """Silence all open connections between two failure domains permanently."""
        self.control_links(silence=self.paths_between(first, second))

    def paths_between(self, first: str, second: str) -> list[str]:
        """Return the names of the paths between two failure domains, both ways."""
        names = {link["path"] for link in self.link_plan.links}
        return [
            name
            for name in (build_path_name(first, second), build_path_name(second, first))
            if name in names
        ]

    def kill_vm(self, vm: VmPlan) -> None:
        """Kill a VM's process with SIGKILL."""
        self.stop_vm(vm.vm_id, signal.SIGKILL)

    def pause_vm(self, vm: VmPlan) -> None:
        """Pause a VM's process until ``resume_vm``."""
        self.signal_vm(vm.vm_id, signal.SIGSTOP)

    def resume_vm(self, vm: VmPlan) -> None:
        """Resume a paused process."""
        self.signal_vm(vm.vm_id, signal.SIGCONT)

    def set_platform_down(self, down: bool) -> None:
        """Stop or resume answers of the configuration service and the VM lists."""
        self.post_control(self.layout.configuration_port, down=down)
        for port in self.link_plan.vm_list_ports.values():
            self.post_control(port, down=down)

    def serve_stale_revision(self, revision: int) -> None:
        """Make the configuration service answer with an old revision; 0 ends that."""
        self.post_control(self.layout.configuration_port, stale=revision)

    def crash_engine(self, vm: VmPlan) -> None:
        """Crash and restart a VM's engine: its runs fail and its weights are lost."""
        self.post_control(vm.backend_port, crash=True)
