"""
One long read to each agent, carrying the answers of all runs there.

Whatever happens to a connection, the runs are read on over another one, each
from its own offset. A reader that may have missed a reply is given up, and the
next one says where each run stands.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet

from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.runs.registry import RunState
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.suspicions import learn

from .resolving import AVOID_S, RESOLVE_TRIES, address_of, pass_over

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
    """Reads the answers of all runs of one agent while there are any."""

    def __init__(
        self, agents: ClientPool, server: Server, board: Blackboard, progress_s: float
    ) -> None:
        self.agents = agents
        self.server = server
        self.address = address_of(server)
        self.board = board
        self.owner = board.identity.incarnation
        self.progress_s = progress_s
        self.runs: dict[RunId, ActiveRun] = {}
        self.count = 0
        self.reader = ""
        self.first = True
        self.failures = 0
        self.greenlet: Any = None
        self.begin_anew()

    def begin_anew(self) -> None:
        """Read under another name, which nobody has said anything to yet."""
        self.count += 1
        self.reader = f"{self.owner:x}.{id(self):x}.{self.count}"
        self.first = True

    def expect(self, run: ActiveRun) -> None:
        """Take in the answer of a run that is about to be started."""
        self.runs[run.cursor.run_id] = run
        run.reader = self.reader
        if self.greenlet is None:
            self.greenlet = eventlet.spawn(self.read_on)

    def confirm(self, run: ActiveRun) -> None:
        """Note that the agent has a run; follow it if its start did not say so."""
        run.accepted = True
        if run.reader != self.reader:
            eventlet.spawn_n(self.tell, run)

    def tell(self, run: ActiveRun) -> None:
        """Tell the agent of a run while a read may be waiting there."""
        reader, first = self.reader, self.first
        try:
            self.call_read([cursor_of(run)], 0, reader, first)
        except (NeverSentError, LostReplyError):
            return
        run.reader = reader

    def drop(self, run: ActiveRun) -> None:
        """Take in nothing more of a run."""
        self.runs.pop(run.cursor.run_id, None)

    def read_on(self) -> None:
        """
        Read until no run is left.

        A fault in a step counts as a failed read: if it ended the reading, all runs
        of the agent would wait for their deadlines.
        """
        try:
            while self.runs:
                try:
                    self.step()
                except Exception:
                    logger.exception("a reply of %s cannot be read", self.address)
                    self.failed()
                    eventlet.sleep(0)
        finally:
            self.greenlet = None

    def step(self) -> None:
        """Make one read and take in its reply."""
        reader = self.reader
        untold = [r for r in self.runs.values() if r.accepted and r.reader != reader]
        wait_ms = int(self.progress_s * 500)
        try:
            reply = self.call_read(map(cursor_of, untold), wait_ms, reader, self.first)
        except (NeverSentError, LostReplyError):
            self.failed()
            return
        self.failures = 0
        if reply.reader_lost:
            self.begin_anew()
            return
        self.first = False
        for run in untold:
            run.reader = reader
        self.take(reply)

    def call_read(
        self, cursors: Iterable[Any], wait_ms: int, reader: str, first: bool
    ) -> Any:
        """Call the agent's read."""
        return self.agents.call(
            self.address,
            "read",
            list(cursors),
            wait_ms,
            reader,
            first,
            timeout_s=self.progress_s,
        )

    def failed(self) -> None:
        """Go on over a new connection, or give the agent up."""
        self.agents.forget(self.address)
        self.begin_anew()
        self.failures += 1
        if self.failures > RESOLVE_TRIES:
            self.failures = 0
            pass_over(self.server)
            self.lose(lambda run: run.accepted)

    def lose(self, lost: Callable[[ActiveRun], bool]) -> None:
        """End the runs whose agent is gone."""
        for run in [run for run in self.runs.values() if lost(run)]:
            run.end(Unknown(Reason.SERVER_LOST, AVOID_S))
            self.drop(run)

    def take(self, reply: Any) -> None:
        """Take in a reply: each piece goes to its own run, if it fits there."""
        self.server.take_report(reply.load.in_flight, reply.leaving, clock.now())
        learn(self.board.suspects, reply.suspicions)
        for piece in reply.slices:
            run = self.runs.get(piece.run_id)
            if run is not None:
                self.take_piece(run, reply.incarnation, piece)
        self.lose(lambda r: r.accepted and r.cursor.incarnation != reply.incarnation)

    def take_piece(self, run: ActiveRun, incarnation: int, piece: Any) -> None:
        """Take in a piece; one behind a gap makes all be read anew."""
        cursor = run.cursor
        data = cursor.take(piece.run_id, incarnation, piece.offset, piece.data or b"")
        if data is None:
            if piece.offset > cursor.offset:
                self.begin_anew()
            return
        if data:
            run.add(data)
        if piece.state != RunState.RUNNING:
            run.end(ending_of(run, piece))
            self.drop(run)


class Feeds:
    """The feeds of an entry, one for each agent with runs."""

    def __init__(
        self, agents: ClientPool, board: Blackboard, progress_s: float
    ) -> None:
        self.agents = agents
        self.board = board
        self.progress_s = progress_s
        self.feeds: dict[tuple[str, int], AnswerFeed] = {}

    def of(self, server: Server) -> AnswerFeed:
        """Return the feed of a server's agent, made on first use."""
        address = address_of(server)
        feed = self.feeds.get(address)
        if feed is None:
            self.forget_idle()
            feed = AnswerFeed(self.agents, server, self.board, self.progress_s)
            self.feeds[address] = feed
        feed.server = server
        return feed

    def forget_idle(self) -> None:
        """Drop the feeds that have no run."""
        for address in [a for a, feed in self.feeds.items() if feed.greenlet is None]:
            del self.feeds[address]


def cursor_of(run: ActiveRun) -> Any:
    """Return up to where a run was taken in, as it goes over the wire."""
    return schema.RunCursor(run_id=run.cursor.run_id, offset=run.cursor.offset)


def ending_of(run: ActiveRun, piece: Any) -> Ending:
    """
    Return the ending that an answer's last piece tells.

    A reason that this release does not know leaves open whether the request ran.
    """
    try:
        ending = run.cursor.ending(
            piece.state, piece.reason, piece.length or 0, piece.digest or ""
        )
    except ValueError:
        logger.warning("unknown reason %r in the end of a run", piece.reason)
        return Unknown(Reason.INTERNAL)
    if isinstance(ending, NotRun) and piece.retry_after_ms:
        return NotRun(ending.reason, piece.retry_after_ms / 1000)
    return ending
