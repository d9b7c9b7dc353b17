"""Reading a run's answer by offset until its ending."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroselever_core.outcomes import Ending, Reason, Unknown
from primroselever_core.runs.registry import RunState
from primroselever_node import clock
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError
from primroselever_node.rpc.schema import schema

from .resolving import RESOLVE_TRIES

if TYPE_CHECKING:
    from collections.abc import Generator

    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun
    from .caller_request import CallerRequest


class AnswerReader:
    """Reads answers from agents; any read may go over any connection."""

    def __init__(self, agents: ClientPool, progress_s: float) -> None:
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
            run.server.reported = reply.load.in_flight
            run.server.leaving = reply.leaving
            if reply.incarnation != taken.incarnation:
                return Unknown(Reason.SERVER_LOST)
            for piece in reply.slices:
                new = taken.take(
                    piece.run_id, reply.incarnation, piece.offset, piece.data
                )
                if new:
                    yield new
                if new is not None and piece.state != RunState.RUNNING:
                    return taken.ending(
                        piece.state, piece.reason, piece.length, piece.digest
                    )

    def give_up(self, run: ActiveRun) -> Ending:
        """Cancel a run whose caller's deadline has passed."""
        try:
            self.agents.call(
                run.address, "cancel", run.cursor.run_id, timeout_s=self.progress_s
            )
        except (NeverSentError, LostReplyError):
            self.agents.forget(run.address)
        return Unknown(Reason.DEADLINE_PASSED)
