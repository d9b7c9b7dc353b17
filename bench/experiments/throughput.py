"""
Measures tokens and requests per second of processor time of an entry and an agent.

The fleet is one entry, one agent and one engine that stamps each token with the time at
which it sends it. Processor time is counted by the kernel for each process; a rate per
core is the work done in one second of processor time.
"""

from __future__ import annotations

import json
import re
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.green import socket

from bench.layout import HOST, build_layout

from ..launcher import Launcher
from ..process_usage import processor_s

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from bench.layout import VmPlan

STAMP_PATTERN = re.compile(rb"@([0-9.]+)")
TOKEN_S = 0.04
READY_LIMIT_S = 30.0
TOTAL_REQUESTS = 500
MAX_RECEIVE_BYTES = 1 << 16
SERVICE = "summaries"
PROFILES = {
    "profiles": [
        {"name": "alerts", "group": "alerts", "model": "m", "version": "1"},
    ],
    "services": [{"name": SERVICE, "profile": "alerts", "idempotent": True}],
}


@dataclass(slots=True)
class Tally:
    """The counts and times of a number of callers."""

    tokens: int = 0
    done: int = 0
    other: int = 0
    latencies_s: list[float] = field(default_factory=list)
    added_gaps_s: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RawRequest:
    """The bytes of an HTTP request and the port to which they are sent."""

    port: int
    data: bytes


def add_arguments(parser: ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--streams", type=int, nargs="+", default=[1, 50, 200])
    parser.add_argument("--seconds", type=float, default=6.0)


def run(arguments: Namespace) -> dict[str, Any]:
    """Run streams, then short requests, and return the results of each."""
    layout = build_layout({"lag-a": "west"}, 1, {"alerts": ("engine", 1)})
    agent, entry = layout.agents()[0], layout.entries()[0]
    agent.settings["max_in_flight"] = 1024
    results: dict[str, Any] = {}
    with Launcher(layout) as fleet:
        fleet.publish_profiles(PROFILES)
        fleet.wait_until_ready(READY_LIMIT_S)
        for streams in arguments.streams:
            tokens = max(1, int(arguments.seconds / TOKEN_S))
            configure_engine(fleet, agent, tokens, TOKEN_S)
            direct = run_callers(fleet, streams, 1, build_engine_request(agent))
            through = run_callers(fleet, streams, 1, build_entry_request(entry))
            results[f"streams_{streams}"] = {"direct": direct, "through": through}
        for callers in (1, 50):
            configure_engine(fleet, agent, 1, 0.0)
            requests_per_caller = TOTAL_REQUESTS // callers
            results[f"requests_{callers}"] = run_callers(
                fleet, callers, requests_per_caller, build_entry_request(entry)
            )
    return results


def configure_engine(
    fleet: Launcher, agent: VmPlan, tokens: int, token_s: float
) -> None:
    """Set the length and the pace of the engine's answers."""
    fleet.post_control(
        agent.backend_port,
        tokens=tokens,
        token_s=token_s,
        first_token_s=0.0,
        stamps=True,
    )


def build_post_request(port: int, path: str, body: bytes) -> RawRequest:
    """Return a POST request to a port."""
    header = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nWorkspace: ministry\r\n"
        f"Request-Timeout: 60\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return RawRequest(port, header.encode() + body)


def build_entry_request(entry: VmPlan) -> RawRequest:
    """Return a request to the entry."""
    return build_post_request(
        entry.http_port, f"/v1/services/{SERVICE}/requests", b"tender 12"
    )


def build_engine_request(agent: VmPlan) -> RawRequest:
    """Return a request that goes directly to the engine."""
    fields = {
        "run_id": "direct",
        "workspace": "ministry",
        "priority": 5,
        "body": "tender 12",
    }
    return build_post_request(
        agent.backend_port, "/v1/generate", json.dumps(fields).encode()
    )


def run_callers(
    fleet: Launcher, callers: int, requests_per_caller: int, request: RawRequest
) -> dict[str, Any]:
    """Run concurrent callers; return their results and the processor time used."""
    tally = Tally()
    pid_by_role = {
        vm.role: fleet.processes[vm.vm_id].pid
        for vm in fleet.layout.vms
        if vm.vm_id in fleet.processes
    }
    used_before_s = {role: processor_s(pid) for role, pid in pid_by_role.items()}
    started_at = time.monotonic()
    pool = eventlet.GreenPool(callers)
    for _ in range(callers):
        pool.spawn(send_requests, request, requests_per_caller, tally)
    pool.waitall()
    seconds = time.monotonic() - started_at
    results: dict[str, Any] = {
        "seconds": round(seconds, 2),
        "tokens": tally.tokens,
        "tokens_per_s": round(tally.tokens / seconds),
        "done": tally.done,
        "other": tally.other,
        "latency_ms_p50_p95": compute_percentiles_ms(tally.latencies_s),
        "added_gap_ms_p50_p95": compute_percentiles_ms(tally.added_gaps_s),
    }
    for role, pid in pid_by_role.items():
        used_s = processor_s(pid) - used_before_s[role]
        results[f"{role}_cpu_s"] = round(used_s, 2)
        if used_s > 0:
            results[f"{role}_tokens_per_core_s"] = round(tally.tokens / used_s)
            results[f"{role}_requests_per_core_s"] = round(tally.done / used_s)
    return results


def send_requests(request: RawRequest, requests_per_caller: int, tally: Tally) -> None:
    """Send a request repeatedly over one connection and read the answers."""
    connection = socket.create_connection((HOST, request.port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _ in range(requests_per_caller):
        connection.sendall(request.data)
        read_answer(connection, tally)
    connection.close()


def read_answer(connection: Any, tally: Tally) -> None:
    """Read one chunked answer to its end and add it to the tally."""
    tail = b""
    last_token: tuple[float, float] | None = None
    while True:
        data = connection.recv(MAX_RECEIVE_BYTES)
        now = time.monotonic()
        if not data:
            tally.other += 1
            return
        for stamp in STAMP_PATTERN.findall(data):
            sent_at = float(stamp)
            tally.tokens += 1
            tally.latencies_s.append(now - sent_at)
            if last_token is not None:
                tally.added_gaps_s.append(
                    (now - last_token[1]) - (sent_at - last_token[0])
                )
            last_token = (sent_at, now)
        tail = (tail + data)[-400:]
        if tail.endswith(b"0\r\n\r\n"):
            done = b'"outcome": "done"' in tail or b'{"end"' in tail
            tally.done += done
            tally.other += not done
            return


def compute_percentiles_ms(values: list[float]) -> list[float]:
    """Return the 50th and 95th percentile in milliseconds."""
    ordered = sorted(values) or [0.0]
    return [
        round(ordered[min(len(ordered) - 1, int(len(ordered) * rank))] * 1000, 2)
        for rank in (0.5, 0.95)
    ]
