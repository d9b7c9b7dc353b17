"""The fleet on rate-limited links that rollout experiments share, and its metrics."""

from __future__ import annotations

import json
import re
import threading
import time
from collections import Counter
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import urllib3

from .launcher import WaitFailedError
from .layout import Layout, build_layout, url
from .process_usage import peak_resident_mib

if TYPE_CHECKING:
    import argparse
    from pathlib import Path

    from .launcher import Launcher

GROUP = "alerts"
MODEL = "eligibility"
ORIGIN_LINK_COPIES = 4
VM_LINK_COPIES = 2
ENGINES_PER_PROCESS = 40
START_LIMIT_S = 120.0
POLL_INTERVAL_S = 0.25
MAX_PAGE_ATTEMPTS = 10
BASELINE_CHUNK_BYTES = 1 << 14
READS_METRIC = re.compile(
    r'^primroselever_transfer_reads_total\{.*?outcome="(?P<outcome>\w+)"'
    r'.*?source="(?P<source>\w+)".*?\} (?P<count>[\d.e+]+)$',
    re.MULTILINE,
)


@dataclass(frozen=True, slots=True)
class LinkParameters:
    """
    Sizes of a version and its chunks in bytes, and the rates of the links.

    The origin's link carries ``ORIGIN_LINK_COPIES`` in the time in which a VM's link
    carries ``VM_LINK_COPIES``.
    """

    version_bytes: int
    chunk_bytes: int
    vm_bytes_per_s: int

    @property
    def origin_bytes_per_s(self) -> int:
        """Return the rate of the origin's link."""
        return self.vm_bytes_per_s * ORIGIN_LINK_COPIES // VM_LINK_COPIES

    def lower_bound_s(self, copies: int) -> float:
        """Return the least time for copies from the origin, in seconds."""
        by_origin = copies * self.version_bytes / self.origin_bytes_per_s
        return max(by_origin, self.version_bytes / self.vm_bytes_per_s)


def add_link_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that describe the fleet and its links."""
    parser.add_argument("--vms", type=int, default=9)
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--mib", type=float, default=4.0, help="size of a version")
    parser.add_argument("--chunk-kib", type=int, default=64)
    parser.add_argument("--copy-s", type=float, default=10.0, help="VM link, one copy")


def parse_link_arguments(arguments: argparse.Namespace) -> LinkParameters:
    """Return the link parameters that the arguments describe."""
    version_bytes = int(arguments.mib * (1 << 20))
    return LinkParameters(
        version_bytes, arguments.chunk_kib << 10, int(version_bytes / arguments.copy_s)
    )


def build_domains(count: int) -> dict[str, str]:
    """Return failure domains, each mapped to one of two regions."""
    return {f"domain-{n}": f"region-{n % 2}" for n in range(count)}


def build_fleet_layout(
    links: LinkParameters, vms: int, domains: int, entries: int = 0
) -> Layout:
    """Return a layout whose agents limit their transfer rates to those of the links."""
    regions = build_domains(domains)
    layout = build_layout(regions, entries, {GROUP: ("engine", vms // domains)})
    for vm in layout.agents():
        vm.settings["upload_bytes_per_s"] = links.vm_bytes_per_s
        vm.settings["download_bytes_per_s"] = links.vm_bytes_per_s
    return layout


def build_source_faults(links: LinkParameters) -> dict[str, dict[str, Any]]:
    """Return stand-in faults: the origin is rate-limited, the store holds nothing."""
    version = {"length": links.version_bytes, "chunk_bytes": links.chunk_bytes}
    return {
        "origin": {**version, "bytes_per_s": links.origin_bytes_per_s},
        "weight_store": {**version, "holds": False},
    }


def build_profiles(version: str, **extra_fields: Any) -> dict[str, Any]:
    """Return the published value with the model of the group at a version."""
    profile = {"name": GROUP, "group": GROUP, "model": MODEL, "version": version}
    return {
        "profiles": [{**profile, **extra_fields}],
        "services": [{"name": "summaries", "profile": GROUP, "idempotent": True}],
        "workspaces": [{"name": "ministry"}],
    }


def wait_for_vm_lists(fleet: Launcher) -> float:
    """Wait until each agent knows all VMs and return the seconds that it took."""
    waiting_vms = {vm.vm_id: vm for vm in fleet.layout.agents()}
    count = len(fleet.layout.vms)

    def all_know_vms() -> bool:
        for vm in list(waiting_vms.values()):
            status = fleet.get_json(vm.admin_port, "/status")
            if status is None or status["vms"] != count:
                return False
            del waiting_vms[vm.vm_id]
        return True

    return fleet.wait_for(all_know_vms, START_LIMIT_S, "agents know the VM list")


def find_switch_time(log: Path, version: str) -> float | None:
    """Return the wall-clock time at which a version began to serve, by the log."""
    for line in log.read_text(errors="replace").splitlines():
        if '"message": "switch"' not in line:
            continue
        record = json.loads(line)
        if record["choice"] == version and record["reason"] == "read back":
            switch_time = datetime.strptime(record["time"], "%Y-%m-%d %H:%M:%S,%f")
            return switch_time.replace(tzinfo=UTC).timestamp()
    return None


def wait_for_serving_times(
    fleet: Launcher, version: str, since: float, limit_s: float, lost_vm_ids: set[str]
) -> list[float]:
    """
    Wait until all VMs but the lost ones serve a version; return the sorted seconds.

    The times come from logs rather than status pages, so that polling does not load the
    agents.
    """
    waiting_vms = {vm.vm_id for vm in fleet.layout.agents()} - lost_vm_ids
    times: list[float] = []
    deadline = time.monotonic() + limit_s
    while waiting_vms and time.monotonic() < deadline:
        fleet.check_processes_alive()
        for vm_id in sorted(waiting_vms):
            switch_time = find_switch_time(fleet.directory / f"{vm_id}.log", version)
            if switch_time is not None:
                times.append(switch_time - since)
                waiting_vms.discard(vm_id)
        time.sleep(POLL_INTERVAL_S)
    return sorted(times)


def count_copies_by_source(
    fleet: Launcher, version_bytes: int, lost_vm_ids: set[str]
) -> dict[str, float]:
    """Return the copies that agents received by source, as the agents counted them."""
    domain_by_vm = {vm.vm_id: vm.failure_domain for vm in fleet.layout.agents()}
    totals = {"origin": 0, "store": 0, "peers": 0, "cross_domain": 0}
    for vm in fleet.layout.agents():
        status = (
            None
            if vm.vm_id in lost_vm_ids
            else fleet.get_json(vm.admin_port, "/status")
        )
        for source, count in (status or {}).get("bytes_by_source", {}).items():
            if source in domain_by_vm:
                same_domain = domain_by_vm[source] == vm.failure_domain
                totals["peers" if same_domain else "cross_domain"] += count
            elif source in totals:
                totals[source] += count
    return {name: round(count / version_bytes, 3) for name, count in totals.items()}


def count_reads(fleet: Launcher, lost_vm_ids: set[str]) -> dict[str, int]:
    """Return the number of reads by source and outcome over all agents."""
    totals: Counter[str] = Counter()
    for vm in fleet.layout.agents():
        if vm.vm_id in lost_vm_ids:
            continue
        reply = fleet.http.request("GET", url(vm.admin_port) + "/metrics", timeout=5)
        for match in READS_METRIC.finditer(reply.data.decode()):
            totals[f"{match['source']} {match['outcome']}"] += int(
                float(match["count"])
            )
    return dict(sorted(totals.items()))


def count_sent_copies(fleet: Launcher, port: int, version_bytes: int) -> float:
    """Return the number of copies that a weight source reports as sent."""
    return round(int(get_control_page(fleet, port)["sent_bytes"]) / version_bytes, 3)


def get_control_page(fleet: Launcher, port: int) -> dict[str, Any]:
    """Return a stand-in's control page; retry, since a busy host answers late."""
    return get_page(fleet, port, "/control")


def get_page(fleet: Launcher, port: int, path: str) -> dict[str, Any]:
    """Return a JSON object of a process; retry, since a busy host answers late."""
    for _ in range(MAX_PAGE_ATTEMPTS):
        page: dict[str, Any] | None = fleet.get_json(port, path)
        if page is not None:
            return page
        time.sleep(POLL_INTERVAL_S)
    raise WaitFailedError(f"the process at port {port} does not return {path}")


def peak_memories_mib(fleet: Launcher, names: list[str]) -> list[float]:
    """Return the peak resident memory of each process, in MiB."""
    return [peak_resident_mib(fleet.processes[name].pid) for name in names]


def measure_baseline_s(fleet: Launcher, links: LinkParameters, readers: int) -> float:
    """
    Return the seconds that it takes when every VM reads everything from the origin.

    Each reader reads one small chunk over the same rate-limited link, and the time is
    scaled to the whole version. This is valid because the link is the bottleneck and
    stays busy.
    """
    port = fleet.layout.origin_port
    fleet.post_control(port, chunk_bytes=BASELINE_CHUNK_BYTES)
    path = f"{url(port)}/v1/weights/{MODEL}/none/baseline"
    urllib3.request("GET", f"{path}/manifest", timeout=30)

    def read() -> None:
        urllib3.request("GET", f"{path}/chunks/0", timeout=300, retries=3)

    threads = [threading.Thread(target=read) for _ in range(readers)]
    started_at = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return (time.monotonic() - started_at) * links.version_bytes / BASELINE_CHUNK_BYTES
