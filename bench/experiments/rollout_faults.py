"""A rollout while VMs die, links stall, bytes are damaged and domains part."""

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
    parse_link_arguments,
    wait_for_serving_times,
)

if TYPE_CHECKING:
    import argparse

OBJECTIVE = "time_to_replicas"
CUT_DOMAIN = "domain-2"
FAULTS_AT_S = 2.0
CHANGE_AT_S = 3.0
HEAL_AT_S = 12.0
CHANGED_CHUNKS = 4
KILLED_SHARE = 0.1
LIMIT_S = 60.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the experiment's arguments."""
    add_link_arguments(parser)


class FaultyFleet:
    """A layout with a link around one failure domain, and lists that disagree."""

    def __init__(self, layout: Layout, links: LinkParameters) -> None:
        self.layout = layout
        self.links = links
        self.relays: list[dict[str, Any]] = []
        agents = layout.agents()
        self.inside = [vm for vm in agents if vm.failure_domain == CUT_DOMAIN]
        self.outside = [vm for vm in agents if vm.failure_domain != CUT_DOMAIN]
        ports = iter(allocate_ports(len(agents) + 9))
        self.link_port = next(ports)
        self.corrupt_port = next(ports)
        self.corrupt = self.outside[0]
        self.stalled = self.outside[-1]
        self.lists = {name: next(ports) for name in ("outside", "partial", "inside")}
        relayed = {vm.vm_id: next(ports) for vm in agents}
        self.seen_outside = [self.listed(vm, self.inside, relayed) for vm in agents]
        self.seen_inside = [self.listed(vm, self.outside, relayed) for vm in agents]
        self.point_at_lists(ports)

    def relay(self, port: int, behind: int) -> None:
        """Put a port on the link around the failure domain that is cut off."""
        link = {"path": CUT_DOMAIN, "host": HOST, "port": port}
        self.relays.append({**link, "target": [HOST, behind]})

    def listed(
        self, vm: VmPlan, relayed: list[VmPlan], ports: dict[str, int]
    ) -> dict[str, Any]:
        """Return a VM as a list shows it, at the link's port if it is behind it."""
        entry = vm.build_list_entry()
        if vm in relayed:
            self.relay(ports[vm.vm_id], vm.rpc_port)
            entry["rpc_port"] = ports[vm.vm_id]
        return entry

    def point_at_lists(self, ports: Any) -> None:
        """Tell each agent its VM list, and the cut domain the link's ports."""
        direct = {
            "configuration_service": self.layout.configuration_port,
            "vm_list": self.lists["inside"],
            "weight_store": self.layout.store_port,
            "origin": self.layout.origin_port,
        }
        behind = {name: next(ports) for name in direct}
        for name, port in direct.items():
            self.relay(behind[name], port)
        for vm in self.inside:
            vm.settings["platform"] = {n: url(p) for n, p in behind.items()}
        for number, vm in enumerate(self.outside):
            which = "partial" if number % 2 else "outside"
            seen = {**direct, "vm_list": self.lists[which]}
            vm.settings["platform"] = {n: url(p) for n, p in seen.items()}

    def plan(self, fleet: Launcher) -> list[dict[str, Any]]:
        """Return the stand-ins that this fleet needs besides the usual ones."""
        left_out = {vm.vm_id for vm in self.outside[3:5]}
        partial = [vm for vm in self.seen_outside if vm["id"] not in left_out]
        return [
            fleet.plan_standin("vm_list", self.lists["outside"], vms=self.seen_outside),
            fleet.plan_standin("vm_list", self.lists["partial"], vms=partial),
            fleet.plan_standin("vm_list", self.lists["inside"], vms=self.seen_inside),
            fleet.plan_standin("links", self.link_port, links=self.relays),
        ]

    def start_corrupt_peer(self, fleet: Launcher) -> None:
        """Put a peer that gives damaged chunks in the place of an agent."""
        fleet.stop_vm(self.corrupt.vm_id, signal.SIGTERM)
        peer = fleet.plan_standin(
            "corrupt_peer",
            self.corrupt_port,
            vm_id=self.corrupt.vm_id,
            rpc_port=self.corrupt.rpc_port,
            chunk_bytes=self.links.chunk_bytes,
        )
        fleet.start_standins_process("corrupt-peer", [peer])


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run one rollout under faults and return its figures."""
    links = parse_link_arguments(arguments)
    layout = build_fleet_layout(links, arguments.vms, arguments.domains)
    faulty = FaultyFleet(layout, links)
    with Launcher(layout, build_source_faults(links), engines_per_process=40) as fleet:
        fleet.start_standins_process("more", faulty.plan(fleet))
        return Rollout(fleet, faulty, links).run()


class Rollout:
    """One rollout of version 2 over version 1, with all faults."""

    def __init__(
        self, fleet: Launcher, faulty: FaultyFleet, links: LinkParameters
    ) -> None:
        self.fleet = fleet
        self.faulty = faulty
        self.links = links
        self.lost: set[str] = {faulty.corrupt.vm_id}
        self.manifests: list[Manifest] = []

    def run(self) -> dict[str, Any]:
        """Roll out version 1 in peace and version 2 under faults."""
        fleet, layout = self.fleet, self.fleet.layout
        fleet.wait_for(self.agents_answer, 60.0, "agents answer")
        since = time.time()
        fleet.publish_profiles(build_profiles("1", objective=OBJECTIVE))
        first = wait_for_serving_times(fleet, "1", since, LIMIT_S, set())
        self.faulty.start_corrupt_peer(fleet)
        self.note_manifest("1")
        self.note_manifest("2")
        old = self.manifests[0].digest
        before = self.bytes_by_domain()
        sent = int(get_control_page(fleet, layout.origin_port)["sent_bytes"])
        since = time.time()
        fleet.publish_profiles(build_profiles("2", objective=OBJECTIVE))
        kept = self.bring_faults(since, old)
        times = wait_for_serving_times(fleet, "2", since, LIMIT_S, self.lost)
        self.wait_same_content(since + LIMIT_S)
        after = self.bytes_by_domain()
        total = int(get_control_page(fleet, layout.origin_port)["sent_bytes"]) - sent
        survivors = [vm for vm in layout.agents() if vm.vm_id not in self.lost]
        copies = {
            d: round((after[d] - before[d]) / self.links.version_bytes, 3)
            for d in after
        }
        wrong, handed = self.wrong_chunks()
        return {
            "vms": len(layout.agents()),
            "version_1_served": len(first),
            "killed": len(self.lost) - 2,
            "survivors": len(survivors),
            "survivors_serving_final_content": self.serving_final(),
            "time_to_all_s": round(times[-1], 2) if times else None,
            "served": len(times),
            "healed_at_s": HEAL_AT_S,
            "origin_copies": round(total / self.links.version_bytes, 3),
            "origin_copies_by_domain": copies,
            "chunks_handed_to_engines": handed,
            "corrupt_chunks_given": self.corrupt_given(),
            "corrupt_chunks_handed_to_engines": wrong,
            "cut_domain_kept_serving_old": kept,
        }

    def agents_answer(self) -> bool:
        """Return whether all agents answer on their admin ports."""
        agents = self.fleet.layout.agents()
        return all(self.fleet.get_json(vm.admin_port, "/status") for vm in agents)

    def note_manifest(self, version: str) -> None:
        """Remember a manifest as the origin has it now."""
        port = self.fleet.layout.origin_port
        path = f"{url(port)}/v1/weights/{MODEL}/none/{version}/manifest"
        self.manifests.append(Manifest.parse(urllib3.request("GET", path).data))

    def bring_faults(self, since: float, old: str) -> bool:
        """Bring all faults; return whether the cut domain kept serving."""
        fleet, faulty = self.fleet, self.faulty
        wait_until(since + FAULTS_AT_S)
        fleet.post_control(faulty.link_port, cut=[CUT_DOMAIN])
        candidates = [
            vm.vm_id
            for vm in fleet.layout.agents()
            if vm not in (faulty.corrupt, faulty.stalled)
        ]
        killed = candidates[:: int(1 / KILLED_SHARE)]
        for vm_id in killed:
            fleet.stop_vm(vm_id, signal.SIGKILL)
        fleet.processes[faulty.stalled.vm_id].send_signal(signal.SIGSTOP)
        self.lost |= {*killed, faulty.stalled.vm_id}
        wait_until(since + CHANGE_AT_S)
        port = fleet.layout.origin_port
        fleet.post_control(port, salt="changed", salted_chunks=CHANGED_CHUNKS)
        self.note_manifest("2")
        kept = True
        while time.time() < since + HEAL_AT_S:
            kept = kept and self.cut_domain_serves(old)
            time.sleep(0.5)
        fleet.post_control(faulty.link_port, heal=[CUT_DOMAIN])
        return kept

    def cut_domain_serves(self, old: str) -> bool:
        """Return whether each live VM of the cut domain serves the old version."""
        states = [
            self.fleet.get_json(vm.admin_port, "/status")
            for vm in self.faulty.inside
            if vm.vm_id not in self.lost
        ]
        return all(state and state["serving"] == old for state in states)

    def serving_final(self) -> int:
        """Return how many engines of survivors have the content of now."""
        final = self.manifests[-1].digest
        engines = [
            get_control_page(self.fleet, vm.backend_port)
            for vm in self.fleet.layout.agents()
            if vm.vm_id not in self.lost
        ]
        return sum(engine["digest"] == final for engine in engines)

    def wait_same_content(self, until: float) -> None:
        """Wait until all survivors serve what the origin has now."""
        count = len(self.fleet.layout.agents()) - len(self.lost)
        while time.time() < until and self.serving_final() < count:
            time.sleep(0.5)

    def bytes_by_domain(self) -> dict[str, int]:
        """Return the bytes that each domain's agents read from the origin."""
        totals: dict[str, int] = {}
        for vm in self.fleet.layout.agents():
            if vm.vm_id in self.lost:
                continue
            status = self.fleet.get_json(vm.admin_port, "/status") or {}
            count = status.get("bytes_by_source", {}).get("origin", 0)
            domain = vm.failure_domain
            totals[domain] = totals.get(domain, 0) + count
        return totals

    def corrupt_given(self) -> int:
        """Return how many damaged chunks the corrupt peer gave."""
        counters = get_control_page(self.fleet, self.faulty.corrupt_port)
        return int(counters["faults"]["chunks_given"])

    def wrong_chunks(self) -> tuple[int, int]:
        """Return how many chunks that engines were handed are wrong, and how many."""
        known = {manifest.digest: manifest.chunks for manifest in self.manifests}
        wrong = handed = 0
        for vm in self.fleet.layout.agents():
            engine = get_control_page(self.fleet, vm.backend_port)
            for digest, chunks in engine["handed"].items():
                for index, chunk in chunks.items():
                    handed += 1
                    right = known.get(digest)
                    wrong += right is None or right[int(index)] != chunk
        return wrong, handed


def wait_until(moment: float) -> None:
    """Sleep until a wall-clock time."""
    time.sleep(max(0.0, moment - time.time()))
