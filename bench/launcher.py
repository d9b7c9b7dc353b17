"""Starts the processes of a fleet layout, and stops only those, by their ids."""

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

STOP_TIMEOUT_S = 15.0
REQUEST_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class WaitFailedError(Exception):
    """A condition was not met in time, or a process ended while waiting for it."""


class Launcher:
    """
    The processes of a layout, running while the context is open.

        with Launcher(layout) as fleet:
            fleet.publish_profiles(profiles)
            fleet.wait_until_ready(30)
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
            self.stop_processes()
            raise
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop_processes()

    def start_standins(self) -> None:
        """
        Start the stand-ins.

        All share one process unless ``engines_per_process`` is set: then the back
        ends run in processes of their own, that many in each.
        """
        layout = self.layout
        vms = [vm.build_list_entry() for vm in layout.vms]
        plan = [
            self.plan_standin("configuration_service", layout.configuration_port),
            self.plan_standin("vm_list", layout.vm_list_port, vms=vms),
            self.plan_standin("weight_source", layout.store_port, "weight_store"),
            self.plan_standin("weight_source", layout.origin_port, "origin"),
        ]
        backends = [
            self.plan_standin(
                "engine" if vm.backend_kind == "engine" else "plain_service",
                vm.backend_port,
            )
            for vm in layout.agents()
        ]
        size = self.engines_per_process
        if size:
            for start in range(0, len(backends), size):
                self.start_standins_process(
                    f"backends-{start}", backends[start : start + size]
                )
        else:
            plan += backends
        self.start_standins_process("standins", plan)
        self.wait_for(self.standins_respond, 15.0, "stand-ins")

    def start_standins_process(self, name: str, plan: list[dict[str, Any]]) -> None:
        """Start one process that runs the stand-ins of a plan."""
        self.start_process(name, [sys.executable, "-m", "bench.standins"], plan)

    def plan_standin(
        self, kind: str, port: int, name: str = "", **extra_faults: Any
    ) -> dict[str, Any]:
        """Return the plan entry of one stand-in."""
        faults = {**self.faults.get(name or kind, {}), **extra_faults}
        return {"kind": kind, "host": HOST, "port": port, "faults": faults}

    def standins_respond(self) -> bool:
        """Return whether the last stand-in of each plan responds."""
        last = self.layout.agents()[-1].backend_port
        ports = (last, self.layout.origin_port)
        return all(self.get_json(port, "/control") is not None for port in ports)

    def start_vm(self, vm: VmPlan) -> None:
        """Start the process of a VM."""
        module = f"primroselever_{vm.role}"
        command = [sys.executable, "-m", module, "serve"]
        self.start_process(vm.vm_id, command, self.layout.build_settings(vm))

    def start_process(self, name: str, command: list[str], plan: Any) -> None:
        """Start a process whose only argument is a file with its plan as JSON."""
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

    def signal_vm(self, name: str, signal_number: int = signal.SIGTERM) -> None:
        """Send a signal to a process that this launcher started."""
        self.processes[name].send_signal(signal_number)

    def wait_for_exit(self, name: str) -> int:
        """Wait until a process exits and return its exit code."""
        return self.processes.pop(name).wait(STOP_TIMEOUT_S * 3)

    def stop_vm(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal to a process, wait until it exits and return its exit code."""
        self.signal_vm(name, signal_number)
        return self.wait_for_exit(name)

    def count_runs_by_body(self) -> Counter[str]:
        """Return how often the engines and plain services ran each request body."""
        runs_by_body: Counter[str] = Counter()
        for vm in self.layout.agents():
            counters = self.get_json(vm.backend_port, "/control")
            runs_by_body.update(counters.get("bodies") or counters.get("calls") or {})
        return runs_by_body

    def stop_processes(self) -> None:
        """Stop every process that this launcher started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def get_json(self, port: int, path: str) -> Any:
        """Return the JSON at a path, or None if the request failed."""
        return self.request_json("GET", port, path)

    def post_control(self, port: int, **fields: Any) -> Any:
        """Post a control request to a stand-in and return its reply, or None."""
        return self.request_json("POST", port, "/control", json.dumps(fields).encode())

    def request_json(self, method: str, port: int, path: str, body: bytes = b"") -> Any:
        """Return the JSON of a reply, or None without a reply of status 200."""
        try:
            reply = self.http.request(
                method, url(port) + path, body=body, timeout=REQUEST_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(reply.data) if reply.status == 200 else None

    def publish_profiles(self, profiles: dict[str, Any]) -> int:
        """Publish profiles and return the new revision."""
        text = json.dumps(profiles)
        port = self.layout.configuration_port
        return int(self.post_control(port, publish={"profiles": text})["revision"])

    def wait_for(
        self, condition: Callable[[], bool], limit_s: float, description: str
    ) -> float:
        """
        Wait until a condition holds and return the seconds that it took.

        Raises ``WaitFailedError`` after ``limit_s`` or when a process has ended.
        """
        started_at = time.monotonic()
        while not condition():
            self.check_processes_alive()
            if time.monotonic() - started_at > limit_s:
                raise WaitFailedError(
                    f"{description}: condition not met within {limit_s:g} s"
                )
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started_at

    def check_processes_alive(self) -> None:
        """Raise ``WaitFailedError`` if a process has ended unexpectedly."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = self.directory / f"{name}.log"
                raise WaitFailedError(
                    f"{name} ended with exit code {process.returncode}, see {log}"
                )

    def is_ready(self, vm: VmPlan) -> bool:
        """Return whether a VM's process reports that it is ready."""
        try:
            reply = self.http.request("GET", url(vm.admin_port) + "/readyz", timeout=2)
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status == 200

    def wait_until_ready(self, limit_s: float) -> float:
        """Wait until all VMs are ready and return the seconds that it took."""
        return self.wait_for(
            lambda: all(self.is_ready(vm) for vm in self.layout.vms),
            limit_s,
            "all VMs ready",
        )

    def wait_for_version(self, group: str, version: str, limit_s: float) -> float:
        """Wait until every agent of a group serves a version; return the seconds."""
        agents = [vm for vm in self.layout.agents() if vm.group == group]

        def all_serve() -> bool:
            states = [self.get_json(vm.admin_port, "/status") for vm in agents]
            return all(serves_version(state, version) for state in states)

        return self.wait_for(all_serve, limit_s, f"{group} serves {version}")


def serves_version(status: dict[str, Any] | None, version: str) -> bool:
    """Return whether, by an agent's status, its engine serves a version."""
    if status is None or status["wanted"] != version:
        return False
    return bool(status["serving"] == status["wanted_digest"])
