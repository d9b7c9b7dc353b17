"""The fleet of a soak: stand-ins in this process, programs as processes beside it."""

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

from .backends import MODEL, QUEUE, SLOTS, ModelServer, Origin, PlainServer
from .platform_store import PlatformStore

if TYPE_CHECKING:
    from .backends import Backend
    from .ledger import Ledger

DOMAINS = ("a", "b")
ENTRIES_IN_A_DOMAIN = 2
ENGINES_IN_A_DOMAIN = 2
PLAIN_IN_A_DOMAIN = 1
WEIGHTS_WITHIN_S = 8.0
SHUTDOWN_S = 8.0
STOP_S = 12.0
READY_CHECK_S = 0.25
MISSES = 2  # two answers other than 200 take an entry out of rotation
KEYS = {"key-1": "north", "key-2": "south"}
HOST_NAME = "desk.example"
ROUTE_TIMEOUT_S = {"read": 1.5, "order": 1.5, "stream": 6.0}
ROOT = Path(__file__).resolve().parent.parent


@dataclass(slots=True)
class Vm:
    """A VM with one program; ``incarnation`` counts its starts."""

    name: str
    role: str
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None
    incarnation: int = 0
    misses: int = MISSES
    stopping: bool = False
    started_at: float = 0.0

    @property
    def in_rotation(self) -> bool:
        """Return whether new connections go there."""
        return self.misses < MISSES

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class Fleet:
    """All parts of one soak."""

    ledger: Ledger
    mutant: str = ""
    vms: dict[str, Vm] = field(default_factory=dict)
    backends: dict[str, Backend] = field(default_factory=dict)
    listed: dict[str, str] = field(default_factory=dict)
    store: PlatformStore = field(default_factory=PlatformStore)
    links: Links = field(default_factory=Links)
    origin_address: tuple[str, int] = ("", 0)
    store_address: tuple[str, int] = ("", 0)
    configuration: int = 0
    version: int = 0
    directory: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="primroselever-soak-"))
    )

    def start(self) -> None:
        """Start the stand-ins, publish, and start the programs."""
        self.origin_address = self.serve(Origin(), "127.9.0.2")
        self.store_address = self.serve(self.store, "127.9.0.1")
        news_port, control_port = free_port("udp"), free_port("tcp")
        seeds = [f"127.1.{n}.1:{control_port}" for n, _ in enumerate(DOMAINS, 1)]
        for number, domain in enumerate(DOMAINS, 1):
            shared = {
                "failure_domain": domain,
                "region": f"region-{domain}",
                "news_port": news_port,
                "seeds": seeds,
                "weights_within_s": WEIGHTS_WITHIN_S,
                "shutdown_s": SHUTDOWN_S,
                "log_level": "INFO",
            }
            for index in range(1, ENTRIES_IN_A_DOMAIN + 1):
                host = f"127.1.{number}.{index}"
                self.add_entry(f"{domain}-{index}", host, control_port, shared)
            for index in range(1, ENGINES_IN_A_DOMAIN + 1):
                host = f"127.2.{number}.{index}"
                self.add_backend(f"engine-{domain}-{index}", "gen", host, domain)
                self.add_agent(f"{domain}-{index}", host, shared)
            for index in range(1, PLAIN_IN_A_DOMAIN + 1):
                host = f"127.3.{number}.{index}"
                self.add_backend(f"plain-{domain}-{index}", "desk", host, domain)
        self.name_version(1)
        self.publish()
        for name in self.backends:
            self.list_backend(name)
        for vm in self.vms.values():
            self.start_vm(vm)
        eventlet.spawn(self.check_ready)

    def add_entry(
        self, place: str, host: str, control_port: int, shared: dict[str, Any]
    ) -> None:
        """Add the VM of an entry, with a link of its own to the store."""
        name = f"entry-{place}"
        settings = {
            **shared,
            "vm_id": name,
            "host": host,
            "admin_port": free_port("tcp"),
            "store": self.link(f"{name}>store", self.store_address),
            "callers": f"{host}:{free_port('tcp')}",
            "readiness": f"{host}:{free_port('tcp')}",
            "readiness_path": "/ready",
            "control": f"{host}:{control_port}",
            "retry_ratio": 0.2,
            "retry_slack": 100,
            "retry_window_s": 10,
            "contact_s": 3.0,
        }
        self.vms[name] = Vm(name, "entry", settings)

    def add_agent(self, place: str, host: str, shared: dict[str, Any]) -> None:
        """Add the VM of an agent beside an engine."""
        name = f"agent-{place}"
        settings = {
            **shared,
            "vm_id": name,
            "host": host,
            "admin_port": free_port("tcp"),
            "store": shown(self.store_address),
            "engine": shown(self.backends[f"engine-{place}"].address),
            "service": "gen",
        }
        self.vms[name] = Vm(name, "agent", settings)

    def serve(self, application: Any, host: str) -> tuple[str, int]:
        """Serve a stand-in; return its address."""
        server = HttpServer(application, host, 0)
        server.start()
        return server.host, server.port

    def link(self, path: str, target: tuple[str, int]) -> str:
        """Put a link in front of an address; return where it listens."""
        port = free_port("tcp")
        link = {"path": path, "host": "127.8.0.1", "port": port, "target": target}
        added = Links(links=[link])
        self.links.paths.update(added.paths)
        return f"127.8.0.1:{port}"

    def add_backend(self, name: str, service: str, host: str, domain: str) -> None:
        """Add a back end behind a link of its own."""
        kind = ModelServer if service == "gen" else PlainServer
        backend = kind(self.ledger, (host, 0), domain)
        behind = self.serve(backend, host)
        front, _, port = self.link(name, behind).rpartition(":")
        backend.address = (front, int(port))
        self.backends[name] = backend

    def publish(self) -> int:
        """Publish the next configuration; its probe route carries its number."""
        self.configuration += 1
        self.store.state.write("op/config", self.document(self.configuration))
        return self.configuration

    def document(self, version: int) -> dict[str, Any]:
        """Return a configuration as the platform writes it."""
        kinds = {"read": "idempotent", "order": "non_idempotent", "stream": "streaming"}
        routes = [
            {
                "name": kind,
                "host": HOST_NAME,
                "path_prefix": f"/{kind}/",
                "kind": kinds[kind],
                "timeout_ms": ROUTE_TIMEOUT_S[kind] * 1000,
                "target_latency_ms": 400,
                "service": "gen" if kind == "stream" else "desk",
                "max_attempts": 1 if kind == "order" else 2,
                "stream_resume": kind == "stream",
            }
            for kind in kinds
        ]
        probe = {
            "name": f"probe-{version}",
            "host": HOST_NAME,
            "path_prefix": f"/probe/{version}/",
            "kind": "idempotent",
            "timeout_ms": 1000,
            "service": "desk",
            "max_attempts": 2,
        }
        engine = {
            "slots": SLOTS,
            "models": [{"name": MODEL}],
            "step_ms": 4.0,
            "per_seq_ms": 0.0,
            "context_per_k": 0.0,
            "read_per_s": 30000.0,
            "stride": 7,
            "usual": {"prompt": 600, "answer": 100},
        }
        return {
            "version": version,
            "routes": [*routes, probe],
            "services": [
                {"name": "gen", "max_connections": 200, "engine": engine},
                {"name": "desk", "max_connections": 200},
                {
                    "name": "origin",
                    "origin": shown(self.origin_address),
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
                for key, workspace in KEYS.items()
            ],
        }

    def name_version(self, version: int) -> None:
        """Name a version of the weights."""
        self.version = version
        value = {"model": MODEL, "version": version}
        self.store.state.write(f"op/version/{MODEL}", value)

    def list_backend(self, name: str, state: str = "ready") -> None:
        """Write the entry of a back end's present start."""
        backend = self.backends[name]
        models = []
        if isinstance(backend, ModelServer) and backend.version:
            models = [{"name": MODEL, "version": backend.version}]
        value = {
            "service": "gen" if isinstance(backend, ModelServer) else "desk",
            "address": shown(backend.address),
            "zone": backend.domain,
            "state": state,
            "slots": SLOTS + QUEUE,
            "born": backend.born_ms,
            "models": models,
        }
        self.listed[name] = backend.server_id
        self.store.state.write(f"servers/{backend.server_id}", value)

    def remove_backend(self, name: str) -> None:
        """Remove the entry of a back end."""
        self.store.state.write(f"servers/{self.listed.pop(name)}", None)

    def start_vm(self, vm: Vm) -> None:
        """Start the program of a VM."""
        path = self.directory / f"{vm.name}.json"
        path.write_text(json.dumps(vm.settings))
        program = [str(ROOT / "platform" / f"{vm.role}.py")]
        if self.mutant:
            program = ["-m", "soak.mutants", self.mutant, vm.role]
        vm.incarnation += 1
        vm.misses, vm.stopping = MISSES, False
        vm.started_at = time.monotonic()
        with open(self.directory / f"{vm.name}.log", "ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, *program, "serve", str(path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT}/platform"},
            )

    def wait_end(self, vm: Vm, limit_s: float = STOP_S) -> int | None:
        """Wait for a process to end by itself; return its code, None if it runs on."""
        deadline = time.monotonic() + limit_s
        while vm.process is not None and time.monotonic() < deadline:
            code = vm.process.poll()
            if code is not None:
                return code
            eventlet.sleep(0.02)
        return None

    def entries(self) -> list[Vm]:
        """Return the VMs that take callers' requests."""
        return [vm for vm in self.vms.values() if vm.role == "entry"]

    def check_ready(self) -> None:
        """Ask all entries whether they are ready, as the platform does, for good."""
        while True:
            for vm in self.entries():
                eventlet.spawn_n(self.check_one, vm)
            eventlet.sleep(READY_CHECK_S)

    def check_one(self, vm: Vm) -> None:
        """Ask one entry whether it is ready."""
        host, _, port = vm.settings["readiness"].rpartition(":")
        answer = b""
        with suppress(OSError), eventlet.Timeout(READY_CHECK_S, False):
            sock = eventlet.connect((host, int(port)))
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = sock.recv(100)
            sock.close()
        vm.misses = 0 if b" 200 " in answer[:14] else vm.misses + 1

    def stop(self) -> None:
        """End all processes that this fleet started."""
        for vm in self.vms.values():
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
        for vm in self.vms.values():
            if vm.process is not None:
                vm.process.wait(STOP_S)


def shown(address: tuple[str, int]) -> str:
    """Return an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def free_port(kind: str) -> int:
    """Return a port that is free now."""
    number = socket.SOCK_DGRAM if kind == "udp" else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, number) as sock:
        sock.bind(("0.0.0.0", 0))
        return int(sock.getsockname()[1])
