"""Processor time and memory of a process, read from /proc."""

from __future__ import annotations

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024

# Indexes of utime and stime among the fields after the command's name.
USER_TICKS_INDEX, SYSTEM_TICKS_INDEX = 11, 12


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (
        int(fields[USER_TICKS_INDEX]) + int(fields[SYSTEM_TICKS_INDEX])
    ) / TICKS_PER_S


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    return memory_mib(pid, "VmRSS")


def peak_resident_mib(pid: int) -> float:
    """Return the peak resident memory of a process, in MiB."""
    return memory_mib(pid, "VmHWM")


def memory_mib(pid: int, name: str) -> float:
    """Return a size from the status of a process in MiB, or 0 if it has exited."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) / KIB_PER_MIB
    return 0.0
