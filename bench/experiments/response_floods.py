"""
Measures what other requests wait while back ends send without end.

An entry, and back ends of which all but one send without end, run as processes. Callers
request streams of the sound one at a steady rate, first alone and then while others
have requests at the flooding back ends.
"""

from __future__ import annotations

import http.client
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

INTERVAL_S = 0.01
# A request that fails at once is not repeated at once: the time of the entry is to be
# spent on floods, and not on a closed loop of failures.
FLOOD_INTERVAL_S = 0.5
CALLER_TIMEOUT_S = 5.0
MAX_CALLERS = 64
KINDS = ("event", "refusal", "foreign")


def add_arguments(parser: ArgumentParser) -> None:
    """Add the experiment's arguments."""
    parser.add_argument("--floods", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=5.0)


def run(arguments: Namespace) -> dict[str, Any]:
    """Run each kind of flood and return times in ms and memory in MiB."""
    return {kind: run_kind(kind, arguments) for kind in KINDS}


def run_kind(kind: str, arguments: Namespace) -> dict[str, float]:
    """Measure one kind of flood with processes of its own."""
    processes: list[subprocess.Popen[str]] = []
    try:
        ports = start(processes, "backends", str(arguments.floods), kind)
        port = int(start(processes, "entry", *ports)[0])
        measure_first_events(port, 1.0)
        alone = measure_first_events(port, arguments.seconds)
        memory_before = read_peak_memory(processes[1].pid)
        with ThreadPoolExecutor(arguments.floods) as flooding:
            until = time.monotonic() + arguments.seconds
            for _ in range(arguments.floods):
                flooding.submit(flood_until, port, until)
            during = measure_first_events(port, arguments.seconds)
        growth = read_peak_memory(processes[1].pid) - memory_before
    finally:
        for process in processes:
            process.kill()
            process.wait()
    result = {
        "p50_alone_ms": percentile_ms(alone, 0.5),
        "p99_alone_ms": percentile_ms(alone, 0.99),
        "p50_during_ms": percentile_ms(during, 0.5),
        "p99_during_ms": percentile_ms(during, 0.99),
        "requests_alone": len(alone),
        "requests_during": len(during),
        "growth_mib": round(growth / (1 << 20), 1),
    }
    print(f"{kind:10}{result}", file=sys.stderr)
    return result


def start(processes: list[subprocess.Popen[str]], *arguments: str) -> list[str]:
    """Start a process and return the words of its first line."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.flood_roles", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    processes.append(process)
    assert process.stdout is not None
    return process.stdout.readline().split()


def measure_first_events(port: int, seconds: float) -> list[float]:
    """Return the times to the first event of requests at a steady rate."""
    end = time.monotonic() + seconds
    requests = []
    with ThreadPoolExecutor(MAX_CALLERS) as callers:
        while time.monotonic() < end:
            requests.append(callers.submit(send_request, port, "sound"))
            time.sleep(INTERVAL_S)
    return [request.result() for request in requests]


def send_request(port: int, service: str) -> float:
    """Send one request; return the seconds until its first bytes, or the timeout."""
    started_at = time.monotonic()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=CALLER_TIMEOUT_S)
    headers = {"Host": "desk.example", "x-request_id": "r1", "x-remaining_ms": "2000"}
    try:
        connection.request("POST", f"/{service}/x", b"p", headers)
        response = connection.getresponse()
        response.read(1)
        seconds = time.monotonic() - started_at
        response.read()
    except (OSError, http.client.HTTPException):
        return CALLER_TIMEOUT_S
    finally:
        connection.close()
    return seconds


def flood_until(port: int, end: float) -> None:
    """Send requests to the flooding back ends one after the other until a time."""
    while (started_at := time.monotonic()) < end:
        send_request(port, "flood")
        time.sleep(max(0.0, started_at + FLOOD_INTERVAL_S - time.monotonic()))


def read_peak_memory(pid: int) -> int:
    """Return the peak resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return 1024 * int(line.split()[1])
    return 0


def percentile_ms(values: list[float], share: float) -> float:
    """Return a percentile of times in milliseconds."""
    ordered = sorted(values)
    return round(1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2)
