"""Reading answers: one reply carries new slices of many runs."""

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

# The minimum time between two replies to a reader, so that tokens of many runs that
# arrive close together share one reply.
REPLY_INTERVAL_S = 0.001

# A reader that sends no read for this long is dropped.
READER_TIMEOUT_S = 10.0


@dataclass(slots=True)
class ReaderState:
    """A reader, the event of its waiting read, and until when it is kept."""

    kept_until: float
    reader: Reader = field(default_factory=Reader)
    waiting_read: Event | None = None
    next_reply_at: float = 0.0

    def wake(self) -> None:
        """Wake the waiting read, if there is one."""
        if self.waiting_read is not None and not self.waiting_read.ready():
            self.waiting_read.send()


class AnswerReaders:
    """Keeps readers, and sends them the new slices of the runs that they follow."""

    def __init__(self, registry: RunRegistry) -> None:
        self.registry = registry
        self.readers: dict[str, ReaderState] = {}
        self.followers: dict[RunId, set[str]] = {}

    def follow_run(
        self, name: str, run_id: RunId, offset: int, is_new: bool = False
    ) -> None:
        """Make a reader follow a run from an offset."""
        state = self.reader_state(name)
        state.reader.follow(run_id, offset, is_new)
        self.followers.setdefault(run_id, set()).add(name)
        if not is_new:
            state.wake()

    def reader_state(self, name: str) -> ReaderState:
        """Return a reader's state, made on first use, and extend its lifetime."""
        kept_until = clock.now() + READER_TIMEOUT_S
        state = self.readers.get(name)
        if state is None:
            state = self.readers[name] = ReaderState(kept_until)
        state.kept_until = max(state.kept_until, kept_until)
        return state

    def mark_changed(self, run_id: RunId) -> None:
        """Mark a run as changed for its followers, and wake their waiting reads."""
        for name in self.followers.get(run_id, ()):
            state = self.readers.get(name)
            if state is not None and state.reader.mark_changed(run_id):
                state.wake()

    def read_new_slices(
        self, cursors: Iterable[Any], wait_ms: int, name: str, is_first_read: bool
    ) -> list[Any] | None:
        """
        Store the cursors, then return a reader's new slices, waiting if there are none.

        With ``wait_ms`` 0, only store the cursors and return an empty list. None means
        that the reader is not known: it has to start over under another name and send
        its cursors.
        """
        if not is_first_read and name not in self.readers:
            return None
        for cursor in cursors:
            self.follow_run(name, RunId(cursor.run_id), cursor.offset)
        state = self.reader_state(name)
        if wait_ms <= 0:
            return []
        if not state.reader.changed:
            self.wait_for_change(state, wait_ms / 1000)
        delay_s = state.next_reply_at - clock.now()
        if delay_s > 0:
            eventlet.sleep(delay_s)
        state.next_reply_at = clock.now() + REPLY_INTERVAL_S
        return self.collect_slices(name, state.reader)

    def wait_for_change(self, state: ReaderState, timeout_s: float) -> None:
        """Block until a reader has new slices or the timeout passes."""
        event = state.waiting_read = Event()
        with eventlet.Timeout(timeout_s, False):
            event.wait()
        if state.waiting_read is event:
            state.waiting_read = None

    def collect_slices(self, name: str, reader: Reader) -> list[Any]:
        """Return the new slices for a reader, up to the size of one reply."""
        slices = []
        size = 0
        while size < MAX_REPLY_BYTES:
            changed = reader.next_changed()
            if changed is None:
                break
            run_id, offset = changed
            run_slice = self.read_slice(run_id, offset)
            size += len(run_slice.data)
            ended = run_slice.state != RunState.RUNNING
            run = self.registry.runs.get(run_id)
            end_offset = offset + len(run_slice.data)
            has_more = run is not None and end_offset < len(run.answer.data)
            reader.record_sent(run_id, end_offset, ended, has_more)
            if ended:
                self.unfollow_run(run_id, name)
            if ended or run_slice.data:
                slices.append(run_slice)
        return slices

    def read_slice(self, run_id: RunId, offset: int) -> Any:
        """Return a slice of a run's answer; the last one carries the run's end."""
        run = self.registry.runs.get(run_id)
        if run is None:
            return new_slice(run_id, RunState.MISSING, offset=offset)
        data = run.answer.read(offset, MAX_SLICE_BYTES)
        is_last = offset + len(data) == len(run.answer.data)
        if not is_last or run.state is RunState.RUNNING:
            return schema.RunSlice(
                run_id=run_id, offset=offset, data=data, state=RunState.RUNNING
            )
        return last_slice(run, offset, data)

    def unfollow_run(self, run_id: RunId, name: str) -> None:
        """Remove a reader from the followers of a run."""
        names = self.followers.get(run_id)
        if names is not None:
            names.discard(name)
            if not names:
                del self.followers[run_id]

    def expire(self, now: float) -> None:
        """Drop readers whose time has passed, and stop following their runs."""
        for name in [n for n, s in self.readers.items() if s.kept_until <= now]:
            for run_id in list(self.readers.pop(name).reader.offsets):
                self.unfollow_run(run_id, name)


def last_slice(run: Run, offset: int, data: bytes) -> Any:
    """Return the slice that carries a run's end, and mark the run as read."""
    run.end_sent = True
    run_slice = new_slice(run.run_id, run.state, run.reason, offset, data)
    if run.retry_after_s is not None:
        run_slice.retry_after_ms = int(run.retry_after_s * 1000)
    if run.state is RunState.DONE:
        run_slice.length = len(run.answer.data)
        run_slice.digest = run.answer.digest()
    return run_slice


def new_slice(
    run_id: str,
    state: RunState,
    reason: Reason | None = None,
    offset: int = 0,
    data: bytes = b"",
) -> Any:
    """Return a slice of an answer with an empty length and digest."""
    return schema.RunSlice(
        run_id=run_id,
        offset=offset,
        data=data,
        state=state,
        reason=reason or "",
        length=0,
        digest="",
    )
