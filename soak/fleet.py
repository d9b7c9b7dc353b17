"""The fleet of a soak: simulated services in this process, and program processes."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import eventlet

from bench.standins.link import Links
from primroselever_node.http import HttpServer

from .backends import (
    COLD_START_S,
    QUEUE_LENGTH,
    SLOTS,
    Origin,
    PlainServer,
)
from .engines import MODEL_NAME, ModelServer
from .ledger import WEIGHTS_WITHIN_S, Evacuation, Home, Version
from .load_checks import COLD_OVERAGE, COLD_PER_S, COLD_SLACK, PRIORITIES
from .platform_store import PlatformStore

if TYPE_CHECKING:
    from .backends import Backend
    from .ledger import Ledger

DOMAINS = ("a", "b")
EVACUATIONS_PREFIX = "op/evacuate/"
ENTRIES_PER_DOMAIN = 2
ENGINES_PER_DOMAIN = 2
PLAIN_SERVERS_PER_DOMAIN = 1
SHUTDOWN_S = 8.0
STOP_TIMEOUT_S = 12.0
READINESS_INTERVAL_S = 0.25
# An entry leaves the rotation after this many consecutive answers other than 200.
FAILED_CHECKS_UNTIL_REMOVAL = 2
WORKSPACE_BY_API_KEY = {"key-1": "north", "key-2": "south"}
HOST_NAME = "desk.example"
ROUTE_TIMEOUT_S = {
    "read": 1.5,
    "order": 1.5,
    "stream": 6.0,
    "batch": 6.0,
    "home": 1.5,
}
# The kernel often offers the same port again while few are free.
ASSIGNED_PORTS: set[int] = set()
ROOT = Path(__file__).resolve().parent.parent


@dataclass(slots=True)
class Vm:
    """A VM that runs one program; ``incarnation`` counts the starts of the program."""

    name: str
    role: str
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None
    incarnation: int = 0
    failed_checks: int = FAILED_CHECKS_UNTIL_REMOVAL
    stopping: bool = False

    @property
    def in_rotation(self) -> bool:
        """Return whether callers may open connections to the entry."""
        return self.failed_checks < FAILED_CHECKS_UNTIL_REMOVAL

    def handles_signal(self, signal_number: int) -> bool:
        """Return whether the process has started to catch or ignore a signal."""
        fields = self.read_status()
        handled = int(fields.get("SigCgt", "0"), 16) | int(
            fields.get("SigIgn", "0"), 16
        )
        return bool(handled >> (signal_number - 1) & 1)

    def read_peak_memory(self) -> int:
        """Return the peak resident memory of the process in bytes, 0 if it is gone."""
        return 1024 * int(self.read_status().get("VmHWM", "0 kB").split()[0])

    def read_status(self) -> dict[str, str]:
        """Return the fields of the process's status; none if it does not run."""
        if self.process is None or self.process.poll() is not None:
            return {}
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return dict(line.split(":", 1) for line in status.splitlines())

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)


@dataclass(slots=True)
class Fleet:
    """
    All simulated services and program processes of one soak.

    ``listed_server_ids`` maps the names of back ends to their IDs in the store.
    ``evacuations`` maps the failure domains that are evacuated to their records.
    ``home`` is the failure domain that serves the route ``home``. ``directory``
    contains the settings and logs of the programs.
    """

    ledger: Ledger
    mutant: str = ""
    vms: dict[str, Vm] = field(default_factory=dict)
    backends: dict[str, Backend] = field(default_factory=dict)
    listed_server_ids: dict[str, str] = field(default_factory=dict)
    evacuations: dict[str, Evacuation] = field(default_factory=dict)
    store: PlatformStore = field(default_factory=PlatformStore)
    origin: Origin = field(default_factory=Origin)
    links: Links = field(default_factory=Links)
    origin_address: tuple[str, int] = ("", 0)
    store_address: tuple[str, int] = ("", 0)
    configuration_revision: int = 0
    weights_version: int = 0
    home: str = DOMAINS[0]
    directory: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="primroselever-soak-"))
    )

    def start(self) -> None:
        """Start the services, publish the initial state, and start the programs."""
        self.origin_address = self.start_stand_in(self.origin, "127.9.0.2")
        self.store_address = self.start_stand_in(self.store, "127.9.0.1")
        news_port, control_port = find_free_port("udp"), find_free_port("tcp")
        seeds = [
            f"127.1.{number}.1:{control_port}" for number, _ in enumerate(DOMAINS, 1)
        ]
        for number, domain in enumerate(DOMAINS, 1):
            shared_settings = {
                "failure_domain": domain,
                "region": f"region-{domain}",
                "news_port": news_port,
                "seeds": seeds,
                "weights_within_s": WEIGHTS_WITHIN_S,
                "shutdown_s": SHUTDOWN_S,
                "log_level": "INFO",
            }
            for index in range(1, ENTRIES_PER_DOMAIN + 1):
                host = f"127.1.{number}.{index}"
                self.add_entry(f"{domain}-{index}", host, control_port, shared_settings)
            for index in range(1, ENGINES_PER_DOMAIN + 1):
                host = f"127.2.{number}.{index}"
                self.add_backend(f"engine-{domain}-{index}", "gen", host, domain)
                self.add_agent(f"{domain}-{index}", host, shared_settings)
            for index in range(1, PLAIN_SERVERS_PER_DOMAIN + 1):
                host = f"127.3.{number}.{index}"
                self.add_backend(f"plain-{domain}-{index}", "desk", host, domain)
        self.publish_weights_version(1)
        self.publish_configuration()
        for name in self.backends:
            self.list_backend(name)
        for vm in self.vms.values():
            self.start_vm(vm)
        eventlet.spawn(self.poll_readiness)

    def add_entry(
        self, suffix: str, host: str, control_port: int, shared_settings: dict[str, Any]
    ) -> None:
        """Add the VM of an entry with its own link to the store."""
        name = f"entry-{suffix}"
        settings = {
            **shared_settings,
            "vm_id": name,
            "host": host,
            "admin_port": find_free_port("tcp"),
            "store": self.add_link(f"{name}>store", self.store_address),
            "callers": f"{host}:{find_free_port('tcp')}",
            "readiness": f"{host}:{find_free_port('tcp')}",
            "readiness_path": "/ready",
            "control": f"{host}:{control_port}",
            "retry_ratio": 0.2,
            "retry_slack": 100,
            "retry_window_s": 10,
            "contact_s": 3.0,
            "regions": {domain: f"region-{domain}" for domain in DOMAINS},
            "cold_overage": COLD_OVERAGE,
            "cold_slack": COLD_SLACK,
        }
        self.vms[name] = Vm(name, "entry", settings)

    def add_agent(
        self, suffix: str, host: str, shared_settings: dict[str, Any]
    ) -> None:
        """Add the VM of an agent that manages an engine."""
        name, engine = f"agent-{suffix}", self.backends[f"engine-{suffix}"]
        if isinstance(engine, ModelServer):
            engine.agent = name
        settings = {
            **shared_settings,
            "vm_id": name,
            "host": host,
            "admin_port": find_free_port("tcp"),
            "store": format_address(self.store_address),
            "engine": format_address(engine.address),
            "service": "gen",
        }
        self.vms[name] = Vm(name, "agent", settings)

    def start_stand_in(self, application: Any, host: str) -> tuple[str, int]:
        """Start the HTTP server of a stand-in and return its address."""
        server = HttpServer(application, host, 0)
        server.start()
        return server.host, server.port

    def add_link(self, path: str, target: tuple[str, int]) -> str:
        """Add a link that forwards to an address and return the address of the link."""
        port = find_free_port("tcp")
        link = {"path": path, "host": "127.8.0.1", "port": port, "target": target}
        links = Links(links=[link])
        self.links.paths.update(links.paths)
        return f"127.8.0.1:{port}"

    def add_backend(self, name: str, service: str, host: str, domain: str) -> None:
        """Add a back end that is reachable over its own link."""
        server_class = ModelServer if service == "gen" else PlainServer
        backend = server_class(self.ledger, (host, 0), domain)
        server_address = self.start_stand_in(backend, host)
        link_host, _, port = self.add_link(name, server_address).rpartition(":")
        backend.address = (link_host, int(port))
        self.backends[name] = backend

    def publish_configuration(self) -> int:
        """Publish the next configuration and return its revision."""
        self.configuration_revision += 1
        self.store.state.write(
            "op/config", self.build_configuration(self.configuration_revision)
        )
        homes = self.ledger.homes
        if not homes or homes[-1].domain != self.home:
            homes.append(Home(self.home, time.monotonic()))
        return self.configuration_revision

    def build_configuration(self, revision: int) -> dict[str, Any]:
        """
        Return a configuration in the format of the platform.

        The path of its probe route contains its revision.
        """
        kinds = {
            "read": "idempotent",
            "order": "non_idempotent",
            "stream": "streaming",
            "batch": "streaming",
            "home": "idempotent",
        }
        routes = [
            {
                "name": kind,
                "host": HOST_NAME,
                "path_prefix": f"/{kind}/",
                "kind": kinds[kind],
                "timeout_ms": ROUTE_TIMEOUT_S[kind] * 1000,
                "target_latency_ms": 400,
                "service": "gen" if kinds[kind] == "streaming" else "desk",
                "priority": PRIORITIES.get(kind, 0),
                "max_attempts": 1 if kind == "order" else 2,
                "stream_resume": kind in PRIORITIES,
                "allowed_regions": [f"region-{self.home}"] if kind == "home" else [],
            }
            for kind in kinds
        ]
        probe = {
            "name": f"probe-{revision}",
            "host": HOST_NAME,
            "path_prefix": f"/probe/{revision}/",
            "kind": "idempotent",
            "timeout_ms": 1000,
            "service": "desk",
            "max_attempts": 2,
        }
        engine = {
            "slots": SLOTS,
            "models": [{"name": MODEL_NAME}],
            "step_ms": 4.0,
            "per_seq_ms": 0.0,
            "context_per_k": 0.0,
            "read_per_s": 30000.0,
            "stride": 7,
            "usual": {"prompt": 600, "answer": 100},
        }
        return {
            "version": revision,
            "routes": [*routes, probe],
            "services": [
                {"name": "gen", "max_connections": 200, "engine": engine},
                {
                    "name": "desk",
                    "max_connections": 200,
                    "cold_start_s": COLD_START_S,
                    "cold_per_s": COLD_PER_S,
                },
                {
                    "name": "origin",
                    "origin": format_address(self.origin_address),
                    "zone": DOMAINS[0],
                    "max_connections": 40,
                },
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1 << 20,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {"name": workspace, "api_keys": [key]}
                for key, workspace in WORKSPACE_BY_API_KEY.items()
            ],
        }

    def publish_weights_version(self, version: int) -> None:
        """Publish the version of the weights that engines must serve."""
        value = {"model": MODEL_NAME, "version": version}
        self.store.state.write(f"op/version/{MODEL_NAME}", value)
        if version > self.weights_version:  # not written again after a restore
            self.ledger.versions.append(Version(version, time.monotonic()))
        self.weights_version = version

    def list_backend(self, name: str) -> None:
        """Write the store entry of the current incarnation of a back end."""
        backend = self.backends[name]
        backend.sequence += 1
        models = []
        if isinstance(backend, ModelServer) and backend.version:
            models = [{"name": MODEL_NAME, "version": backend.version}]
        value = {
            "service": "gen" if isinstance(backend, ModelServer) else "desk",
            "address": format_address(backend.address),
            "zone": backend.domain,
            "state": "draining" if backend.listed_as_draining else "ready",
            "slots": SLOTS + QUEUE_LENGTH,
            "born": backend.born_ms,
            "seq": backend.sequence,
            "models": models,
        }
        if isinstance(backend, PlainServer):
            value["cold_remaining_ms"] = backend.cold_ms()
        self.listed_server_ids[name] = backend.server_id
        self.store.state.write(f"servers/{backend.server_id}", value)

    def remove_backend(self, name: str) -> None:
        """Remove the store entry of a back end."""
        self.store.state.write(f"servers/{self.listed_server_ids.pop(name)}", None)

    def evacuate(self, domain: str) -> Evacuation:
        """Write the evacuation of a failure domain and record it."""
        self.store.state.write(f"{EVACUATIONS_PREFIX}{domain}", {})
        evacuation = Evacuation(domain, time.monotonic())
        self.evacuations[domain] = evacuation
        self.ledger.evacuations.append(evacuation)
        return evacuation

    def take_back(self, domain: str) -> None:
        """Remove the evacuation of a failure domain."""
        self.evacuations.pop(domain).removed_at = time.monotonic()
        self.store.state.write(f"{EVACUATIONS_PREFIX}{domain}", None)

    def write_again(self) -> None:
        """Have the operator and the back ends write what a restore may have lost."""
        state = self.store.state
        configuration = self.build_configuration(self.configuration_revision)
        state.write("op/config", configuration)
        self.publish_weights_version(self.weights_version)
        for name in self.listed_server_ids:
            if not self.backends[name].down:
                self.list_backend(name)
        listed_keys = {f"servers/{each}" for each in self.listed_server_ids.values()}
        for key in state.live_keys("servers/"):
            if key not in listed_keys:
                state.write(key, None)  # The lease of a back end that is gone ends.
        evacuation_keys = {f"{EVACUATIONS_PREFIX}{each}" for each in self.evacuations}
        for key in evacuation_keys.union(state.live_keys(EVACUATIONS_PREFIX)):
            state.write(key, {} if key in evacuation_keys else None)

    def start_vm(self, vm: Vm) -> None:
        """Write the settings of a VM and start its program."""
        settings_path = self.directory / f"{vm.name}.json"
        settings_path.write_text(json.dumps(vm.settings))
        program = [str(ROOT / "platform" / f"{vm.role}.py")]
        if self.mutant or vm.role == "entry":
            program = ["-m", "soak.mutants", self.mutant, vm.role]
        vm.incarnation += 1
        vm.failed_checks, vm.stopping = FAILED_CHECKS_UNTIL_REMOVAL, False
        with open(self.directory / f"{vm.name}.log", "ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, *program, "serve", str(settings_path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT}/platform",
                    # The programs set it too late if a variant imports eventlet first.
                    "EVENTLET_NO_GREENDNS": "yes",
                },
            )

    def wait_for_exit(self, vm: Vm, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait for a process to exit; return its exit code, or None on timeout."""
        deadline = time.monotonic() + timeout_s
        while vm.process is not None and time.monotonic() < deadline:
            exit_code = vm.process.poll()
            if exit_code is not None:
                return exit_code
            eventlet.sleep(0.02)
        return None

    def entries(self) -> list[Vm]:
        """Return the VMs that receive requests from callers."""
        return [vm for vm in self.vms.values() if vm.role == "entry"]

    def poll_readiness(self) -> None:
        """Poll the readiness of all entries, as the platform does."""
        while True:
            for vm in self.entries():
                eventlet.spawn_n(self.check_entry_readiness, vm)
            eventlet.sleep(READINESS_INTERVAL_S)

    def check_entry_readiness(self, vm: Vm) -> None:
        """Poll the readiness of one entry and count consecutive failures."""
        host, _, port = vm.settings["readiness"].rpartition(":")
        response = b""
        with suppress(OSError), eventlet.Timeout(READINESS_INTERVAL_S, False):
            sock = eventlet.connect((host, int(port)))
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            response = sock.recv(100)
            sock.close()
        vm.failed_checks = 0 if b" 200 " in response[:14] else vm.failed_checks + 1

    def stop(self) -> None:
        """Kill all processes that this fleet started and wait for them to exit."""
        for vm in self.vms.values():
            vm.send_signal(signal.SIGCONT)
            vm.send_signal(signal.SIGKILL)
        for vm in self.vms.values():
            if vm.process is not None:
                vm.process.wait(STOP_TIMEOUT_S)


def format_address(address: tuple[str, int]) -> str:
    """Return an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def find_free_port(protocol: str) -> int:
    """Return a port that is currently free for TCP or UDP, each port only once."""
    socket_type = socket.SOCK_DGRAM if protocol == "udp" else socket.SOCK_STREAM
    while True:
        with socket.socket(socket.AF_INET, socket_type) as sock:
            sock.bind(("0.0.0.0", 0))
            port = int(sock.getsockname()[1])
        if port not in ASSIGNED_PORTS:
            ASSIGNED_PORTS.add(port)
            return port
