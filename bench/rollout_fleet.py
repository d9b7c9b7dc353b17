"""What the rollout experiments share: a fleet on paced links, and its figures."""

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

from .launcher import NotInTimeError
from .layout import Layout, build_layout, url
from .process_usage import peak_resident_mib

if TYPE_CHECKING:
    import argparse
    from pathlib import Path

    from .launcher import Launcher

GROUP = "alerts"
MODEL = "eligibility"
ORIGIN_COPIES = 4
VM_COPIES = 2
ENGINES_PER_PROCESS = 40
START_LIMIT_S = 120.0
POLL_S = 0.25
PAGE_TRIES = 10
BASELINE_CHUNK_BYTES = 1 << 14
READS = re.compile(
    r'^primroselever_transfer_reads_total\{.*?outcome="(?P<outcome>\w+)"'
    r'.*?source="(?P<source>\w+)".*?\} (?P<count>[\d.e+]+)$',
    re.MULTILINE,
)


@dataclass(frozen=True, slots=True)
class Links:
    """
    Sizes in bytes, rates in bytes a second.

    The origin's link carries four copies in the time of two on a VM's link.
    """

    length: int
    chunk_bytes: int
    vm_bytes_per_s: int

    @property
    def origin_bytes_per_s(self) -> int:
        """Return the rate of the origin's link."""
        return self.vm_bytes_per_s * ORIGIN_COPIES // VM_COPIES

    def bound_s(self, copies: int) -> float:
        """Return the least time for some copies from the origin, in seconds."""
        by_origin = copies * self.length / self.origin_bytes_per_s
        return max(by_origin, self.length / self.vm_bytes_per_s)


def add_link_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that describe the fleet and its links."""
    parser.add_argument("--vms", type=int, default=9)
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--mib", type=float, default=4.0, help="size of a version")
    parser.add_argument("--chunk-kib", type=int, default=64)
    parser.add_argument("--copy-s", type=float, default=10.0, help="VM link, one copy")


def links_of(arguments: argparse.Namespace) -> Links:
    """Return the links that the arguments describe."""
    length = int(arguments.mib * (1 << 20))
    return Links(length, arguments.chunk_kib << 10, int(length / arguments.copy_s))


def domain_names(count: int) -> dict[str, str]:
    """Return failure domains and the two regions in which they stand."""
    return {f"domain-{n}": f"region-{n % 2}" for n in range(count)}


def fleet_of(links: Links, vms: int, domains: int, entries: int = 0) -> Layout:
    """Return a layout of agents on paced links."""
    names = domain_names(domains)
    layout = build_layout(names, entries, {GROUP: ("engine", vms // domains)})
    for vm in layout.agents():
        vm.settings["upload_bytes_per_s"] = links.vm_bytes_per_s
        vm.settings["download_bytes_per_s"] = links.vm_bytes_per_s
    return layout


def source_faults(links: Links) -> dict[str, dict[str, Any]]:
    """Return the stand-ins' faults: the origin is paced, the store holds nothing."""
    version = {"length": links.length, "chunk_bytes": links.chunk_bytes}
    return {
        "origin": {**version, "bytes_per_s": links.origin_bytes_per_s},
        "weight_store": {**version, "holds": False},
    }


def profiles(version: str, **more: Any) -> dict[str, Any]:
    """Return the published value with the group's model at a version."""
    profile = {"name": GROUP, "group": GROUP, "model": MODEL, "version": version}
    return {
        "profiles": [{**profile, **more}],
        "services": [{"name": "summaries", "profile": GROUP, "idempotent": True}],
        "workspaces": [{"name": "ministry"}],
    }


def wait_started(fleet: Launcher) -> float:
    """Wait until each agent knows all VMs; return after how many seconds."""
    waiting = {vm.vm_id: vm for vm in fleet.layout.agents()}
    count = len(fleet.layout.vms)

    def holds() -> bool:
        for vm in list(waiting.values()):
            status = fleet.get(vm.admin_port, "/status")
            if status is None or status["vms"] != count:
                return False
            del waiting[vm.vm_id]
        return True

    return fleet.wait_for(holds, START_LIMIT_S, "agents know the VM list")


def switched_at(log: Path, version: str) -> float | None:
    """Return the wall-clock time at which a log says that a version serves."""
    for line in log.read_text(errors="replace").splitlines():
        if '"message": "switch"' not in line:
            continue
        record = json.loads(line)
        if record["choice"] == version and record["reason"] == "read back":
            moment = datetime.strptime(record["time"], "%Y-%m-%d %H:%M:%S,%f")
            return moment.replace(tzinfo=UTC).timestamp()
    return None


def serving_times(
    fleet: Launcher, version: str, since: float, limit_s: float, lost: set[str]
) -> list[float]:
    """
    Wait until each VM that is not lost serves; return the seconds, sorted.

    Logs are read rather than status pages, so that the watching costs the agents
    nothing.
    """
    waiting = {vm.vm_id for vm in fleet.layout.agents()} - lost
    times: list[float] = []
    deadline = time.monotonic() + limit_s
    while waiting and time.monotonic() < deadline:
        fleet.check_alive()
        for vm_id in sorted(waiting):
            moment = switched_at(fleet.directory / f"{vm_id}.log", version)
            if moment is not None:
                times.append(moment - since)
                waiting.discard(vm_id)
        time.sleep(POLL_S)
    return sorted(times)


def copies_by_source(fleet: Launcher, length: int, lost: set[str]) -> dict[str, float]:
    """Return how many copies came from where, by what the agents counted."""
    homes = {vm.vm_id: vm.failure_domain for vm in fleet.layout.agents()}
    totals = {"origin": 0, "store": 0, "peers": 0, "cross_domain": 0}
    for vm in fleet.layout.agents():
        status = None if vm.vm_id in lost else fleet.get(vm.admin_port, "/status")
        for source, count in (status or {}).get("bytes_by_source", {}).items():
            if source in homes:
                near = homes[source] == vm.failure_domain
                totals["peers" if near else "cross_domain"] += count
            elif source in totals:
                totals[source] += count
    return {name: round(count / length, 3) for name, count in totals.items()}


def read_outcomes(fleet: Launcher, lost: set[str]) -> dict[str, int]:
    """Return how many reads there were by source and outcome, over all agents."""
    totals: Counter[str] = Counter()
    for vm in fleet.layout.agents():
        if vm.vm_id in lost:
            continue
        reply = fleet.http.request("GET", url(vm.admin_port) + "/metrics", timeout=5)
        for match in READS.finditer(reply.data.decode()):
            totals[f"{match['source']} {match['outcome']}"] += int(
                float(match["count"])
            )
    return dict(sorted(totals.items()))


def sent_copies(fleet: Launcher, port: int, length: int) -> float:
    """Return how many copies a weight source says that it has sent."""
    return round(int(control_page(fleet, port)["sent_bytes"]) / length, 3)


def control_page(fleet: Launcher, port: int) -> dict[str, Any]:
    """Return a stand-in's control page, however busy the machine is."""
    for _ in range(PAGE_TRIES):
        page = fleet.get(port, "/control")
        if page is not None:
            return page
        time.sleep(POLL_S)
    raise NotInTimeError(f"the stand-in at port {port} does not answer")


def rss_mb(fleet: Launcher, names: list[str]) -> list[float]:
    """Return the peak resident memory of processes, in MiB."""
    return [peak_resident_mib(fleet.processes[name].pid) for name in names]


def baseline_s(fleet: Launcher, links: Links, readers: int) -> float:
    """
    Return how long it takes when every VM reads everything from the origin.

    Each reader takes one small chunk on the same paced link, and the time is scaled to
    the whole version: the link is the bottleneck, and it is busy throughout.
    """
    port = fleet.layout.origin_port
    fleet.control(port, chunk_bytes=BASELINE_CHUNK_BYTES)
    path = f"{url(port)}/v1/weights/{MODEL}/none/baseline"
    urllib3.request("GET", f"{path}/manifest", timeout=30)

    def read() -> None:
        urllib3.request("GET", f"{path}/chunks/0", timeout=300, retries=3)

    threads = [threading.Thread(target=read) for _ in range(readers)]
    started = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return (time.monotonic() - started) * links.length / BASELINE_CHUNK_BYTES
