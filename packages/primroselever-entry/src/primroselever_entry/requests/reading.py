"""Forwarding of a run's answer to the caller until the run ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from primroselever_core.outcomes import Ending, Reason, Unknown
from primroselever_node import clock
from primroselever_node.process import spawn_task
from primroselever_node.rpc.client_pool import LostReplyError, NeverSentError

from .resolving import log_failed_call, rpc_address

if TYPE_CHECKING:
    from collections.abc import Generator

    from primroselever_node.rpc.client_pool import ClientPool

    from .active_run import ActiveRun
    from .caller_request import CallerRequest
    from .feed import AnswerFeeds


class AnswerForwarder:
    """Forwards answers as they arrive and cancels runs without a caller."""

    def __init__(
        self, agents: ClientPool, feeds: AnswerFeeds, progress_s: float
    ) -> None:
        self.agents = agents
        self.feeds = feeds
        self.progress_s = progress_s

    def forward_answer(
        self, request: CallerRequest, run: ActiveRun
    ) -> Generator[bytes, None, Ending]:
        """Yield a run's answer as it arrives; return the run's ending."""
        remaining_s = max(0.0, request.deadline - clock.now())
        timer = eventlet.spawn_after(
            remaining_s, run.record_ending, Unknown(Reason.DEADLINE_PASSED)
        )
        try:
            while True:
                run.wait_for_update()
                if run.pending_pieces:
                    data = b"".join(run.pending_pieces)
                    run.pending_pieces.clear()
                    run.data_forwarded = True
                    yield data
                elif run.ending is not None:
                    return run.ending
        finally:
            timer.cancel()
            self.feeds.get_feed(run.server).remove_run(run)
            if should_cancel(run):
                spawn_task(self.cancel_run, run)

    def cancel_run(self, run: ActiveRun) -> None:
        """Ask the agent to cancel a run; an error only closes the connections."""
        address = rpc_address(run.server)
        try:
            self.agents.call(
                address, "cancel", run.cursor.run_id, timeout_s=self.progress_s
            )
        except (NeverSentError, LostReplyError) as exc:
            log_failed_call("cancel", run.cursor.run_id, run.server, exc)
            self.agents.close_idle_connections(address)


def should_cancel(run: ActiveRun) -> bool:
    """
    Return whether to cancel a run whose caller left or whose deadline passed.

    A non-idempotent run is never cancelled: its caller may ask for the answer again
    with the ticket.
    """
    ending = run.ending
    timed_out = isinstance(ending, Unknown) and ending.reason is Reason.DEADLINE_PASSED
    return run.idempotent and (ending is None or timed_out)
