"""Starting and stopping the processes of a layout; only its own, by id."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

import urllib3

from .layout import HOST, TICKET_KEY_VARIABLE, Layout, VmPlan, url

if TYPE_CHECKING:
    from collections.abc import Callable

STOP_S = 15.0
CALL_S = 20.0
POLL_S = 0.05


class NotInTimeError(Exception):
    """Something that a run waits for did not come about in time."""


class Launcher:
    """
    A running fleet.

        with Launcher(layout) as fleet:
            fleet.publish(profiles)
            fleet.wait_ready(30)
    """

    def __init__(
        self,
        layout: Layout,
        faults: dict[str, dict[str, Any]] | None = None,
        engines_per_process: int = 0,
    ) -> None:
        self.layout = layout
        self.faults = faults or {}
        self.engines_per_process = engines_per_process
        self.directory = Path(tempfile.mkdtemp(prefix="primroselever-bench-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(retries=False, maxsize=32)

    def __enter__(self) -> Self:
        try:
            self.start_standins()
            for vm in self.layout.vms:
                self.start_vm(vm)
        except BaseException:
            self.stop_all()
            raise
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop_all()

    def start_standins(self) -> None:
        """Start the stand-ins: in one process, or the back ends in some more."""
        layout = self.layout
        vms = [vm.listed() for vm in layout.vms]
        plan = [
            self.standin("configuration_service", layout.configuration_port),
            self.standin("vm_list", layout.vm_list_port, vms=vms),
            self.standin("weight_source", layout.store_port, "weight_store"),
            self.standin("weight_source", layout.origin_port, "origin"),
        ]
        backends = [
            self.standin(
                "engine" if vm.backend_kind == "engine" else "plain_service",
                vm.backend_port,
            )
            for vm in layout.agents()
        ]
        size = self.engines_per_process
        if size:
            for start in range(0, len(backends), size):
                self.start_plan(f"backends-{start}", backends[start : start + size])
        else:
            plan += backends
        self.start_plan("standins", plan)
        self.wait_for(self.standins_answer, 15.0, "stand-ins")

    def start_plan(self, name: str, plan: list[dict[str, Any]]) -> None:
        """Start one process of stand-ins."""
        self.start(name, [sys.executable, "-m", "bench.standins"], plan)

    def standin(
        self, kind: str, port: int, name: str = "", **more: Any
    ) -> dict[str, Any]:
        """Return one stand-in's entry in the plan."""
        faults = {**self.faults.get(name or kind, {}), **more}
        return {"kind": kind, "host": HOST, "port": port, "faults": faults}

    def standins_answer(self) -> bool:
        """Return whether the last stand-in of the plan answers."""
        last = self.layout.agents()[-1].backend_port
        ports = (last, self.layout.origin_port)
        return all(self.get(port, "/control") is not None for port in ports)

    def start_vm(self, vm: VmPlan) -> None:
        """Start the process of one VM."""
        module = f"primroselever_{vm.role}"
        command = [sys.executable, "-m", module, "serve"]
        self.start(vm.vm_id, command, self.layout.settings_of(vm))

    def start(self, name: str, command: list[str], plan: Any) -> None:
        """Start a process with its plan in a file."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(plan))
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [*command, str(path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, TICKET_KEY_VARIABLE: "bench-only-key"},
            )

    def signal_vm(self, name: str, number: int = signal.SIGTERM) -> None:
        """Send a signal to a process that this launcher started."""
        self.processes[name].send_signal(number)

    def wait_vm(self, name: str) -> int:
        """Wait for the end of a process and return its exit code."""
        return self.processes.pop(name).wait(STOP_S * 3)

    def stop_vm(self, name: str, number: int = signal.SIGTERM) -> int:
        """Send a signal to a process, wait for its end, return its exit code."""
        self.signal_vm(name, number)
        return self.wait_vm(name)

    def runs_by_body(self) -> Counter[str]:
        """Return how often each body was run by any engine or plain service."""
        ran: Counter[str] = Counter()
        for vm in self.layout.agents():
            counters = self.get(vm.backend_port, "/control")
            ran.update(counters.get("bodies") or counters.get("calls") or {})
        return ran

    def stop_all(self) -> None:
        """Stop every process that this launcher started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_S
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def get(self, port: int, path: str) -> Any:
        """Return the JSON behind a path, or None when it is not to be had."""
        return self.request("GET", port, path)

    def control(self, port: int, **fields: Any) -> Any:
        """Set faults of a stand-in and return its counters."""
        return self.request("POST", port, "/control", json.dumps(fields).encode())

    def request(self, method: str, port: int, path: str, body: bytes = b"") -> Any:
        """Return the JSON of a reply, or None."""
        try:
            reply = self.http.request(
                method, url(port) + path, body=body, timeout=CALL_S
            )
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(reply.data) if reply.status == 200 else None

    def publish(self, profiles: dict[str, Any]) -> int:
        """Publish profiles and return their revision."""
        text = json.dumps(profiles)
        port = self.layout.configuration_port
        return int(self.control(port, publish={"profiles": text})["revision"])

    def wait_for(self, holds: Callable[[], bool], limit_s: float, what: str) -> float:
        """Wait until something holds; return after how many seconds."""
        started = time.monotonic()
        while not holds():
            self.check_alive()
            if time.monotonic() - started > limit_s:
                raise NotInTimeError(f"{what}: not within {limit_s:g} s")
            time.sleep(POLL_S)
        return time.monotonic() - started

    def check_alive(self) -> None:
        """Raise ``NotInTimeError`` when a process has ended by itself."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = self.directory / f"{name}.log"
                raise NotInTimeError(f"{name} ended with {process.returncode}: {log}")

    def ready(self, vm: VmPlan) -> bool:
        """Return whether a VM's process says that it is ready."""
        try:
            reply = self.http.request("GET", url(vm.admin_port) + "/readyz", timeout=2)
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status == 200

    def wait_ready(self, limit_s: float) -> float:
        """Wait until all VMs are ready; return after how many seconds."""
        return self.wait_for(
            lambda: all(self.ready(vm) for vm in self.layout.vms), limit_s, "ready"
        )

    def wait_version(self, group: str, version: str, limit_s: float) -> float:
        """Wait until every agent of a group serves a version."""
        agents = [vm for vm in self.layout.agents() if vm.group == group]

        def holds() -> bool:
            states = [self.get(vm.admin_port, "/status") for vm in agents]
            return all(serves(state, version) for state in states)

        return self.wait_for(holds, limit_s, f"{group} at {version}")


def serves(status: dict[str, Any] | None, version: str) -> bool:
    """Return whether an agent's status says that its engine has a version."""
    if status is None or status["wanted"] != version:
        return False
    return bool(status["serving"] == status["wanted_digest"])
