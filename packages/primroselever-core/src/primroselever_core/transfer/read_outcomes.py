"""What a transfer learns from each read that is over."""

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

PATIENCE_S = 3.0
ASK_AGAIN_S = 0.1
SOURCE_AGAIN_S = 2.0
SILENT_SUSPECT_S = 10.0
CORRUPT_SUSPECT_S = 60.0
MAX_HOPS = 6


@singledispatch
def apply(event: ReadEvent, planner: TransferPlanner, now: float) -> None:
    """Take in what came of a read."""
    raise NotImplementedError(type(event).__name__)


@apply.register
def on_held(event: Held, planner: TransferPlanner, now: float) -> None:
    """Forget a chunk that is held."""
    planner.chunks.pop(event.read.index, None)


@apply.register
def on_silent(event: Silent, planner: TransferPlanner, now: float) -> None:
    """Suspect a source that does not answer."""
    away = event.read.source in (STORE, ORIGIN)
    deadline = now + (SOURCE_AGAIN_S if away else SILENT_SUSPECT_S)
    planner.ownership.suspect(event.read.source, deadline)
    fail(planner.finish(event.read), now)


@apply.register
def on_corrupt(event: Corrupt, planner: TransferPlanner, now: float) -> None:
    """
    Suspect a VM that gave damaged bytes.

    Damage at the weight store or the origin may mean that the version has changed
    there: they are no suspects, but the manifest is doubted.
    """
    if event.read.source in (STORE, ORIGIN):
        planner.doubted = True
    else:
        planner.ownership.suspect(event.read.source, now + CORRUPT_SUSPECT_S)
    fail(planner.finish(event.read), now)


@apply.register
def on_refused(event: Refused, planner: TransferPlanner, now: float) -> None:
    """Go on with the next source, or ask an owner that is behind again."""
    if event.read.source in (STORE, ORIGIN):
        planner.ownership.suspect(event.read.source, now + SOURCE_AGAIN_S)
    go_on(planner.finish(event.read), event.read, False, now + ASK_AGAIN_S, now)


@apply.register
def on_pending(event: Pending, planner: TransferPlanner, now: float) -> None:
    """Ask a pending owner again, and pass it over when it makes no progress."""
    chunk = planner.finish(event.read)
    go_on(chunk, event.read, event.reading, event.retry_at, now)


@apply.register
def on_elsewhere(event: Elsewhere, planner: TransferPlanner, now: float) -> None:
    """Follow an owner to a holder, for a bounded number of hops."""
    chunk = planner.finish(event.read)
    if chunk is None:
        return
    chunk.hops += 1
    if chunk.hops > MAX_HOPS or event.vm_id == planner.neighbourhood.mine:
        chunk.back_to_owner()
        chunk.not_before = now + ASK_AGAIN_S
        return
    chunk.holder = event.vm_id
    chunk.patient_until = None


def go_on(
    chunk: ChunkState | None, read: Read, reading: bool, retry_at: float, now: float
) -> None:
    """Go on after a source that answered, but not with the chunk."""
    if chunk is None:
        return
    if chunk.holder is not None:
        chunk.back_to_owner()
        chunk.not_before = max(chunk.not_before, retry_at)
    elif chunk.stepping and read.wait_s == 0 and not reading:
        chunk.tried.add(read.source.name)
    elif chunk.others_left > 0 and not reading:
        chunk.not_before = now + ASK_AGAIN_S
    else:
        wait_for_owner(chunk, read, reading, retry_at, now)


def wait_for_owner(
    chunk: ChunkState, read: Read, reading: bool, retry_at: float, now: float
) -> None:
    """Ask an owner again later, or pass it over once patience is at its end."""
    chunk.not_before = max(chunk.not_before, retry_at)
    if reading or chunk.patient_until is None:
        chunk.patient_until = now + PATIENCE_S / (1 + chunk.rounds)
    elif now >= chunk.patient_until:
        chunk.patient_until = None
        pass_over(chunk, read)


def pass_over(chunk: ChunkState, read: Read) -> None:
    """Go on with the next owner, or with an owner's next source."""
    if chunk.stepping:
        chunk.tried.add(read.source.name)
    elif read.source.vm_id is not None:
        chunk.passed.add(read.source.vm_id)


def fail(chunk: ChunkState | None, now: float) -> None:
    """Go on after a source failed; it is suspect, so that another one is due."""
    if chunk is not None:
        chunk.not_before = now + ASK_AGAIN_S
        chunk.back_to_owner()
