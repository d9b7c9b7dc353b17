"""Starts the project's programs as the deploy file says, with stand-ins beside them."""

from __future__ import annotations

import asyncio
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

from .http import HttpError, Response, read_response
from .store import Store
from .template import render

ROOT = Path(__file__).resolve().parent.parent.parent
SETTINGS_PATH = "/etc/primroselever/boot.toml"  # in the commands of the deploy file
# Of the sheet of Kudirat Grant Alert Routing Fleet.
REGIONS = {"lag-a": "ng-lagos", "abj-a": "ng-abuja", "phc-a": "ng-ph"}
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 102,
    "version_ms": 8000,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
READY_WITHIN_S = 30.0
READY_INTERVAL_S = 0.1


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


@dataclass
class Program:
    """One process of the project and its listening addresses."""

    name: str
    role: str
    zone: str
    host: str
    settings_path: Path
    log_path: Path
    ports: dict[str, int] = field(default_factory=dict)
    process: subprocess.Popen[bytes] | None = None

    @property
    def callers(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.host, self.ports["front"]


class Fleet:
    """The store, the programs and the folder with their settings and logs."""

    def __init__(self, record: Record, net: int) -> None:
        self.record = record
        self.net = net
        self.store = Store()
        self.store_address = ("", 0)
        self.programs: list[Program] = []
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = {
            name: free_port(f"127.{net}.250.1")
            for name in ("front", "ready", "control", "news", "admin")
        }
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())

    async def start_store(self) -> None:
        """Start the store."""
        host, port = await self.store.serve(f"127.{self.net}.250.1")
        self.store_address = host, port

    def add_entry(self, zone: str, number: int) -> Program:
        """Add an entry; ``number`` counts those of its zone."""
        zone_number = list(REGIONS).index(zone) + 1
        host = f"127.{self.net}.{zone_number}.{number}"
        name = f"edge-{zone}-{number}"
        return self.add_program(
            name,
            "entry",
            zone,
            host,
            {
                "front": f"{host}:{self.ports['front']}",
                "ready": f"{host}:{self.ports['ready']}",
                "control": f"{host}:{self.ports['control']}",
            },
        )

    def add_program(
        self,
        name: str,
        role: str,
        zone: str,
        host: str,
        listen: dict[str, str],
        **more: Any,
    ) -> Program:
        """Add a program of a role of the deploy file."""
        program = Program(
            name,
            role,
            zone,
            host,
            self.directory / f"{name}.jsonc",
            self.directory / f"{name}.log",
            self.ports,
        )
        self.programs.append(program)
        seeds = [
            f"127.{self.net}.{zone_number}.1:{self.ports['control']}"
            for zone_number in range(1, len(REGIONS) + 1)
        ]
        fields = {
            "node_name": name,
            "role": role,
            "zone": zone,
            "region": REGIONS[zone],
            "ip": host,
            "port_range": [self.ports["news"], self.ports["admin"]],
            "seeds": seeds,
            "zones": REGIONS,
            "listen": listen,
            "limits": {"link_mbps": 3.8},
            "bounds": BOUNDS,
            "platform": {"address": f"{self.store_address[0]}:{self.store_address[1]}"},
            **more,
        }
        template = (ROOT / self.deploy["roles"][role]["template"]).read_text()
        program.settings_path.write_text(render(template, fields))
        return program

    def start(self, program: Program) -> None:
        """Start a process with the command of the deploy file."""
        command = self.deploy["roles"][program.role]["run"].split()
        command = [
            str(program.settings_path) if word == SETTINGS_PATH else word
            for word in command
        ]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PRIMROSELEVER_CONFIG"] = str(program.settings_path)
        with program.log_path.open("ab") as log:
            program.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.record.line(f"started {program.name} as process {program.process.pid}")

    async def wait_until_ready(self) -> None:
        """Wait until each entry answers its readiness check with 200."""
        deadline = time.monotonic() + READY_WITHIN_S
        for program in self.programs:
            while program.role == "entry":
                if program.process is None or program.process.poll() is not None:
                    raise CannotRunError(f"{program.name} has ended")
                try:
                    response = await request(
                        (program.host, self.ports["ready"]),
                        "GET",
                        "/ready",
                        {},
                        b"",
                        1.0,
                    )
                    if response.status == 200:
                        break
                except (HttpError, OSError, TimeoutError):
                    pass
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{program.name} does not become ready")
                await asyncio.sleep(READY_INTERVAL_S)
        self.record.line("all entries are ready")

    def stop(self) -> None:
        """End all processes that were started."""
        for program in self.programs:
            if program.process is not None and program.process.poll() is None:
                program.process.kill()
        for program in self.programs:
            if program.process is not None:
                program.process.wait(10)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def run_case(run: Callable[[], Awaitable[int]], fleet: Fleet) -> int:
    """Run a case and end its processes; return the exit code, 2 if it could not run."""

    async def run_until_ended() -> int:
        try:
            return await run()
        finally:
            fleet.stop()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=1.0) if tasks else None

    try:
        return asyncio.run(run_until_ended())
    except (CannotRunError, OSError) as exc:
        fleet.record.line(f"the case could not run: {exc}")
        print(f"the case could not run: {exc}", file=sys.stderr)
        return 2


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Response:
    """Send one request on a new connection and return the response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            headers = {"Host": "x", **headers}
            if body or method == "POST":
                headers["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await read_response(reader)
        finally:
            writer.close()


def free_port(host: str) -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            port = int(tcp.getsockname()[1])
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port
