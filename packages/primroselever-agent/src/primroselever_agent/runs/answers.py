"""Answers as they are read: many runs in one reply, from where each stands."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.event import Event

from primroselever_core.identifiers import RunId
from primroselever_core.runs.reader import Reader
from primroselever_core.runs.registry import RunState
from primroselever_node import clock
from primroselever_node.rpc.schema import schema

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroselever_core.outcomes import Reason
    from primroselever_core.runs.registry import Run, RunRegistry

MAX_SLICE_BYTES = 1 << 18
MAX_REPLY_BYTES = 1 << 20

# A reader gets at most one reply in this time, so that tokens of many runs that
# come close together share one.
REPLY_INTERVAL_S = 0.001

# A reader that did not read for so long is gone.
READER_SILENT_S = 10.0


@dataclass(slots=True)
class ReaderState:
    """A reader, whoever waits for it, and until when it is kept."""

    kept_until: float
    reader: Reader = field(default_factory=Reader)
    waiting: Event | None = None
    next_reply_at: float = 0.0

    def wake(self) -> None:
        """Wake the read that waits, if one does."""
        if self.waiting is not None and not self.waiting.ready():
            self.waiting.send()


class Answers:
    """Keeps readers, and tells them what is new in the runs they follow."""

    def __init__(self, registry: RunRegistry) -> None:
        self.registry = registry
        self.readers: dict[str, ReaderState] = {}
        self.followers: dict[RunId, set[str]] = {}

    def follow(
        self, name: str, run_id: RunId, offset: int, fresh: bool = False
    ) -> None:
        """Let a reader follow a run from an offset on."""
        state = self.state_of(name)
        state.reader.follow(run_id, offset, fresh)
        self.followers.setdefault(run_id, set()).add(name)
        if not fresh:
            state.wake()

    def state_of(self, name: str) -> ReaderState:
        """Return a reader's state, made on first use."""
        kept_until = clock.now() + READER_SILENT_S
        state = self.readers.get(name)
        if state is None:
            state = self.readers[name] = ReaderState(kept_until)
        state.kept_until = max(state.kept_until, kept_until)
        return state

    def note(self, run_id: RunId) -> None:
        """Tell the followers of a run that it has something new."""
        for name in self.followers.get(run_id, ()):
            state = self.readers.get(name)
            if state is not None and state.reader.note(run_id):
                state.wake()

    def read(
        self, cursors: Iterable[Any], wait_ms: int, name: str, first: bool
    ) -> list[Any] | None:
        """
        Return what is new for a reader; wait if nothing is.

        None says that the reader is not known any more: it has to begin anew
        under another name, and to say where it stands.
        """
        if not first and name not in self.readers:
            return None
        for cursor in cursors:
            self.follow(name, RunId(cursor.run_id), cursor.offset)
        state = self.state_of(name)
        if wait_ms <= 0:
            return []
        if not state.reader.changed:
            self.wait(state, wait_ms / 1000)
        delay_s = state.next_reply_at - clock.now()
        if delay_s > 0:
            eventlet.sleep(delay_s)
        state.next_reply_at = clock.now() + REPLY_INTERVAL_S
        return self.collect(name, state.reader)

    def wait(self, state: ReaderState, timeout_s: float) -> None:
        """Block until something is new for a reader, or the time is over."""
        event = state.waiting = Event()
        with eventlet.Timeout(timeout_s, False):
            event.wait()
        if state.waiting is event:
            state.waiting = None

    def collect(self, name: str, reader: Reader) -> list[Any]:
        """Return what is new, up to the size of one reply."""
        pieces = []
        size = 0
        while size < MAX_REPLY_BYTES:
            found = reader.next_changed()
            if found is None:
                break
            run_id, offset = found
            piece = self.piece(run_id, offset)
            size += len(piece.data)
            ended = piece.state != RunState.RUNNING
            run = self.registry.runs.get(run_id)
            end = offset + len(piece.data)
            more = run is not None and end < len(run.answer.data)
            reader.sent(run_id, end, ended, more)
            if ended:
                self.unfollow(run_id, name)
            if ended or piece.data:
                pieces.append(piece)
        return pieces

    def piece(self, run_id: RunId, offset: int) -> Any:
        """Return a run's answer from an offset on; its end comes with the rest."""
        run = self.registry.runs.get(run_id)
        if run is None:
            return piece_of(run_id, RunState.MISSING, offset=offset)
        data = run.answer.read(offset, MAX_SLICE_BYTES)
        whole = offset + len(data) == len(run.answer.data)
        if not whole or run.state is RunState.RUNNING:
            return schema.RunSlice(
                run_id=run_id, offset=offset, data=data, state=RunState.RUNNING
            )
        return last_piece(run, offset, data)

    def unfollow(self, run_id: RunId, name: str) -> None:
        """Forget that a reader follows a run."""
        names = self.followers.get(run_id)
        if names is not None:
            names.discard(name)
            if not names:
                del self.followers[run_id]

    def expire(self, now: float) -> None:
        """Drop readers that have been silent for long."""
        for name in [n for n, s in self.readers.items() if s.kept_until <= now]:
            for run_id in list(self.readers.pop(name).reader.offsets):
                self.unfollow(run_id, name)


def last_piece(run: Run, offset: int, data: bytes) -> Any:
    """Return the piece that carries a run's end."""
    run.read_out = True
    piece = piece_of(run.run_id, run.state, run.reason, offset, data)
    if run.retry_after_s is not None:
        piece.retry_after_ms = int(run.retry_after_s * 1000)
    if run.state is RunState.DONE:
        piece.length = len(run.answer.data)
        piece.digest = run.answer.digest()
    return piece


def piece_of(
    run_id: str,
    state: RunState,
    reason: Reason | None = None,
    offset: int = 0,
    data: bytes = b"",
) -> Any:
    """Return a piece of an answer without length and digest."""
    return schema.RunSlice(
        run_id=run_id,
        offset=offset,
        data=data,
        state=state,
        reason=reason or "",
        length=0,
        digest="",
    )
