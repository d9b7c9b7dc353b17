"""The effects of the outcome of a read on the transfer planner."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from .planner import TransferPlanner
from .sources import (
    ORIGIN,
    STORE,
    Corrupt,
    Elsewhere,
    Held,
    Pending,
    Refused,
    Silent,
)

if TYPE_CHECKING:
    from .chunk_state import ChunkState
    from .sources import Read, ReadEvent

PENDING_OWNER_WAIT_S = 3.0
ASK_AGAIN_S = 0.1
STORE_OR_ORIGIN_SUSPECT_S = 2.0
SILENT_SUSPECT_S = 10.0
CORRUPT_SUSPECT_S = 60.0
MAX_HOPS = 6


@singledispatch
def apply_read_event(event: ReadEvent, planner: TransferPlanner, now: float) -> None:
    """Update the planner after a read has finished with the given outcome."""
    raise NotImplementedError(type(event).__name__)


@apply_read_event.register
def on_held(event: Held, planner: TransferPlanner, now: float) -> None:
    """Remove a chunk that is now held from the plan."""
    planner.chunks.pop(event.read.index, None)


@apply_read_event.register
def on_silent(event: Silent, planner: TransferPlanner, now: float) -> None:
    """Suspect a source that does not answer, the store and the origin only briefly."""
    is_not_vm = event.read.source in (STORE, ORIGIN)
    deadline = now + (STORE_OR_ORIGIN_SUSPECT_S if is_not_vm else SILENT_SUSPECT_S)
    planner.ownership.mark_suspect(event.read.source, deadline)
    retry_after_failure(planner.finish_read(event.read), now)


@apply_read_event.register
def on_corrupt(event: Corrupt, planner: TransferPlanner, now: float) -> None:
    """
    Suspect a VM that sent damaged bytes.

    Damaged bytes from the weight store or the origin may mean that the content of the
    version has changed there. They do not become suspect, but the manifest is
    checked again.
    """
    if event.read.source in (STORE, ORIGIN):
        planner.manifest_doubted = True
    else:
        planner.ownership.mark_suspect(event.read.source, now + CORRUPT_SUSPECT_S)
    retry_after_failure(planner.finish_read(event.read), now)


@apply_read_event.register
def on_refused(event: Refused, planner: TransferPlanner, now: float) -> None:
    """
    Plan the next attempt after a source did not send the chunk.

    The weight store and the origin also become suspect for a short time.
    """
    if event.read.source in (STORE, ORIGIN):
        planner.ownership.mark_suspect(
            event.read.source, now + STORE_OR_ORIGIN_SUSPECT_S
        )
    continue_without_chunk(
        planner.finish_read(event.read), event.read, False, now + ASK_AGAIN_S, now
    )


@apply_read_event.register
def on_pending(event: Pending, planner: TransferPlanner, now: float) -> None:
    """Ask a pending owner again, and pass it over if it makes no progress."""
    chunk = planner.finish_read(event.read)
    continue_without_chunk(chunk, event.read, event.reading, event.retry_at, now)


@apply_read_event.register
def on_elsewhere(event: Elsewhere, planner: TransferPlanner, now: float) -> None:
    """Follow a redirection to a holder, for a bounded number of hops."""
    chunk = planner.finish_read(event.read)
    if chunk is None:
        return
    chunk.hops += 1
    if chunk.hops > MAX_HOPS or event.vm_id == planner.neighbourhood.own_id:
        chunk.clear_holder()
        chunk.not_before = now + ASK_AGAIN_S
        return
    chunk.holder = event.vm_id
    chunk.pass_over_at = None


def continue_without_chunk(
    chunk: ChunkState | None, read: Read, reading: bool, retry_at: float, now: float
) -> None:
    """
    Plan the next attempt after a source answered without the chunk.

    After a holder, the owner is asked. An acting owner continues with the next source,
    unless the source is reading the chunk or was allowed to delay its answer. During a
    round of requests regardless of ownership, the next VM is asked. Otherwise an owner
    is asked again, and passed over if it makes no progress.
    """
    if chunk is None:
        return
    if chunk.holder is not None:
        chunk.clear_holder()
        chunk.not_before = max(chunk.not_before, retry_at)
    elif chunk.acting_as_owner and read.wait_s == 0 and not reading:
        chunk.tried_sources.add(read.source.name)
    elif chunk.peers_left_to_ask > 0 and not reading:
        chunk.not_before = now + ASK_AGAIN_S
    else:
        wait_for_owner(chunk, read, reading, retry_at, now)


def wait_for_owner(
    chunk: ChunkState, read: Read, reading: bool, retry_at: float, now: float
) -> None:
    """
    Ask an owner again later, or pass it over if it makes no progress for too long.

    An owner that is reading from outside is not passed over. The wait gets shorter
    with each round over all owners.
    """
    chunk.not_before = max(chunk.not_before, retry_at)
    if reading or chunk.pass_over_at is None:
        chunk.pass_over_at = now + PENDING_OWNER_WAIT_S / (1 + chunk.owner_rounds)
    elif now >= chunk.pass_over_at:
        chunk.pass_over_at = None
        pass_over_source(chunk, read)


def pass_over_source(chunk: ChunkState, read: Read) -> None:
    """
    Exclude the source of a read.

    An acting owner then tries the next source, any other VM the next owner.
    """
    if chunk.acting_as_owner:
        chunk.tried_sources.add(read.source.name)
    elif read.source.vm_id is not None:
        chunk.passed_owners.add(read.source.vm_id)


def retry_after_failure(chunk: ChunkState | None, now: float) -> None:
    """Plan the next attempt after a source failed; it skips suspect sources."""
    if chunk is not None:
        chunk.not_before = now + ASK_AGAIN_S
        chunk.clear_holder()
