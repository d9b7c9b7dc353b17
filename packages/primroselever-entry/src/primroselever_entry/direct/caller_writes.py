"""Writing to callers, of which some read slowly and some not at all."""

from __future__ import annotations

import fcntl
import sys
import termios
from typing import Any

from primroselever_node import clock

# A caller must take MIN_WRITTEN_BYTES, or all that is to be written, within each
# WRITE_TIMEOUT_S, or before it stops waiting if that is earlier.
WRITE_TIMEOUT_S = 10.0
MIN_WRITE_TIMEOUT_S = 1.0  # for an answer that is ready when the caller's time ends
MIN_WRITTEN_BYTES = 1024


def write_in_time(sock: Any, data: bytes, caller_waits_until: float | None) -> None:
    """
    Send bytes, or raise ``TimeoutError`` if the caller takes too few of them in time.

    The time starts again with each ``MIN_WRITTEN_BYTES``, so that a slow caller is
    served, while one that takes a byte at times is not. A full send buffer accepts
    bytes only when a part of it is free, so that what the caller takes of it counts as
    well. ``caller_waits_until`` is when the caller stops waiting, None if it did not
    say so.
    """
    unwritten = memoryview(data)
    deadline, written = write_deadline(caller_waits_until), 0
    untaken = count_untaken_bytes(sock)
    while unwritten:
        sock.settimeout(max(0.001, deadline - clock.now()))
        try:
            count = sock.send(unwritten)
        except TimeoutError:
            if written + untaken - count_untaken_bytes(sock) < MIN_WRITTEN_BYTES:
                raise
            count, written = 0, MIN_WRITTEN_BYTES
        unwritten = unwritten[count:]
        written += count
        if written >= MIN_WRITTEN_BYTES:
            deadline, written = write_deadline(caller_waits_until), 0
            untaken = count_untaken_bytes(sock)


def count_untaken_bytes(sock: Any) -> int:
    """Return how many written bytes the caller's system has not acknowledged."""
    value = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(value, sys.byteorder)


def write_deadline(caller_waits_until: float | None) -> float:
    """Return until when a caller must take some bytes."""
    now = clock.now()
    if caller_waits_until is None:
        return now + WRITE_TIMEOUT_S
    remaining_s = caller_waits_until - now
    return now + min(WRITE_TIMEOUT_S, max(MIN_WRITE_TIMEOUT_S, remaining_s))
