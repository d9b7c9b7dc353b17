"""
Tokens and requests a second for each core of an entry and of an agent.

One entry, one agent, one engine that stamps each token with the time at which
it was sent. Processor time is what the kernel counts for each process; a rate
for each core is what was done by a second of processor time.
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

STAMP = re.compile(rb"@([0-9.]+)")
TOKEN_S = 0.04
READY_S = 30.0
REQUESTS = 500
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
    """What the callers of one part saw; times in seconds."""

    tokens: int = 0
    done: int = 0
    other: int = 0
    latencies: list[float] = field(default_factory=list)
    added_gaps: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as the bytes that go over the connection to a port."""

    port: int
    data: bytes


def add_arguments(parser: ArgumentParser) -> None:
    """Add the sizes."""
    parser.add_argument("--streams", type=int, nargs="+", default=[1, 50, 200])
    parser.add_argument("--seconds", type=float, default=6.0)


def run(arguments: Namespace) -> dict[str, Any]:
    """Run all parts and return the figures of each."""
    layout = build_layout({"lag-a": "west"}, 1, {"alerts": ("engine", 1)})
    agent, entry = layout.agents()[0], layout.entries()[0]
    agent.settings["max_in_flight"] = 1024
    figures: dict[str, Any] = {}
    with Launcher(layout) as fleet:
        fleet.publish_profiles(PROFILES)
        fleet.wait_until_ready(READY_S)
        for streams in arguments.streams:
            tokens = max(1, int(arguments.seconds / TOKEN_S))
            set_engine(fleet, agent, tokens, TOKEN_S)
            direct = part(fleet, streams, 1, generate_request(agent))
            through = part(fleet, streams, 1, caller_request(entry))
            figures[f"streams_{streams}"] = {"direct": direct, "through": through}
        for callers in (1, 50):
            set_engine(fleet, agent, 1, 0.0)
            rounds = REQUESTS // callers
            figures[f"requests_{callers}"] = part(
                fleet, callers, rounds, caller_request(entry)
            )
    return figures


def set_engine(fleet: Launcher, agent: VmPlan, tokens: int, token_s: float) -> None:
    """Tell the engine how long its answers are."""
    fleet.post_control(
        agent.backend_port,
        tokens=tokens,
        token_s=token_s,
        first_token_s=0.0,
        stamps=True,
    )


def post(port: int, path: str, body: bytes) -> RawRequest:
    """Return the bytes of a request to a port."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nWorkspace: ministry\r\n"
        f"Request-Timeout: 60\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return RawRequest(port, head.encode() + body)


def caller_request(entry: VmPlan) -> RawRequest:
    """Return a request to the entry."""
    return post(entry.http_port, f"/v1/services/{SERVICE}/requests", b"tender 12")


def generate_request(agent: VmPlan) -> RawRequest:
    """Return a request straight to the engine."""
    fields = {
        "run_id": "direct",
        "workspace": "ministry",
        "priority": 5,
        "body": "tender 12",
    }
    return post(agent.backend_port, "/v1/generate", json.dumps(fields).encode())


def part(
    fleet: Launcher, callers: int, rounds: int, request: RawRequest
) -> dict[str, Any]:
    """Run callers at once and return what they saw and what it cost."""
    tally = Tally()
    pids = {
        vm.role: fleet.processes[vm.vm_id].pid
        for vm in fleet.layout.vms
        if vm.vm_id in fleet.processes
    }
    before = {role: processor_s(pid) for role, pid in pids.items()}
    started = time.monotonic()
    pool = eventlet.GreenPool(callers)
    for _ in range(callers):
        pool.spawn(call, request, rounds, tally)
    pool.waitall()
    seconds = time.monotonic() - started
    figures: dict[str, Any] = {
        "seconds": round(seconds, 2),
        "tokens": tally.tokens,
        "tokens_per_s": round(tally.tokens / seconds),
        "done": tally.done,
        "other": tally.other,
        "latency_ms_p50_p95": at(tally.latencies),
        "added_gap_ms_p50_p95": at(tally.added_gaps),
    }
    for role, pid in pids.items():
        used = processor_s(pid) - before[role]
        figures[f"{role}_cpu_s"] = round(used, 2)
        if used > 0:
            figures[f"{role}_tokens_per_core_s"] = round(tally.tokens / used)
            figures[f"{role}_requests_per_core_s"] = round(tally.done / used)
    return figures


def call(request: RawRequest, rounds: int, tally: Tally) -> None:
    """Send a request some times over one connection and read the answers."""
    connection = socket.create_connection((HOST, request.port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _ in range(rounds):
        connection.sendall(request.data)
        read_answer(connection, tally)
    connection.close()


def read_answer(connection: Any, tally: Tally) -> None:
    """Read one chunked answer to its end."""
    tail = b""
    last: tuple[float, float] | None = None
    while True:
        data = connection.recv(MAX_RECEIVE_BYTES)
        now = time.monotonic()
        if not data:
            tally.other += 1
            return
        for stamp in STAMP.findall(data):
            sent = float(stamp)
            tally.tokens += 1
            tally.latencies.append(now - sent)
            if last is not None:
                tally.added_gaps.append((now - last[1]) - (sent - last[0]))
            last = (sent, now)
        tail = (tail + data)[-400:]
        if tail.endswith(b"0\r\n\r\n"):
            done = b'"outcome": "done"' in tail or b'{"end"' in tail
            tally.done += done
            tally.other += not done
            return


def at(values: list[float]) -> list[float]:
    """Return the 50th and 95th percentile in milliseconds."""
    ordered = sorted(values) or [0.0]
    return [
        round(ordered[min(len(ordered) - 1, int(len(ordered) * q))] * 1000, 2)
        for q in (0.5, 0.95)
    ]
