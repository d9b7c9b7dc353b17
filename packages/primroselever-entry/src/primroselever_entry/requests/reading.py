"""Reading a run's answer by offset until its ending."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.outcomes import Ending, NotRun, Reason, Unknown
from primroselever_core.runs.registry import RunState
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.schema import schema
from primroselever_node.rpc.suspicions import learn

from .resolving import RESOLVE_TRIES

if TYPE_CHECKING:
    from collections.abc import Generator

    from primroselever_core.board import Blackboard
    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun
    from .caller_request import CallerRequest


class AnswerReader:
    """Reads answers from agents; any read may go over any connection."""

    def __init__(
        self, board: Blackboard, agents: ClientPool, progress_s: float
    ) -> None:
        self.board = board
        self.agents = agents
        self.progress_s = progress_s

    def read_out(
        self, request: CallerRequest, run: ActiveRun
    ) -> Generator[bytes, None, Ending]:
        """Yield a run's answer as it comes; return its ending."""
        failures = 0
        taken = run.cursor
        while True:
            remaining_ms = clock.remaining_ms(request.deadline)
            if remaining_ms == 0:
                return self.give_up(run)
            wait_ms = min(int(self.progress_s * 500), remaining_ms)
            cursor = schema.RunCursor(run_id=taken.run_id, offset=taken.offset)
            try:
                reply = self.agents.call(
                    run.address, "read", [cursor], wait_ms, timeout_s=self.progress_s
                )
            except (NeverSentError, LostReplyError):
                self.agents.forget(run.address)
                failures += 1
                if failures > RESOLVE_TRIES:
                    return Unknown(Reason.SERVER_LOST)
                continue
            failures = 0
            run.server.take_report(reply.load.in_flight, reply.leaving, clock.now())
            learn(self.board.suspects, reply.suspicions)
            if reply.incarnation != taken.incarnation:
                return Unknown(Reason.SERVER_LOST)
            for piece in reply.slices:
                new = taken.take(
                    piece.run_id, reply.incarnation, piece.offset, piece.data
                )
                if new:
                    yield new
                if new is not None and piece.state != RunState.RUNNING:
                    ending = taken.ending(
                        piece.state, piece.reason, piece.length, piece.digest
                    )
                    return with_retry(ending, piece.retry_after_ms or 0)

    def give_up(self, run: ActiveRun) -> Ending:
        """Cancel a run whose caller's deadline has passed."""
        try:
            self.agents.call(
                run.address, "cancel", run.cursor.run_id, timeout_s=self.progress_s
            )
        except (NeverSentError, LostReplyError):
            self.agents.forget(run.address)
        return Unknown(Reason.DEADLINE_PASSED)


def with_retry(ending: Ending, retry_after_ms: int) -> Ending:
    """Return an ending that says when to come back, if the agent said so."""
    if isinstance(ending, NotRun) and retry_after_ms:
        return NotRun(ending.reason, retry_after_ms / 1000)
    return ending
