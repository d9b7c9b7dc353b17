"""
A fleet whose failure domains reach one another, and the platform, over links.

Each failure domain has its own VM list, in which the VMs of the other domains stand
behind links; so a domain can be cut off from any other and from the platform.
"""

from __future__ import annotations

import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .launcher import Launcher
from .layout import HOST, free_ports, url

if TYPE_CHECKING:
    from .layout import Layout, VmPlan

PLATFORM = "platform"
DELAY_S = 0.0045
BYTES_PER_S = 11_000_000 / 8


def path_name(viewer: str, other: str) -> str:
    """Return the name of the way from one failure domain to another place."""
    return f"{viewer}>{other}"


@dataclass(slots=True)
class LinkPlan:
    """The ports of all links, by the domain that uses one and where it leads."""

    domains: list[str]
    control_port: int
    vm_list_ports: dict[str, int]
    links: list[dict[str, Any]] = field(default_factory=list)
    ports: dict[tuple[str, int], int] = field(default_factory=dict)

    def add(self, viewer: str, other: str, target: int, port: int) -> None:
        """Add the link that leads a domain to one port."""
        self.ports[viewer, target] = port
        self.links.append(
            {
                "path": path_name(viewer, other),
                "host": HOST,
                "port": port,
                "target": [HOST, target],
                "delay_s": DELAY_S,
                "rate": BYTES_PER_S if other != PLATFORM else 0,
            }
        )


def plan_links(layout: Layout) -> LinkPlan:
    """Return the links of a layout."""
    domains = sorted({vm.failure_domain for vm in layout.vms})
    platform = (layout.configuration_port, layout.store_port, layout.origin_port)
    per_domain = len(layout.vms) + len(platform) + 2
    ports = iter(free_ports(1 + per_domain * len(domains)))
    plan = LinkPlan(domains, next(ports), {d: next(ports) for d in domains})
    for viewer in domains:
        for target in (*platform, plan.vm_list_ports[viewer]):
            plan.add(viewer, PLATFORM, target, next(ports))
        for vm in layout.vms:
            if vm.failure_domain != viewer:
                plan.add(viewer, vm.failure_domain, vm.rpc_port, next(ports))
    return plan


class LinkedLauncher(Launcher):
    """A running fleet on links, with faults; each method changes one thing."""

    def __init__(
        self, layout: Layout, faults: dict[str, dict[str, Any]] | None = None
    ) -> None:
        super().__init__(layout, faults)
        self.plan = plan_links(layout)
        for vm in layout.vms:
            vm.settings["platform"] = self.platform_of(vm)

    def platform_of(self, vm: VmPlan) -> dict[str, str]:
        """Return the platform's addresses as a VM sees them."""
        viewer, layout = vm.failure_domain, self.layout
        targets = {
            "configuration_service": layout.configuration_port,
            "vm_list": self.plan.vm_list_ports[viewer],
            "weight_store": layout.store_port,
            "origin": layout.origin_port,
        }
        return {
            name: url(self.plan.ports[viewer, target])
            for name, target in targets.items()
        }

    def start_standins(self) -> None:
        """Start the links, then all other stand-ins."""
        lists = [
            self.standin("vm_list", self.plan.vm_list_ports[d], vms=self.seen_from(d))
            for d in self.plan.domains
        ]
        links = self.standin("links", self.plan.control_port, links=self.plan.links)
        self.start_plan("links", [*lists, links])
        super().start_standins()
        self.wait_for(lambda: self.links() is not None, 15.0, "links")

    def seen_from(self, viewer: str) -> list[dict[str, Any]]:
        """Return the VM list as one failure domain sees it."""
        listed = []
        for vm in self.layout.vms:
            port = self.plan.ports.get((viewer, vm.rpc_port), vm.rpc_port)
            listed.append({**vm.listed(), "rpc_port": port})
        return listed

    def links(self, **fields: list[str]) -> Any:
        """Change the links and return how they are."""
        return self.control(self.plan.control_port, **fields)

    def cut(self, one: str, other: str) -> None:
        """Cut two failure domains, or one and the platform, off from each other."""
        self.links(cut=self.paths(one, other))

    def heal(self, one: str, other: str) -> None:
        """Undo a cut; connections that it touched stay silent."""
        self.links(heal=self.paths(one, other))

    def silence(self, one: str, other: str) -> None:
        """Let all open connections between two places go silent for good."""
        self.links(silence=self.paths(one, other))

    def paths(self, one: str, other: str) -> list[str]:
        """Return the ways between two places, in both directions."""
        known = {link["path"] for link in self.plan.links}
        return [p for p in (path_name(one, other), path_name(other, one)) if p in known]

    def kill(self, vm: VmPlan) -> None:
        """Kill a VM's process at once."""
        self.stop_vm(vm.vm_id, signal.SIGKILL)

    def freeze(self, vm: VmPlan) -> None:
        """Pause a VM's process; it wakes up with ``thaw``, and late."""
        self.signal_vm(vm.vm_id, signal.SIGSTOP)

    def thaw(self, vm: VmPlan) -> None:
        """Wake up a paused process."""
        self.signal_vm(vm.vm_id, signal.SIGCONT)

    def platform_down(self, down: bool) -> None:
        """Take the configuration service and the VM lists down, or bring them up."""
        self.control(self.layout.configuration_port, down=down)
        for port in self.plan.vm_list_ports.values():
            self.control(port, down=down)

    def platform_stale(self, revision: int) -> None:
        """Let the configuration service answer an old revision; 0 ends that."""
        self.control(self.layout.configuration_port, stale=revision)

    def crash_engine(self, vm: VmPlan) -> None:
        """Crash and restart a VM's engine: its runs break off, its weights are gone."""
        self.control(vm.backend_port, crash=True)
