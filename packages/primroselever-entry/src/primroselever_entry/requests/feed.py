"""
Long polls, one to each agent, that carry the answers of all runs there.

When a connection fails, the runs are read over another connection, each from its
own offset. A reader that may have missed a reply is replaced by a new reader, and
the agent is sent the current offset of each run.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.runs.registry import RunState
from primroselever_node import clock
from primroselever_node.logs import log_decision
from primroselever_node.process import spawn_task
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.suspicions import merge_suspicions

from .reasons import log_unknown_reason
from .resolving import (
    CALL_ATTEMPTS,
    SERVER_RETRY_S,
    log_failed_call,
    mark_unreachable,
    rpc_address,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from primroselever_core.board import Blackboard
    from primroselever_core.identifiers import RunId
    from primroselever_core.outcomes import Ending
    from primroselever_core.routing.section import Server
    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun


logger = logging.getLogger(__name__)


class AnswerFeed:
    """
    Reads the answers of all runs on one agent by long polling, while there are any.

    The agent stores for each reader name which runs it follows and what it was sent.
    ``reader_name`` is the current one; ``first_read`` is set until the agent has
    replied to a long poll under that name.
    """

    def __init__(
        self, agents: ClientPool, server: Server, board: Blackboard, progress_s: float
    ) -> None:
        self.agents = agents
        self.server = server
        self.address = rpc_address(server)
        self.board = board
        self.entry_incarnation = board.identity.incarnation
        self.progress_s = progress_s
        self.runs: dict[RunId, ActiveRun] = {}
        self.reader_count = 0
        self.reader_name = ""
        self.first_read = True
        self.consecutive_failures = 0
        self.greenlet: Any = None
        self.start_new_reader()

    def start_new_reader(self) -> None:
        """Switch to a new reader name, for which the agent has no state yet."""
        self.reader_count += 1
        self.reader_name = (
            f"{self.entry_incarnation:x}.{id(self):x}.{self.reader_count}"
        )
        self.first_read = True

    def add_run(self, run: ActiveRun) -> None:
        """Add a run that is about to be started and make sure the feed is reading."""
        self.runs[run.cursor.run_id] = run
        run.reader_name = self.reader_name
        if self.greenlet is None:
            self.greenlet = eventlet.spawn(self.read_until_idle)

    def mark_accepted(self, run: ActiveRun) -> None:
        """
        Record that the agent accepted a run.

        If the reader was replaced since the start was sent, the agent is sent the
        run's cursor for the current reader.
        """
        run.accepted = True
        if run.reader_name != self.reader_name:
            spawn_task(self.send_cursor, run)

    def send_cursor(self, run: ActiveRun) -> None:
        """Send one run's cursor without waiting for the pending long poll."""
        reader_name, first_read = self.reader_name, self.first_read
        try:
            self.call_read([cursor_to_thrift(run)], 0, reader_name, first_read)
        except (NeverSentError, LostReplyError) as exc:
            log_failed_call("read", run.cursor.run_id, self.server, exc)
            return
        run.reader_name = reader_name

    def remove_run(self, run: ActiveRun) -> None:
        """Remove a run; later slices of its answer are ignored."""
        self.runs.pop(run.cursor.run_id, None)

    def read_until_idle(self) -> None:
        """
        Read until no run is left.

        An unexpected exception counts as a failed read: if it ended the loop, all
        runs of the agent would wait for their deadlines.
        """
        try:
            while self.runs:
                try:
                    self.read_once()
                except Exception:
                    logger.exception(
                        "failed to process a reply from agent %s", self.address
                    )
                    self.handle_read_failure()
                    eventlet.sleep(0)
        finally:
            self.greenlet = None

    def read_once(self) -> None:
        """Send one read and process its reply."""
        reader_name = self.reader_name
        unfollowed = [
            run
            for run in self.runs.values()
            if run.accepted and run.reader_name != reader_name
        ]
        # Half of progress_s: an agent with nothing to send replies before the timeout.
        wait_ms = int(self.progress_s * 500)
        try:
            reply = self.call_read(
                map(cursor_to_thrift, unfollowed), wait_ms, reader_name, self.first_read
            )
        except (NeverSentError, LostReplyError) as exc:
            log_failed_call("read", reader_name, self.server, exc)
            self.handle_read_failure()
            return
        self.consecutive_failures = 0
        if reply.reader_lost:
            self.start_new_reader()
            return
        self.first_read = False
        for run in unfollowed:
            run.reader_name = reader_name
        self.process_reply(reply)

    def call_read(
        self, cursors: Iterable[Any], wait_ms: int, reader_name: str, first_read: bool
    ) -> Any:
        """Call ``read`` of the agent; raise the client pool's errors."""
        return self.agents.call(
            self.address,
            "read",
            list(cursors),
            wait_ms,
            reader_name,
            first_read,
            timeout_s=self.progress_s,
        )

    def handle_read_failure(self) -> None:
        """
        Reconnect under a new reader.

        After more than ``CALL_ATTEMPTS`` consecutive failures the server is marked as
        unreachable, and its accepted runs end as lost.
        """
        self.agents.close_idle_connections(self.address)
        self.start_new_reader()
        self.consecutive_failures += 1
        if self.consecutive_failures > CALL_ATTEMPTS:
            self.consecutive_failures = 0
            mark_unreachable(self.server)
            self.end_lost_runs(
                lambda run: run.accepted, "consecutive reads of its answer failed"
            )

    def end_lost_runs(self, is_lost: Callable[[ActiveRun], bool], reason: str) -> None:
        """End the runs that were lost with their agent."""
        for run in [run for run in self.runs.values() if is_lost(run)]:
            log_decision("run lost", run.cursor.run_id, self.server.vm.vm_id, reason)
            run.record_ending(Unknown(Reason.SERVER_LOST, SERVER_RETRY_S))
            self.remove_run(run)

    def process_reply(self, reply: Any) -> None:
        """Update the server's record and hand each slice to its run."""
        self.server.apply_report(reply.load.in_flight, reply.leaving, clock.now())
        merge_suspicions(self.board.suspects, reply.suspicions)
        for run_slice in reply.slices:
            run = self.runs.get(run_slice.run_id)
            if run is not None:
                self.process_slice(run, reply.incarnation, run_slice)
        self.end_lost_runs(
            lambda run: run.accepted and run.cursor.incarnation != reply.incarnation,
            "its agent restarted",
        )

    def process_slice(self, run: ActiveRun, incarnation: int, run_slice: Any) -> None:
        """
        Add a slice to its run's answer, unless the cursor rejects it.

        A slice that starts past the cursor's offset means that an earlier slice was
        lost; a new reader then reads all runs from their offsets again.
        """
        cursor = run.cursor
        data = cursor.accept_piece(
            run_slice.run_id, incarnation, run_slice.offset, run_slice.data or b""
        )
        if data is None:
            if run_slice.offset > cursor.offset:
                self.start_new_reader()
            return
        if data:
            run.add_piece(data)
        if run_slice.state != RunState.RUNNING:
            run.record_ending(ending_from_slice(run, run_slice))
            self.remove_run(run)


class AnswerFeeds:
    """The feeds of an entry by agent address, one for each agent with runs."""

    def __init__(
        self, agents: ClientPool, board: Blackboard, progress_s: float
    ) -> None:
        self.agents = agents
        self.board = board
        self.progress_s = progress_s
        self.feeds: dict[tuple[str, int], AnswerFeed] = {}

    def get_feed(self, server: Server) -> AnswerFeed:
        """Return the feed of a server's agent, creating it on first use."""
        address = rpc_address(server)
        feed = self.feeds.get(address)
        if feed is None:
            self.remove_idle_feeds()
            feed = AnswerFeed(self.agents, server, self.board, self.progress_s)
            self.feeds[address] = feed
        feed.server = server
        return feed

    def remove_idle_feeds(self) -> None:
        """Remove the feeds that are not reading because they have no run."""
        for address in [a for a, feed in self.feeds.items() if feed.greenlet is None]:
            del self.feeds[address]


def cursor_to_thrift(run: ActiveRun) -> Any:
    """Return the thrift struct with the offset up to which a run was received."""
    return schema.RunCursor(run_id=run.cursor.run_id, offset=run.cursor.offset)


def ending_from_slice(run: ActiveRun, run_slice: Any) -> Ending:
    """Return the ending that the last slice of a run's answer reports."""
    log_unknown_reason(run_slice.reason, "the last slice of a run")
    ending = run.cursor.ending(
        run_slice.state, run_slice.reason, run_slice.length or 0, run_slice.digest or ""
    )
    if isinstance(ending, NotRun) and run_slice.retry_after_ms:
        return NotRun(ending.reason, run_slice.retry_after_ms / 1000)
    return ending
