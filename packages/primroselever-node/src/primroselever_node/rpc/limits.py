"""Limits of the messages between processes, in bytes and seconds."""

from __future__ import annotations

FRAME_BYTES = 65_536  # for the fields beside the value that a message is sent for

# The largest calls start runs; their bodies have 1 MiB unless an entry's
# body_limit_bytes is raised.
MAX_CALL_BYTES = 8 << 20
# Most replies are small; those of reads have up to 1 MiB of answers and the loads,
# and the lists of digests of pieces some kilobytes.
MAX_SMALL_REPLY_BYTES = 4 << 20
MAX_REPLY_BYTES = {
    # The limits of the configuration service and of the list of VMs.
    "fetch_publication": (16 << 20) + FRAME_BYTES,
    # The largest answer of the store that processes read.
    "fetch_catalogue": (32 << 20) + FRAME_BYTES,
    # All pieces that a process keeps.
    "fetch_piece": (48 << 20) + FRAME_BYTES,
    # The limit of weight sources for manifests.
    "find_manifest": (64 << 20) + FRAME_BYTES,
    # A manifest sets the size of its chunks, without a limit of its own.
    "fetch_chunk": (64 << 20) + FRAME_BYTES,
}

# From the first byte of a call until its last. Callers wait for at most some seconds.
CALL_ARRIVAL_S = 10.0
