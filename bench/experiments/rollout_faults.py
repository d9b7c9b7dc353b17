"""Runs a rollout with killed VMs, a corrupt peer, a cut and changed content."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING, Any

import urllib3

from primroselever_core.transfer.manifest import Manifest

from ..launcher import Launcher
from ..layout import HOST, Layout, VmPlan, allocate_ports, url
from ..rollout_fleet import (
    MODEL,
    LinkParameters,
    add_link_arguments,
    build_fleet_layout,
    build_profiles,
    build_source_faults,
    get_control_page,
    get_page,
    parse_link_arguments,
    wait_for_serving_times,
)

if TYPE_CHECKING:
    import argparse

OBJECTIVE = "time_to_replicas"
CUT_DOMAIN = "domain-2"
FAULTS_AFTER_S = 2.0
CHANGE_AFTER_S = 3.0
HEAL_AFTER_S = 12.0
CHANGED_CHUNKS = 4
KILLED_SHARE = 0.1
LIMIT_S = 60.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    add_link_arguments(parser)


class FaultyFleet:
    """A layout with links around one failure domain and three different VM lists."""

    def __init__(self, layout: Layout, links: LinkParameters) -> None:
        self.layout = layout
        self.links = links
        self.link_plans: list[dict[str, Any]] = []
        agents = layout.agents()
        self.cut_off_vms = [vm for vm in agents if vm.failure_domain == CUT_DOMAIN]
        self.other_vms = [vm for vm in agents if vm.failure_domain != CUT_DOMAIN]
        ports = iter(allocate_ports(len(agents) + 9))
        self.link_port = next(ports)
        self.corrupt_port = next(ports)
        self.corrupt_vm = self.other_vms[0]
        self.paused_vm = self.other_vms[-1]
        self.vm_list_ports = {
            name: next(ports) for name in ("outside", "partial", "inside")
        }
        link_ports = {vm.vm_id: next(ports) for vm in agents}
        self.list_outside = [
            self.build_list_entry(vm, self.cut_off_vms, link_ports) for vm in agents
        ]
        self.list_inside = [
            self.build_list_entry(vm, self.other_vms, link_ports) for vm in agents
        ]
        self.set_platform_urls(ports)

    def add_link(self, port: int, target_port: int) -> None:
        """Add a link between the failure domain that is cut off and the others."""
        link = {"path": CUT_DOMAIN, "host": HOST, "port": port}
        self.link_plans.append({**link, "target": [HOST, target_port]})

    def build_list_entry(
        self, vm: VmPlan, linked_vms: list[VmPlan], ports: dict[str, int]
    ) -> dict[str, Any]:
        """Return a VM's list entry, with its link's port if it is in ``linked_vms``."""
        entry = vm.build_list_entry()
        if vm in linked_vms:
            self.add_link(ports[vm.vm_id], vm.rpc_port)
            entry["rpc_port"] = ports[vm.vm_id]
        return entry

    def set_platform_urls(self, ports: Any) -> None:
        """Set the VM list of each agent, and the link ports of the cut domain."""
        direct = {
            "configuration_service": self.layout.configuration_port,
            "vm_list": self.vm_list_ports["inside"],
            "weight_store": self.layout.store_port,
            "origin": self.layout.origin_port,
        }
        link_ports = {name: next(ports) for name in direct}
        for name, port in direct.items():
            self.add_link(link_ports[name], port)
        for vm in self.cut_off_vms:
            vm.settings["platform"] = {
                name: url(port) for name, port in link_ports.items()
            }
        for index, vm in enumerate(self.other_vms):
            list_name = "partial" if index % 2 else "outside"
            ports_by_service = {**direct, "vm_list": self.vm_list_ports[list_name]}
            vm.settings["platform"] = {
                name: url(port) for name, port in ports_by_service.items()
            }

    def plan_standins(self, fleet: Launcher) -> list[dict[str, Any]]:
        """Return the plan of the stand-ins that only this fleet needs."""
        left_out = {vm.vm_id for vm in self.other_vms[3:5]}
        partial_list = [vm for vm in self.list_outside if vm["id"] not in left_out]
        return [
            fleet.plan_standin(
                "vm_list", self.vm_list_ports["outside"], vms=self.list_outside
            ),
            fleet.plan_standin(
                "vm_list", self.vm_list_ports["partial"], vms=partial_list
            ),
            fleet.plan_standin(
                "vm_list", self.vm_list_ports["inside"], vms=self.list_inside
            ),
            fleet.plan_standin("links", self.link_port, links=self.link_plans),
        ]

    def start_corrupt_peer(self, fleet: Launcher) -> None:
        """Replace an agent by a peer that sends damaged chunks."""
        fleet.stop_vm(self.corrupt_vm.vm_id, signal.SIGTERM)
        peer = fleet.plan_standin(
            "corrupt_peer",
            self.corrupt_port,
            vm_id=self.corrupt_vm.vm_id,
            rpc_port=self.corrupt_vm.rpc_port,
            chunk_bytes=self.links.chunk_bytes,
        )
        fleet.start_standins_process("corrupt-peer", [peer])


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run one rollout under faults and return its results."""
    links = parse_link_arguments(arguments)
    layout = build_fleet_layout(links, arguments.vms, arguments.domains)
    faulty = FaultyFleet(layout, links)
    with Launcher(layout, build_source_faults(links), engines_per_process=40) as fleet:
        fleet.start_standins_process("more", faulty.plan_standins(fleet))
        return Rollout(fleet, faulty, links).run()


class Rollout:
    """One rollout of version 2 over version 1, with all faults."""

    def __init__(
        self, fleet: Launcher, faulty: FaultyFleet, links: LinkParameters
    ) -> None:
        self.fleet = fleet
        self.faulty = faulty
        self.links = links
        self.lost_vm_ids: set[str] = {faulty.corrupt_vm.vm_id}
        self.manifests: list[Manifest] = []

    def run(self) -> dict[str, Any]:
        """Roll out version 1 without faults and version 2 under faults."""
        fleet, layout = self.fleet, self.fleet.layout
        fleet.wait_for(self.agents_answer, 60.0, "agents answer")
        published_at = time.time()
        fleet.publish_profiles(build_profiles("1", objective=OBJECTIVE))
        first_times_s = wait_for_serving_times(fleet, "1", published_at, LIMIT_S, set())
        self.faulty.start_corrupt_peer(fleet)
        self.record_manifest("1")
        self.record_manifest("2")
        old_digest = self.manifests[0].digest
        bytes_before = self.count_origin_bytes_by_vm()
        sent_before = int(get_control_page(fleet, layout.origin_port)["sent_bytes"])
        published_at = time.time()
        fleet.publish_profiles(build_profiles("2", objective=OBJECTIVE))
        kept_serving = self.cause_faults(published_at, old_digest)
        serving_times_s = wait_for_serving_times(
            fleet, "2", published_at, LIMIT_S, self.lost_vm_ids
        )
        self.wait_for_same_content(published_at + LIMIT_S)
        copies = count_copies_by_domain(
            {vm.vm_id: vm.failure_domain for vm in layout.agents()},
            bytes_before,
            self.count_origin_bytes_by_vm(),
            self.links.version_bytes,
        )
        sent_bytes = (
            int(get_control_page(fleet, layout.origin_port)["sent_bytes"]) - sent_before
        )
        survivors = [vm for vm in layout.agents() if vm.vm_id not in self.lost_vm_ids]
        wrong_chunks, handed_chunks = self.count_wrong_chunks()
        return {
            "vms": len(layout.agents()),
            "version_1_served": len(first_times_s),
            "killed": len(self.lost_vm_ids) - 2,
            "survivors": len(survivors),
            "survivors_serving_final_content": self.count_serving_final(),
            "time_to_all_s": round(serving_times_s[-1], 2) if serving_times_s else None,
            "served": len(serving_times_s),
            "healed_at_s": HEAL_AFTER_S,
            "origin_copies": round(sent_bytes / self.links.version_bytes, 3),
            "origin_copies_by_domain": copies,
            "chunks_handed_to_engines": handed_chunks,
            "corrupt_chunks_given": self.count_corrupt_chunks(),
            "corrupt_chunks_handed_to_engines": wrong_chunks,
            "cut_domain_kept_serving_old": kept_serving,
        }

    def agents_answer(self) -> bool:
        """Return whether all agents answer on their admin ports."""
        agents = self.fleet.layout.agents()
        return all(self.fleet.get_json(vm.admin_port, "/status") for vm in agents)

    def record_manifest(self, version: str) -> None:
        """Record the current manifest of a version at the origin."""
        port = self.fleet.layout.origin_port
        path = f"{url(port)}/v1/weights/{MODEL}/none/{version}/manifest"
        self.manifests.append(Manifest.parse(urllib3.request("GET", path).data))

    def cause_faults(self, published_at: float, old_digest: str) -> bool:
        """Cause all faults, end the cut; return whether the cut domain kept serving."""
        fleet, faulty = self.fleet, self.faulty
        sleep_until(published_at + FAULTS_AFTER_S)
        fleet.post_control(faulty.link_port, cut=[CUT_DOMAIN])
        candidate_vm_ids = [
            vm.vm_id
            for vm in fleet.layout.agents()
            if vm not in (faulty.corrupt_vm, faulty.paused_vm)
        ]
        killed_vm_ids = candidate_vm_ids[:: int(1 / KILLED_SHARE)]
        for vm_id in killed_vm_ids:
            fleet.stop_vm(vm_id, signal.SIGKILL)
        fleet.processes[faulty.paused_vm.vm_id].send_signal(signal.SIGSTOP)
        self.lost_vm_ids |= {*killed_vm_ids, faulty.paused_vm.vm_id}
        sleep_until(published_at + CHANGE_AFTER_S)
        port = fleet.layout.origin_port
        fleet.post_control(port, salt="changed", salted_chunks=CHANGED_CHUNKS)
        self.record_manifest("2")
        kept_serving = True
        while time.time() < published_at + HEAL_AFTER_S:
            kept_serving = kept_serving and self.cut_domain_serves(old_digest)
            time.sleep(0.5)
        fleet.post_control(faulty.link_port, heal=[CUT_DOMAIN])
        return kept_serving

    def cut_domain_serves(self, old_digest: str) -> bool:
        """Return whether each live VM of the cut domain serves the old version."""
        statuses = [
            self.fleet.get_json(vm.admin_port, "/status")
            for vm in self.faulty.cut_off_vms
            if vm.vm_id not in self.lost_vm_ids
        ]
        return all(status and status["serving"] == old_digest for status in statuses)

    def count_serving_final(self) -> int:
        """Return the number of survivors' engines that have the final content."""
        final_digest = self.manifests[-1].digest
        engines = [
            get_control_page(self.fleet, vm.backend_port)
            for vm in self.fleet.layout.agents()
            if vm.vm_id not in self.lost_vm_ids
        ]
        return sum(engine["digest"] == final_digest for engine in engines)

    def wait_for_same_content(self, deadline: float) -> None:
        """Wait until all survivors serve the final content, or until the deadline."""
        count = len(self.fleet.layout.agents()) - len(self.lost_vm_ids)
        while time.time() < deadline and self.count_serving_final() < count:
            time.sleep(0.5)

    def count_origin_bytes_by_vm(self) -> dict[str, int]:
        """Return the bytes that each agent but the lost ones read from the origin."""
        return {
            vm.vm_id: get_page(self.fleet, vm.admin_port, "/status")
            .get("bytes_by_source", {})
            .get("origin", 0)
            for vm in self.fleet.layout.agents()
            if vm.vm_id not in self.lost_vm_ids
        }

    def count_corrupt_chunks(self) -> int:
        """Return the number of damaged chunks that the corrupt peer sent."""
        counters = get_control_page(self.fleet, self.faulty.corrupt_port)
        return int(counters["faults"]["chunks_given"])

    def count_wrong_chunks(self) -> tuple[int, int]:
        """Return the numbers of wrong and of all chunks that engines received."""
        chunks_by_digest = {
            manifest.digest: manifest.chunks for manifest in self.manifests
        }
        wrong_chunks = handed_chunks = 0
        for vm in self.fleet.layout.agents():
            engine = get_control_page(self.fleet, vm.backend_port)
            for digest, chunks in engine["handed"].items():
                for index, chunk in chunks.items():
                    handed_chunks += 1
                    expected_chunks = chunks_by_digest.get(digest)
                    wrong_chunks += (
                        expected_chunks is None or expected_chunks[int(index)] != chunk
                    )
        return wrong_chunks, handed_chunks


def count_copies_by_domain(
    domain_by_vm: dict[str, str],
    bytes_before: dict[str, int],
    bytes_after: dict[str, int],
    version_bytes: int,
) -> dict[str, float]:
    """
    Return the copies that agents read from the origin, by failure domain.

    Agents that were lost between the two counts are in neither sum, as their counts
    were lost with them; the origin's own count includes what they read.
    """
    totals: dict[str, int] = {}
    for vm_id, count in bytes_after.items():
        domain = domain_by_vm[vm_id]
        totals[domain] = totals.get(domain, 0) + count - bytes_before[vm_id]
    return {domain: round(total / version_bytes, 3) for domain, total in totals.items()}


def sleep_until(wall_time: float) -> None:
    """Sleep until a wall-clock time."""
    time.sleep(max(0.0, wall_time - time.time()))
